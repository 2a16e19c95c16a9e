package gateway

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/forward"
)

func named(version int64) []forward.OperatorChange {
	return []forward.OperatorChange{{Weights: &forward.WeightVersion{Model: "m", Version: version}}}
}

// Guards against older weights that are used although no record proves that the newer version
// was named within the bound, and against a proof that is used for versions it doesn't precede.
func TestVersionWithoutProofCountsAsNamedLongAgo(t *testing.T) {
	g, clock := newGateway(t)
	at := func(ago time.Duration) forward.Stamp {
		return forward.Stamp{UnixMs: (clock.read() - ago).Milliseconds()}
	}
	proof := func(model string, version int64, at forward.Stamp) []forward.NamingProof {
		return []forward.NamingProof{{WeightVersion: forward.WeightVersion{Model: model, Version: version}, At: at}}
	}
	for name, proofs := range map[string][]forward.NamingProof{
		"none":             nil,
		"of the version":   proof("m", 3, at(time.Second)),
		"of another model": proof("n", 2, at(time.Second)),
		"in the future":    proof("m", 2, at(-time.Minute)),
		"too old":          proof("m", 2, at(6*time.Second)),
		"before the last":  proof("m", 1, at(time.Second)),
	} {
		t.Run(name, func(t *testing.T) {
			restarted := New(Options{Settings: testSettings(), Clock: clock.read, HeaderCodec: testHeaderCodec{}, WallClock: g.wallClock})
			restarted.applyOperators(named(3), clock.read(), true)
			restarted.applyNamings(forward.NamingRecords{Proofs: proofs})
			since, outdated := restarted.state.rollout.RetiredSince("m", 2)
			require.True(t, outdated)
			if name == "before the last" {
				require.Greater(t, since, clock.read()-milliseconds(testSettings().VersionMs), "neither 2 nor 3 was named before the proof")
				since, _ = restarted.state.rollout.RetiredSince("m", 1)
				require.Greater(t, since, clock.read()-milliseconds(testSettings().VersionMs))
				return
			}
			require.LessOrEqual(t, since, clock.read()-milliseconds(testSettings().VersionMs))
		})
	}
}

// Guards against writes by all entries: the platform's store takes 400 writes a second from
// all of them, and each is billed.
func TestOneMemberSavesProofs(t *testing.T) {
	const entries = 330
	var members []string
	for i := range entries {
		members = append(members, fmt.Sprintf("10.0.%d.%d:7", i/250, i%250))
	}
	g, _ := newGateway(t)
	require.False(t, g.savesProofs(), "the members are not known yet")
	savers := 0
	for _, m := range members {
		g.memberID, g.state.peerLoads.members = m, members
		savers += boolInt(g.savesProofs())
	}
	require.Equal(t, 1, savers)
	g.memberID = "10.9.0.1:7"
	require.False(t, g.savesProofs(), "not a member")
}

// Guards against billed writes that prove nothing, and against proofs by a process that may not
// know all versions.
func TestNoProofIsSavedWithoutNeed(t *testing.T) {
	namings := &memoryNamings{}
	g, clock := newGateway(t)
	g.namingStore = namings
	endpoints := &statedClock{ms: func() float64 { return 0 }}
	g.endpointControl = endpoints
	g.applyEndpoints([]forward.EndpointChange{{ID: "e", Endpoint: &forward.Endpoint{ID: "e", Service: "s"}}}, clock.read(), true)
	save := func() int {
		t.Helper()
		before := len(namings.saved.Proofs)
		require.NoError(t, g.saveProofs(t.Context()))
		return len(namings.saved.Proofs) - before
	}
	require.Zero(t, save(), "nothing was read")
	g.applyOperators(nil, clock.read(), true)
	require.Zero(t, save(), "no version was named")
	require.Zero(t, endpoints.reports, "reports are billed")
	g.applyOperators(named(2), clock.read(), false)
	require.Equal(t, 1, save())
	g.observeEra("operators", 1)
	g.observeEra("operators", 2)
	require.Zero(t, save(), "the log returned from an older copy")
	clock.advance(time.Second)
	g.applyOperators(named(2), clock.read(), true)
	require.False(t, g.state.catchUp.Pending())
	require.Zero(t, save(), "this process has read for a second only")
	clock.advance(time.Minute)
	require.Equal(t, 1, save())
	require.Equal(t, (clock.read()-time.Minute).Milliseconds()-2, namings.saved.Proofs[1].At.UnixMs, "of the last read, with the rounding")
}

// Guards against a proof that is newer than the read, because the process was suspended before
// it read the time of day or while it did.
func TestSuspensionDoesNotPostponeAProof(t *testing.T) {
	namings := &memoryNamings{}
	g, clock := newGateway(t)
	g.namingStore = namings
	g.applyOperators(named(2), clock.read(), true)
	lastRead := clock.read()
	g.wallClock = func() time.Time {
		clock.advance(3 * time.Second)
		defer clock.advance(3 * time.Second)
		return time.UnixMilli(clock.read().Milliseconds())
	}
	clock.advance(time.Second)
	require.NoError(t, g.saveProofs(t.Context()))
	require.Len(t, namings.saved.Proofs, 1)
	require.LessOrEqual(t, namings.saved.Proofs[0].At.UnixMs, lastRead.Milliseconds())
}

// busyNamings is a NamingStore whose first save of proofs fails.
type busyNamings struct {
	memoryNamings
	calls int
}

func (b *busyNamings) SaveProofs(ctx context.Context, proofs []forward.NamingProof) error {
	if b.calls++; b.calls == 1 {
		return errors.New("the log is busy")
	}
	return b.memoryNamings.SaveProofs(ctx, proofs)
}

// Guards against proofs that are no longer saved after a failure, that lag behind the reads, and
// that are billed more than once a second.
func TestProofsAreSavedEverySecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		clock := func() time.Duration { return time.Hour + time.Since(started) }
		namings := &busyNamings{}
		g := New(Options{Settings: testSettings(), Clock: clock, HeaderCodec: testHeaderCodec{}, NamingStore: namings})
		g.state.peerLoads.members = []string{g.memberID}
		go g.keepProofs(t.Context())
		const reads = 20
		for range reads {
			synctest.Wait()
			readStarted := clock()
			time.Sleep(operatorPollWait)
			g.applyOperators(named(2), readStarted, false)
		}
		synctest.Wait()
		require.Equal(t, reads, namings.calls)
		require.Len(t, namings.saved.Proofs, reads-1)
		last := namings.saved.Proofs[len(namings.saved.Proofs)-1].At.UnixMs
		require.LessOrEqual(t, time.Now().UnixMilli()-last, operatorPollWait.Milliseconds()+2, "of the read that has just completed")
	})
}
