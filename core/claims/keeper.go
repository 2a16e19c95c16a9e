package claims

import "time"

// MaxGroupRecords is the maximum number of records in one append.
const MaxGroupRecords = 256

// ReqID identifies a request until it is answered.
type ReqID uint64

// Result is the result of a request to a Keeper.
type Result int

// The results, with the requests that return them. After ResultUnavailable a claim
// may still become valid.
const (
	ResultGranted     Result = iota + 1 // claim: valid, may be dispatched
	ResultPending                       // claim, lookup: another attempt holds the key and has no outcome yet
	ResultSettled                       // claim, lookup: the key has a recorded outcome
	ResultKeyReused                     // claim: the key is held by a request with another body
	ResultVoid                          // claim: can never become valid
	ResultExpired                       // claim: the key's time is outside the key window
	ResultUnavailable                   // all: the log could not be written or read
	ResultRecorded                      // outcome, release: recorded in the log
	ResultNotHeld                       // lookup: no attempt holds the key
	ResultOK                            // observe: the version is not below the floor
	ResultStale                         // observe: the version is below the floor
	ResultMemoryOnly                    // observe: not below the floor in memory; the log is unavailable
)

// Reply is the reply to one request.
type Reply struct {
	RequestID ReqID
	Result    Result
	Holder    Holder // set for ResultPending, ResultSettled and ResultKeyReused
	Floor     uint64 // set in replies to ObserveVersion
}

// Append asks the caller to append a group of records as one log entry.
type Append struct {
	Seq     uint64
	Records []Record
}

// Read asks the caller to read the log from an offset without waiting for new
// entries.
type Read struct {
	Seq  uint64
	From int64
}

// Commands is the I/O that an input requires. The caller must execute all of it.
type Commands struct {
	Append       *Append
	Read         *Read
	OutcomeReads []Position // outcome records to read; each is answered by OutcomeReadDone or OutcomeReadFailed
	Replies      []Reply
}

// AppendResult is the result of an append.
type AppendResult int

// The results of an append.
const (
	AppendSucceeded AppendResult = iota + 1 // written at the returned offset
	AppendRejected                          // not written, and never will be
	AppendUnknown                           // may have been written or may still be written
)

// Options configures a Keeper.
type Options struct {
	GroupInterval time.Duration // minimum time between the starts of two appends
	PollInterval  time.Duration // time between reads when no request needs one
	KeyWindow     time.Duration // maximum age of an idempotency key
}

// claimStage is the progress of a pending claim.
type claimStage int

const (
	stageNeedsTailRead claimStage = iota // a read must reach the tail before the claim is appended
	stageQueued                          // queued for the next append
	stageInFlight                        // its append is in flight
	stageAppended                        // appended; its record must be read back
	stageUnconfirmed                     // append result unknown; needs a read that began after the append ended
	stageVoiding                         // a void record is queued or in flight
)

// pendingClaim is a claim that is not decided yet, with the requests that wait for it.
type pendingClaim struct {
	claim     Claim
	requests  []ReqID
	stage     claimStage
	offset    int64  // offset of the record in stageAppended
	afterRead uint64 // in stageNeedsTailRead and stageUnconfirmed: only reads after this one count
}

// pendingObserve is a request to observe a version that is not decided yet.
type pendingObserve struct {
	request     ReqID
	resource    Hash
	version     uint64
	afterRead   uint64 // only reads after this one count
	floorOffset int64  // offset of its floor record; -1 until it is appended
	queued      bool
}

// pendingLookup is a lookup that waits for a read of the tail.
type pendingLookup struct {
	request   ReqID
	key       Hash
	afterRead uint64 // only reads after this one count
}

// queuedRecord is a record to append, with the request that waits for it.
type queuedRecord struct {
	record  Record
	claim   *pendingClaim
	observe *pendingObserve
	request ReqID // request to record an outcome or a release, else 0
}

// Keeper decides the claims of one partition by means of the partition's log. It is a
// state machine without I/O and is not safe for concurrent use.
type Keeper struct {
	opts           Options
	state          *State
	queue          []queuedRecord
	appending      []queuedRecord
	appendStarted  time.Time // when the last append started
	appendSeq      uint64    // sequence number of the last append
	readSeq        uint64    // sequence number of the last read
	reading        bool
	readStarted    time.Time // when the last read started
	atTail         bool      // the last read reached the tail of the log
	logUnavailable bool      // the last read failed
	claims         []*pendingClaim
	lookups        []pendingLookup
	observes       []*pendingObserve
	outcomeWaiters map[Position][]Reply // replies that wait for an outcome to be read
	memoryFloors   map[Hash]uint64      // floors that the log has not recorded
	commands       Commands
}

// NewKeeper returns a Keeper that has read nothing.
func NewKeeper(o Options) *Keeper {
	return &Keeper{opts: o, state: NewState(), outcomeWaiters: map[Position][]Reply{}, memoryFloors: map[Hash]uint64{}}
}

// State returns the state of the partition. The caller must not modify it.
func (k *Keeper) State() *State { return k.state }

// Ready reports whether the last read succeeded and reached the tail of the log.
func (k *Keeper) Ready() bool { return k.atTail && !k.logUnavailable }

// reply queues the reply. A settled reply is delayed until its outcome has been
// read from the log.
func (k *Keeper) reply(r Reply) {
	if r.Result == ResultSettled && r.Holder.Outcome == nil {
		k.readOutcome(r)
		return
	}
	k.commands.Replies = append(k.commands.Replies, r)
}

// startDue adds the append and the read that are due and returns all queued
// commands.
func (k *Keeper) startDue(now time.Time) Commands {
	if len(k.appending) == 0 && len(k.queue) > 0 && !now.Before(k.appendStarted.Add(k.opts.GroupInterval)) {
		k.startAppend(now)
	}
	if !k.reading && (k.readNeeded() || !now.Before(k.readStarted.Add(k.opts.PollInterval))) {
		k.readSeq++
		k.reading, k.readStarted = true, now
		k.commands.Read = &Read{Seq: k.readSeq, From: k.state.NextOffset()}
	}
	out := k.commands
	k.commands = Commands{}
	return out
}

func (k *Keeper) startAppend(now time.Time) {
	n := min(len(k.queue), MaxGroupRecords)
	k.appending, k.queue = k.queue[:n:n], k.queue[n:]
	a := &Append{Records: make([]Record, 0, n)}
	for _, it := range k.appending {
		a.Records = append(a.Records, it.record)
		if it.claim != nil && it.record.Kind == KindClaim {
			it.claim.stage = stageInFlight
		}
	}
	k.appendSeq++
	a.Seq, k.appendStarted = k.appendSeq, now
	k.commands.Append = a
}

// readNeeded reports whether a pending request needs a read. After a failed read,
// the next one waits for the poll interval.
func (k *Keeper) readNeeded() bool {
	if k.logUnavailable {
		return false
	}
	for _, w := range k.claims {
		if w.stage == stageNeedsTailRead || w.stage == stageAppended || w.stage == stageUnconfirmed {
			return true
		}
	}
	for _, w := range k.observes {
		if !w.queued || w.floorOffset >= 0 {
			return true
		}
	}
	return len(k.lookups) > 0 || !k.atTail
}

// Tick starts the append and the read that have become due.
func (k *Keeper) Tick(now time.Time) Commands { return k.startDue(now) }

// Claim handles an executor's request to claim a key.
func (k *Keeper) Claim(now time.Time, req ReqID, c Claim) Commands {
	h, held := k.state.Holder(c.Key)
	switch {
	case held && h.Settled:
		k.reply(k.holderReply(req, c, h))
	case CheckKeyWindow(time.UnixMilli(c.KeyTimeMs), now, k.opts.KeyWindow) != nil:
		k.reply(Reply{RequestID: req, Result: ResultExpired})
	case k.logUnavailable:
		k.reply(Reply{RequestID: req, Result: ResultUnavailable, Holder: h})
	default:
		k.addClaim(req, c)
	}
	return k.startDue(now)
}

// addClaim adds the request to the attempt's pending claim, of which there is at
// most one. The claim is queued for the log at once if the key is free in the
// current state. Otherwise the holder may have released the key since, so that a
// new read of the tail is needed first.
func (k *Keeper) addClaim(req ReqID, c Claim) {
	for _, w := range k.claims {
		if w.claim.Attempt == c.Attempt {
			w.requests = append(w.requests, req)
			return
		}
	}
	w := &pendingClaim{claim: c, requests: []ReqID{req}, afterRead: k.readSeq}
	k.claims = append(k.claims, w)
	if _, held := k.state.Holder(c.Key); !held && k.state.ClaimStatus(c.Attempt) == Unseen && k.atTail {
		k.enqueueClaim(w)
	}
}

func (k *Keeper) enqueueClaim(w *pendingClaim) {
	w.stage = stageQueued
	k.queue = append(k.queue, queuedRecord{record: Record{Kind: KindClaim, Attempt: w.claim.Attempt, Claim: w.claim}, claim: w})
}

// holderReply returns the reply to a claim of a key that h already holds.
func (k *Keeper) holderReply(req ReqID, c Claim, h Holder) Reply {
	switch {
	case h.Claim.Body != c.Body:
		return Reply{RequestID: req, Result: ResultKeyReused, Holder: h}
	case h.Settled:
		return Reply{RequestID: req, Result: ResultSettled, Holder: h}
	}
	return Reply{RequestID: req, Result: ResultPending, Holder: h}
}

// Append queues an outcome or a release for the log.
func (k *Keeper) Append(now time.Time, req ReqID, r Record) Commands {
	k.queue = append(k.queue, queuedRecord{record: r, request: req})
	return k.startDue(now)
}

// Lookup handles a request for the state of a key.
func (k *Keeper) Lookup(now time.Time, req ReqID, key Hash) Commands {
	if h, ok := k.state.Holder(key); ok && h.Settled {
		k.reply(Reply{RequestID: req, Result: ResultSettled, Holder: h})
	} else if k.logUnavailable {
		k.reply(Reply{RequestID: req, Result: ResultUnavailable, Holder: h})
	} else {
		k.lookups = append(k.lookups, pendingLookup{req, key, k.readSeq})
	}
	return k.startDue(now)
}

// ObserveVersion checks a resource version that is about to be returned to a customer
// against the resource's floor, and raises the floor to it.
func (k *Keeper) ObserveVersion(now time.Time, req ReqID, resource Hash, version uint64) Commands {
	w := &pendingObserve{request: req, resource: resource, version: version, afterRead: k.readSeq, floorOffset: -1}
	switch {
	case version < k.floor(resource):
		k.reply(Reply{RequestID: req, Result: ResultStale, Floor: k.floor(resource)})
	case k.logUnavailable:
		k.observeInMemory(w)
	default:
		k.observes = append(k.observes, w)
	}
	return k.startDue(now)
}

func (k *Keeper) floor(resource Hash) uint64 {
	return max(k.state.Floor(resource), k.memoryFloors[resource])
}

// observeInMemory decides an observation by the floors in memory, without the log.
func (k *Keeper) observeInMemory(w *pendingObserve) {
	f := k.floor(w.resource)
	if w.version < f {
		k.reply(Reply{RequestID: w.request, Result: ResultStale, Floor: f})
		return
	}
	k.memoryFloors[w.resource] = w.version
	k.reply(Reply{RequestID: w.request, Result: ResultMemoryOnly, Floor: w.version})
}
