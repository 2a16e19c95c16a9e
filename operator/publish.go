package operator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/logsvc"
	"github.com/galenaweir/galenaweir/peer"
	"github.com/galenaweir/galenaweir/rpc/dial"
)

// PublishOptions sets a publication.
type PublishOptions struct {
	Log       logsvc.Log
	Pool      *dial.Pool
	Peers     []string // processes that know the version when the log no longer tells it
	Document  []byte   // canonical
	Base      *int64   // version that the document was made from; nil for the one in force
	Publisher string
	Retry     time.Duration // between attempts, default 500 ms
	Attempts  int           // of the append, default 10
}

// Published tells what a publication came to.
type Published struct {
	Version   int64
	Unchanged bool // the document was in force already
}

const (
	defaultRetry    = 500 * time.Millisecond
	defaultAttempts = 10
)

// inForce reads the log to its end. When the log no longer tells the version in
// force, a process that knows it is asked.
func inForce(ctx context.Context, l logsvc.Log, pool *dial.Pool, peers []string) (*config.Stream, error) {
	s := config.NewStream()
	if _, err := peer.ReadConfigStream(ctx, l, s); err != nil {
		return s, unavailable(err)
	}
	var errs []error
	for _, a := range peers {
		if !s.Stuck() {
			break
		}
		st, err := peer.FetchConfigState(ctx, pool, a)
		if err == nil && st != nil {
			err = s.Adopt(st)
		}
		if err == nil {
			_, err = peer.ReadConfigStream(ctx, l, s)
		}
		errs = append(errs, err)
	}
	if s.Stuck() {
		return s, apierr.New(apierr.NotReady, apierr.NotRun, "the log no longer tells the version in force", "name running processes with --peer").WithCause(errors.Join(errs...))
	}
	return s, nil
}

func unavailable(err error) error {
	return apierr.NewRetryable(apierr.LogUnavailable, apierr.NotRun, time.Second, "the log can't be read; nothing was published", "try again when the log is available").WithCause(err)
}

// Publish makes the document the next version. Publishing a document that is in
// force already changes nothing.
func Publish(ctx context.Context, o PublishOptions) (Published, error) {
	if o.Retry == 0 {
		o.Retry = defaultRetry
	}
	if o.Attempts == 0 {
		o.Attempts = defaultAttempts
	}
	s, err := inForce(ctx, o.Log, o.Pool, o.Peers)
	if err != nil {
		return Published{}, err
	}
	st := s.State()
	if st != nil && st.Hash == config.HashOf(o.Document) {
		return Published{st.Version, true}, nil
	}
	if o.Base != nil && *o.Base != s.Version() {
		return Published{}, lost(s.Version(), s.Publisher())
	}
	r, err := newRecord(st, o)
	if err != nil {
		return Published{}, err
	}
	return appendAndLookUp(ctx, s, r, o)
}

// newRecord returns the record with the patch from the version in force, or the
// whole document where a patch can't express the change.
func newRecord(st *config.State, o PublishOptions) (*config.Record, error) {
	h := config.HashOf(o.Document)
	r := &config.Record{PublishID: uuid.NewString(), Publisher: o.Publisher, NewVersion: 1, NewHash: h[:], Document: o.Document}
	if st == nil {
		return r, nil
	}
	r.BaseVersion, r.BaseHash, r.NewVersion = st.Version, st.Hash[:], st.Version+1
	patch, err := config.Diff(st.Text, o.Document)
	if err != nil {
		return nil, fmt.Errorf("compare with version %d: %w", st.Version, err)
	}
	if merged, err := config.Merge(st.Text, patch); err == nil && bytes.Equal(merged, o.Document) {
		r.Patch, r.Document = patch, nil
	}
	return r, nil
}

// appendAndLookUp appends the record and reads the log until it tells what became
// of it. After a lost answer the record is looked up by its publish ID and sent
// again only when it isn't there: since only one record can take a version, a
// late first append and a second one do no harm.
func appendAndLookUp(ctx context.Context, s *config.Stream, r *config.Record, o PublishOptions) (Published, error) {
	sent := false // some attempt may have taken effect
	var last error
	for attempt := range o.Attempts {
		if attempt > 0 {
			select {
			case <-time.After(o.Retry):
			case <-ctx.Done():
				return Published{}, unknown(r, sent, ctx.Err())
			}
		}
		if sent {
			if p, done, err := lookUp(ctx, s, r, o); done {
				return p, err
			} else if err != nil {
				last = err
				continue
			}
		}
		_, err := peer.AppendConfigRecord(ctx, o.Log, r)
		if err != nil {
			last = err
		}
		sent = sent || !errors.Is(err, logsvc.ErrRejected)
		if p, done, err := lookUp(ctx, s, r, o); done {
			return p, err
		}
	}
	return Published{}, unknown(r, sent, last)
}

// lookUp reads on to the log's end and looks for the record. done is false when
// it isn't there or the log can't be read.
func lookUp(ctx context.Context, s *config.Stream, r *config.Record, o PublishOptions) (Published, bool, error) {
	outcomes, err := peer.ReadConfigStream(ctx, o.Log, s)
	if err != nil {
		return Published{}, false, err
	}
	for _, out := range outcomes {
		rec := out.Entry.Record
		if rec == nil || rec.PublishID != r.PublishID || rec.Snapshot {
			continue
		}
		switch st := s.State(); {
		case out.Err == nil:
			return Published{Version: r.NewVersion}, true, nil
		case st != nil && st.Hash == config.HashOf(o.Document):
			return Published{st.Version, true}, true, nil
		case errors.Is(out.Err, config.ErrSuperseded):
			return Published{}, true, lost(out.CurrentVersion, out.Publisher)
		default:
			return Published{}, true, apierr.New(apierr.InvalidRequest, apierr.NotRun, "the record was rejected", "correct the document").WithCause(out.Err)
		}
	}
	return Published{}, false, nil
}

func lost(version int64, publisher string) error {
	if publisher == "" {
		publisher = "an unknown operator"
	}
	return apierr.New(apierr.InvalidRequest, apierr.NotRun,
		fmt.Sprintf("version %d of %s is in force; the document was made from another version and was not published", version, publisher),
		"compare with galenaweir-agent operator diff, merge the changes and publish again")
}

func unknown(r *config.Record, sent bool, err error) error {
	if !sent {
		return unavailable(err)
	}
	return apierr.New(apierr.OutcomeUnknown, apierr.RanUnknown, "the log did not tell whether publication "+r.PublishID+" was taken",
		"run the same command again when the log is available; publishing the same document twice is harmless").WithCause(err)
}
