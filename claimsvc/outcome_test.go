package claimsvc

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/claims"
	"github.com/galenaweir/galenaweir/logsvc"
)

// hangingLog holds one settled claim. Its reads block once hang is closed.
type hangingLog struct {
	logsvc.Log
	page logsvc.Page
	hang chan struct{}
}

func (l *hangingLog) Read(ctx context.Context, _ string, _ int64, _ time.Duration) (logsvc.Page, error) {
	select {
	case <-l.hang:
		<-ctx.Done()
		return logsvc.Page{}, ctx.Err()
	default:
		return l.page, nil
	}
}

// TestOutcomeReadHangs guards against a repeat that waits for an unresponsive log until
// the call to its keeper times out. The caller would not be told that the request ran.
func TestOutcomeReadHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer stop()
		now := time.Now()
		c := claims.Claim{Key: claims.Hash{1}, Attempt: "a", KeyTimeMs: now.UnixMilli(), ExpiresMs: now.Add(time.Hour).UnixMilli()}
		data, err := EncodeGroup([]claims.Record{{Kind: claims.KindClaim, Attempt: "a", Claim: c}, {Kind: claims.KindOutcome, Attempt: "a"}}, "w")
		require.NoError(t, err)
		l := &hangingLog{page: logsvc.Page{NextOffset: 1, Records: []logsvc.Record{{TimeMs: now.UnixMilli(), Data: data}}}, hang: make(chan struct{})}
		p := newPartition(Options{ID: "agent-0", Log: l, Now: time.Now}, LogStream(0))
		k := claims.NewKeeper(claims.Options{GroupInterval: defaultGroupInterval, PollInterval: time.Hour, KeyWindow: defaultKeyWindow})
		go p.run(ctx, k, defaultGroupInterval)
		synctest.Wait()
		lookup := func(k *claims.Keeper, now time.Time, id claims.ReqID) claims.Commands {
			return k.Lookup(now, id, c.Key)
		}
		r, err := p.submitAndWait(ctx, lookup)
		require.NoError(t, err)
		require.Equal(t, claims.ResultSettled, r.Result)
		close(l.hang)
		lookupCtx, cancel := context.WithTimeout(ctx, keeperTimeout)
		defer cancel()
		r, err = p.submitAndWait(lookupCtx, lookup)
		require.NoError(t, err)
		require.Equal(t, claims.ResultUnavailable, r.Result)
		require.True(t, r.Holder.Settled)
	})
}
