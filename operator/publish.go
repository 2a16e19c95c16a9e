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

// PublishOptions configures Publish.
type PublishOptions struct {
	Log           logsvc.Log
	Pool          *dial.Pool
	Peers         []string // addresses of processes to ask for the version in force if the log no longer contains it
	Document      []byte   // in canonical form
	BaseVersion   *int64   // version that the document is based on; nil for the version in force
	Publisher     string
	RetryInterval time.Duration // delay between append attempts; 500 ms if zero
	MaxAttempts   int           // maximum number of append attempts; 10 if zero
}

// PublishResult is the result of a successful publication.
type PublishResult struct {
	Version   int64
	Unchanged bool // the document was already in force, and nothing was published
}

const (
	defaultRetryInterval = 500 * time.Millisecond
	defaultMaxAttempts   = 10
)

// readVersionInForce reads the log to its end and returns the resulting stream of
// versions. If the log no longer contains the version in force, it fetches the state
// from the peers, one after the other.
func readVersionInForce(ctx context.Context, l logsvc.Log, pool *dial.Pool, peers []string) (*config.Stream, error) {
	stream := config.NewStream()
	if _, err := peer.ReadConfigStream(ctx, l, stream); err != nil {
		return stream, logUnavailableError(err)
	}
	var errs []error
	for _, a := range peers {
		if !stream.Stuck() {
			break
		}
		st, err := peer.FetchConfigState(ctx, pool, a)
		if err == nil && st != nil {
			err = stream.Adopt(st)
		}
		if err == nil {
			_, err = peer.ReadConfigStream(ctx, l, stream)
		}
		errs = append(errs, err)
	}
	if stream.Stuck() {
		return stream, apierr.New(apierr.NotReady, apierr.NotRun, "the log no longer contains the version in force", "name running processes with --peer").WithCause(errors.Join(errs...))
	}
	return stream, nil
}

func logUnavailableError(err error) error {
	return apierr.NewRetryable(apierr.LogUnavailable, apierr.NotRun, time.Second, "the log can't be read; nothing was published", "try again when the log is available").WithCause(err)
}

// Publish publishes the document as the next version. If the document is already in
// force, it appends nothing.
func Publish(ctx context.Context, o PublishOptions) (PublishResult, error) {
	if o.RetryInterval == 0 {
		o.RetryInterval = defaultRetryInterval
	}
	if o.MaxAttempts == 0 {
		o.MaxAttempts = defaultMaxAttempts
	}
	stream, err := readVersionInForce(ctx, o.Log, o.Pool, o.Peers)
	if err != nil {
		return PublishResult{}, err
	}
	st := stream.State()
	if st != nil && st.Hash == config.HashOf(o.Document) {
		return PublishResult{st.Version, true}, nil
	}
	if o.BaseVersion != nil && *o.BaseVersion != stream.Version() {
		return PublishResult{}, versionConflictError(stream.Version(), stream.Publisher())
	}
	r, err := newRecord(st, o)
	if err != nil {
		return PublishResult{}, err
	}
	return appendAndConfirm(ctx, stream, r, o)
}

// newRecord returns a record with the merge patch from the version in force, or with
// the whole document if a merge patch can't express the change.
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

// appendAndConfirm appends the record and reads the log until it shows whether the
// record was accepted. After a lost answer, it looks the record up by its publish ID
// and appends it again only if it isn't there. A first append that takes effect late
// is harmless, because only one record can define a version.
func appendAndConfirm(ctx context.Context, stream *config.Stream, record *config.Record, o PublishOptions) (PublishResult, error) {
	maybeAppended := false // an append may have taken effect
	var lastErr error
	for attempt := range o.MaxAttempts {
		if attempt > 0 {
			select {
			case <-time.After(o.RetryInterval):
			case <-ctx.Done():
				return PublishResult{}, outcomeUnknownError(record, maybeAppended, ctx.Err())
			}
		}
		if maybeAppended {
			if p, done, err := findRecord(ctx, stream, record, o); done {
				return p, err
			} else if err != nil {
				lastErr = err
				continue
			}
		}
		_, err := peer.AppendConfigRecord(ctx, o.Log, record)
		if err != nil {
			lastErr = err
		}
		maybeAppended = maybeAppended || !errors.Is(err, logsvc.ErrRejected)
		if p, done, err := findRecord(ctx, stream, record, o); done {
			return p, err
		}
	}
	return PublishResult{}, outcomeUnknownError(record, maybeAppended, lastErr)
}

// findRecord reads the rest of the log and searches it for the record. Its second
// result is false if the record isn't there or the log can't be read.
func findRecord(ctx context.Context, stream *config.Stream, record *config.Record, o PublishOptions) (PublishResult, bool, error) {
	outcomes, err := peer.ReadConfigStream(ctx, o.Log, stream)
	if err != nil {
		return PublishResult{}, false, err
	}
	for _, outcome := range outcomes {
		rec := outcome.Entry.Record
		if rec == nil || rec.PublishID != record.PublishID || rec.Snapshot {
			continue
		}
		switch st := stream.State(); {
		case outcome.Err == nil:
			return PublishResult{Version: record.NewVersion}, true, nil
		case st != nil && st.Hash == config.HashOf(o.Document):
			// The record was rejected, but the same document is in force already.
			return PublishResult{st.Version, true}, true, nil
		case errors.Is(outcome.Err, config.ErrSuperseded):
			return PublishResult{}, true, versionConflictError(outcome.CurrentVersion, outcome.Publisher)
		default:
			return PublishResult{}, true, apierr.New(apierr.InvalidRequest, apierr.NotRun, "the record was rejected", "correct the document").WithCause(outcome.Err)
		}
	}
	return PublishResult{}, false, nil
}

func versionConflictError(version int64, publisher string) error {
	if publisher == "" {
		publisher = "an unknown operator"
	}
	return apierr.New(apierr.InvalidRequest, apierr.NotRun,
		fmt.Sprintf("version %d of %s is in force; the document was made from another version and was not published", version, publisher),
		"compare with galenaweir-agent operator diff, merge the changes and publish again")
}

func outcomeUnknownError(r *config.Record, maybeAppended bool, err error) error {
	if !maybeAppended {
		return logUnavailableError(err)
	}
	return apierr.New(apierr.OutcomeUnknown, apierr.RanUnknown, "the log did not show whether publication "+r.PublishID+" was accepted",
		"run the same command again when the log is available; publishing the same document twice is harmless").WithCause(err)
}
