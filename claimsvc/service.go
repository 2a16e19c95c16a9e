package claimsvc

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/claims"
	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/logsvc"
	"github.com/galenaweir/galenaweir/node"
	"github.com/galenaweir/galenaweir/rpc"
)

// Options configures a Service.
type Options struct {
	ID      string // ID of this agent
	Log     logsvc.Log
	Config  node.Config
	Members node.Members
	Now     func() time.Time // defaults to time.Now
}

// Intervals and defaults of the keepers.
const (
	pollInterval         = 500 * time.Millisecond // between reads of an idle partition
	assignInterval       = time.Second            // between checks of the member list
	logRetryDelay        = time.Second            // retry delay sent to callers while the log is unavailable
	defaultGroupInterval = 40 * time.Millisecond  // between appends
	defaultKeyWindow     = 24 * time.Hour         // how long a key is valid
)

// keepersPerPartition is the number of agents that tail a partition: its keeper and
// one standby.
const keepersPerPartition = 2

// Service runs the keepers of claim partitions: of those that rendezvous hashing assigns
// to this agent, and of any other from the first request for it.
type Service struct {
	opts   Options
	ctx    context.Context
	cancel context.CancelFunc

	mu         sync.Mutex
	partitions map[uint32]*partition
}

// NewService returns a service that runs no keeper yet. Close stops it.
func NewService(o Options) *Service {
	if o.Now == nil {
		o.Now = time.Now
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Service{opts: o, ctx: ctx, cancel: cancel, partitions: map[uint32]*partition{}}
}

// Close stops all keepers.
func (s *Service) Close() { s.cancel() }

// Run starts tailing each partition that the member list assigns to this agent, until
// ctx ends.
func (s *Service) Run(ctx context.Context) {
	t := time.NewTicker(assignInterval)
	defer t.Stop()
	for {
		if st := s.opts.Config.Current(); st != nil {
			s.startAssignedPartitions(PartitionCount(st.Doc))
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Service) startAssignedPartitions(partitions uint32) {
	for n := range partitions {
		for _, m := range Keepers(s.opts.Members, n) {
			if m.ID == s.opts.ID {
				_, _ = s.getOrStart(n) // fails only for partitions out of range
			}
		}
	}
}

// PartitionCount returns the number of claim partitions, at least 1.
func PartitionCount(d *config.Document) uint32 { return uint32(max(1, d.Claims.Partitions)) }

// KeyWindow returns how long an idempotency key is valid.
func KeyWindow(d *config.Document) time.Duration {
	if d.Claims.KeyWindowSeconds <= 0 {
		return defaultKeyWindow
	}
	return time.Duration(d.Claims.KeyWindowSeconds) * time.Second
}

func groupInterval(d *config.Document) time.Duration {
	if d.Claims.GroupIntervalMs <= 0 {
		return defaultGroupInterval
	}
	return time.Duration(d.Claims.GroupIntervalMs) * time.Millisecond
}

// LogStream returns the name of the partition's log stream.
func LogStream(partition uint32) string { return "claims-" + strconv.FormatUint(uint64(partition), 10) }

// getOrStart returns the partition, and starts its keeper on first use.
func (s *Service) getOrStart(n uint32) (*partition, error) {
	st := s.opts.Config.Current()
	if st == nil {
		return nil, apierr.NewRetryable(apierr.NotReady, apierr.NotRun, logRetryDelay, "agent "+s.opts.ID+" has no configuration yet", "retry in a second")
	}
	if n >= PartitionCount(st.Doc) {
		return nil, apierr.New(apierr.Internal, apierr.NotRun, "claim partition "+strconv.FormatUint(uint64(n), 10)+" is not configured", "operators: restore claims.partitions, which can't be changed")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.partitions[n]
	if !ok {
		p = newPartition(s.opts, LogStream(n))
		s.partitions[n] = p
		interval := groupInterval(st.Doc)
		k := claims.NewKeeper(claims.Options{GroupInterval: interval, PollInterval: pollInterval, KeyWindow: KeyWindow(st.Doc)})
		go p.run(s.ctx, k, interval)
		log.Info().Str("decision", "keeper").Str("agent", s.opts.ID).Str("stream", p.stream).Msg("started tailing a claim partition")
	}
	return p, nil
}

// logUnavailableError returns the error for a request that the log did not record, or
// for a repeat whose outcome could not be read again.
func logUnavailableError(cause error, h claims.Holder) *apierr.Error {
	ran := apierr.RanUnknown
	if h.Settled {
		ran = apierr.DidRun
	}
	return apierr.NewRetryable(apierr.LogUnavailable, ran, logRetryDelay, "the platform's log is unavailable", "retry with the same key; a new key could run the request twice").WithCause(cause)
}

// Claim implements rpc.AgentServer.
func (s *Service) Claim(ctx context.Context, req *rpc.ClaimRequest) (*rpc.ClaimReply, error) {
	p, err := s.getOrStart(req.Partition)
	if err != nil {
		return &rpc.ClaimReply{Result: rpc.ClaimReply_RESULT_UNAVAILABLE, Error: rpc.EncodeError(err)}, nil
	}
	c := claims.Claim{
		Key: decodeHash(req.KeyHash), Body: decodeHash(req.BodyHash), Attempt: req.AttemptId, Executor: req.Executor,
		Incarnation: req.ExecutorIncarnation, KeyTimeMs: req.KeyTimeMs, ExpiresMs: req.ExpiresMs,
	}
	r, err := p.submitAndWait(ctx, func(k *claims.Keeper, now time.Time, id claims.ReqID) claims.Commands { return k.Claim(now, id, c) })
	if err != nil {
		return &rpc.ClaimReply{Result: rpc.ClaimReply_RESULT_UNAVAILABLE, Error: rpc.EncodeError(logUnavailableError(err, r.Holder))}, nil
	}
	reply := &rpc.ClaimReply{Result: claimResults[r.Result], State: encodeState(r.Holder)}
	switch r.Result {
	case claims.ResultUnavailable:
		reply.Error = rpc.EncodeError(logUnavailableError(nil, r.Holder))
	case claims.ResultExpired:
		reply.Error = rpc.EncodeError(apierr.New(apierr.KeyExpired, apierr.NotRun, "the key is outside its window", "check with the service before using a new key"))
	}
	return reply, nil
}

var claimResults = map[claims.Result]rpc.ClaimReply_Result{
	claims.ResultGranted: rpc.ClaimReply_RESULT_GRANTED, claims.ResultPending: rpc.ClaimReply_RESULT_PENDING,
	claims.ResultSettled: rpc.ClaimReply_RESULT_SETTLED, claims.ResultKeyReused: rpc.ClaimReply_RESULT_KEY_REUSED,
	claims.ResultVoid: rpc.ClaimReply_RESULT_VOID, claims.ResultExpired: rpc.ClaimReply_RESULT_VOID,
	claims.ResultUnavailable: rpc.ClaimReply_RESULT_UNAVAILABLE,
}

// RecordOutcome implements rpc.AgentServer. It accepts only outcomes and releases.
func (s *Service) RecordOutcome(ctx context.Context, req *rpc.RecordOutcomeRequest) (*rpc.RecordOutcomeReply, error) {
	rec := decodeRecord(req.Record)
	if rec.Kind != claims.KindOutcome && rec.Kind != claims.KindRelease {
		return &rpc.RecordOutcomeReply{Error: rpc.EncodeError(apierr.New(apierr.InvalidRequest, apierr.NotRun, "the record is neither an outcome nor a release", "send one of the two"))}, nil
	}
	p, err := s.getOrStart(req.Partition)
	if err != nil {
		return &rpc.RecordOutcomeReply{Error: rpc.EncodeError(err)}, nil
	}
	r, err := p.submitAndWait(ctx, func(k *claims.Keeper, now time.Time, id claims.ReqID) claims.Commands { return k.Append(now, id, rec) })
	if err != nil || r.Result != claims.ResultRecorded {
		return &rpc.RecordOutcomeReply{Error: rpc.EncodeError(logUnavailableError(err, r.Holder))}, nil
	}
	return &rpc.RecordOutcomeReply{}, nil
}

// LookupOutcome implements rpc.AgentServer.
func (s *Service) LookupOutcome(ctx context.Context, req *rpc.LookupOutcomeRequest) (*rpc.LookupOutcomeReply, error) {
	p, err := s.getOrStart(req.Partition)
	if err != nil {
		return &rpc.LookupOutcomeReply{Error: rpc.EncodeError(err)}, nil
	}
	key := decodeHash(req.KeyHash)
	r, err := p.submitAndWait(ctx, func(k *claims.Keeper, now time.Time, id claims.ReqID) claims.Commands { return k.Lookup(now, id, key) })
	if err != nil || r.Result == claims.ResultUnavailable {
		return &rpc.LookupOutcomeReply{State: encodeState(r.Holder), Error: rpc.EncodeError(logUnavailableError(err, r.Holder))}, nil
	}
	return &rpc.LookupOutcomeReply{Found: r.Result != claims.ResultNotHeld, State: encodeState(r.Holder)}, nil
}

// ObserveVersion implements rpc.AgentServer.
func (s *Service) ObserveVersion(ctx context.Context, req *rpc.ObserveVersionRequest) (*rpc.ObserveVersionReply, error) {
	p, err := s.getOrStart(req.Partition)
	if err != nil {
		return &rpc.ObserveVersionReply{Error: rpc.EncodeError(err)}, nil
	}
	resource := decodeHash(req.ResourceHash)
	r, err := p.submitAndWait(ctx, func(k *claims.Keeper, now time.Time, id claims.ReqID) claims.Commands {
		return k.ObserveVersion(now, id, resource, req.Version)
	})
	if err != nil {
		return &rpc.ObserveVersionReply{Error: rpc.EncodeError(logUnavailableError(err, r.Holder))}, nil
	}
	return &rpc.ObserveVersionReply{Result: observeResults[r.Result], Floor: r.Floor}, nil
}

var observeResults = map[claims.Result]rpc.ObserveVersionReply_Result{
	claims.ResultOK: rpc.ObserveVersionReply_RESULT_OK, claims.ResultStale: rpc.ObserveVersionReply_RESULT_STALE,
	claims.ResultMemoryOnly: rpc.ObserveVersionReply_RESULT_MEMORY_ONLY,
}
