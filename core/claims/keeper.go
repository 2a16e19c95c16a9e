package claims

import "time"

// MaxGroup is the largest number of records in one append.
const MaxGroup = 256

// ReqID identifies a request to the keeper until its reply.
type ReqID uint64

// Result is the keeper's reply to a request.
type Result int

// The results. Unavailable promises nothing: the claim may still become valid.
const (
	ResultGranted     Result = iota + 1 // claim: valid, may be dispatched
	ResultPending                       // claim, lookup: another attempt holds the key
	ResultSettled                       // claim, lookup: the outcome is known
	ResultKeyReused                     // claim: the key is held with another body
	ResultVoid                          // claim: can never be valid
	ResultExpired                       // claim: the key is outside its window
	ResultUnavailable                   // the log did not take the record or could not be read
	ResultDone                          // outcome or release: recorded
	ResultNone                          // lookup: nobody holds the key
	ResultOK                            // observe: not below the floor
	ResultStale                         // observe: below the floor
	ResultMemoryOnly                    // observe: not below the floor in memory; the log is unavailable
)

// Reply answers one request.
type Reply struct {
	Req     ReqID
	Result  Result
	Holding Holding // ResultPending, ResultSettled, ResultKeyReused
	Floor   uint64  // observe
}

// Append tells the edge to append a group.
type Append struct {
	Seq     uint64
	Records []Record
}

// Read tells the edge to read from the offset without waiting.
type Read struct {
	Seq  uint64
	From int64
}

// Commands are what an input leads to. The edge carries all of them out.
type Commands struct {
	Append   *Append
	Read     *Read
	Outcomes []Position // outcomes to read again; OutcomeRead or OutcomeFailed follows for each
	Replies  []Reply
}

// AppendResult tells how an append ended.
type AppendResult int

// The ends of an append.
const (
	Taken   AppendResult = iota + 1 // written at the offset
	Refused                         // not written, and never will be
	Lost                            // may be written, now or later
)

// Options sets up a keeper.
type Options struct {
	GroupInterval time.Duration // between the starts of two appends
	PollInterval  time.Duration // between reads when nobody waits
	Window        time.Duration // key window
}

// stage is how far a claim has come.
type stage int

const (
	stageFresh  stage = iota // waits for a read of the tail before it is appended
	stageQueued              // waits for the next group
	stageFlying              // its append is under way
	stageTaken               // waits for the read of its own record
	stageLost                // waits for a read that began after the answer was lost
	stageVoid                // a void is on its way
)

type claimWait struct {
	claim  Claim
	reqs   []ReqID
	stage  stage
	offset int64  // stageTaken
	after  uint64 // stageFresh, stageLost: the reads up to this one began too early
}

type observeWait struct {
	req      ReqID
	resource Hash
	version  uint64
	after    uint64
	offset   int64 // of its floor record; -1 before it was appended
	queued   bool
}

type lookupWait struct {
	req   ReqID
	key   Hash
	after uint64
}

// item is one record that waits for a group, with whoever waits for it.
type item struct {
	rec     Record
	claim   *claimWait
	observe *observeWait
	req     ReqID // outcome or release
}

// Keeper serves one partition. It is not safe for concurrent use.
type Keeper struct {
	o        Options
	st       *State
	queue    []item
	flying   []item
	appendAt time.Time // start of the last append
	appends  uint64    // sequence number of the last append
	reads    uint64    // sequence number of the last read
	reading  bool
	readAt   time.Time // start of the last read
	readAll  bool      // the last read reached the tail
	down     bool      // the last read failed
	claims   []*claimWait
	lookups  []lookupWait
	observes []*observeWait
	repeats  map[Position][]Reply // wait for their outcome to be read again
	memory   map[Hash]uint64      // floors that the log has not taken
	out      Commands
}

// NewKeeper returns a keeper that has read nothing.
func NewKeeper(o Options) *Keeper {
	return &Keeper{o: o, st: NewState(), repeats: map[Position][]Reply{}, memory: map[Hash]uint64{}}
}

// State returns what the keeper knows of the partition, for reading only.
func (k *Keeper) State() *State { return k.st }

// Ready reports whether the keeper's last read reached the tail of the log.
func (k *Keeper) Ready() bool { return k.readAll && !k.down }

// reply queues the reply. One with an outcome waits until the outcome was read.
func (k *Keeper) reply(r Reply) {
	if r.Result == ResultSettled && r.Holding.Outcome == nil {
		k.readOutcome(r)
		return
	}
	k.out.Replies = append(k.out.Replies, r)
}

// flush starts what is due and returns all commands.
func (k *Keeper) flush(now time.Time) Commands {
	if len(k.flying) == 0 && len(k.queue) > 0 && !now.Before(k.appendAt.Add(k.o.GroupInterval)) {
		k.startAppend(now)
	}
	if !k.reading && (k.wanted() || !now.Before(k.readAt.Add(k.o.PollInterval))) {
		k.reads++
		k.reading, k.readAt = true, now
		k.out.Read = &Read{Seq: k.reads, From: k.st.Next()}
	}
	out := k.out
	k.out = Commands{}
	return out
}

func (k *Keeper) startAppend(now time.Time) {
	n := min(len(k.queue), MaxGroup)
	k.flying, k.queue = k.queue[:n:n], k.queue[n:]
	a := &Append{Records: make([]Record, 0, n)}
	for _, it := range k.flying {
		a.Records = append(a.Records, it.rec)
		if it.claim != nil && it.rec.Kind == KindClaim {
			it.claim.stage = stageFlying
		}
	}
	k.appends++
	a.Seq, k.appendAt = k.appends, now
	k.out.Append = a
}

// wanted reports whether a read would bring somebody further. After a failed
// read or one that found nothing new, the next waits for the poll interval.
func (k *Keeper) wanted() bool {
	if k.down {
		return false
	}
	for _, w := range k.claims {
		if w.stage == stageFresh || w.stage == stageTaken || w.stage == stageLost {
			return true
		}
	}
	for _, w := range k.observes {
		if !w.queued || w.offset >= 0 {
			return true
		}
	}
	return len(k.lookups) > 0 || !k.readAll
}

// Tick starts what has become due.
func (k *Keeper) Tick(now time.Time) Commands { return k.flush(now) }

// Claim takes an executor's request for a claim.
func (k *Keeper) Claim(now time.Time, req ReqID, c Claim) Commands {
	h, held := k.st.Holding(c.Key)
	switch {
	case held && h.Settled:
		k.reply(k.describe(req, c, h))
	case CheckWindow(time.UnixMilli(c.KeyTimeMs), now, k.o.Window) != nil:
		k.reply(Reply{Req: req, Result: ResultExpired})
	case k.down:
		k.reply(Reply{Req: req, Result: ResultUnavailable, Holding: h})
	default:
		k.enlist(req, c)
	}
	return k.flush(now)
}

// enlist adds the request to the claims, of which one attempt has at most one.
// A claim goes to the log at once when the key looks free; else the holder may
// have released it since, which only a fresh read can tell.
func (k *Keeper) enlist(req ReqID, c Claim) {
	for _, w := range k.claims {
		if w.claim.Attempt == c.Attempt {
			w.reqs = append(w.reqs, req)
			return
		}
	}
	w := &claimWait{claim: c, reqs: []ReqID{req}, after: k.reads}
	k.claims = append(k.claims, w)
	if _, held := k.st.Holding(c.Key); !held && k.st.Standing(c.Attempt) == Unseen && k.readAll {
		k.enqueueClaim(w)
	}
}

func (k *Keeper) enqueueClaim(w *claimWait) {
	w.stage = stageQueued
	k.queue = append(k.queue, item{rec: Record{Kind: KindClaim, Attempt: w.claim.Attempt, Claim: w.claim}, claim: w})
}

// describe tells a claimant about the claim that holds the key.
func (k *Keeper) describe(req ReqID, c Claim, h Holding) Reply {
	switch {
	case h.Claim.Body != c.Body:
		return Reply{Req: req, Result: ResultKeyReused, Holding: h}
	case h.Settled:
		return Reply{Req: req, Result: ResultSettled, Holding: h}
	}
	return Reply{Req: req, Result: ResultPending, Holding: h}
}

// Record takes an outcome or a release.
func (k *Keeper) Record(now time.Time, req ReqID, r Record) Commands {
	k.queue = append(k.queue, item{rec: r, req: req})
	return k.flush(now)
}

// Lookup takes a request for what is known of a key.
func (k *Keeper) Lookup(now time.Time, req ReqID, key Hash) Commands {
	if h, ok := k.st.Holding(key); ok && h.Settled {
		k.reply(Reply{Req: req, Result: ResultSettled, Holding: h})
	} else if k.down {
		k.reply(Reply{Req: req, Result: ResultUnavailable, Holding: h})
	} else {
		k.lookups = append(k.lookups, lookupWait{req, key, k.reads})
	}
	return k.flush(now)
}

// Observe takes a version that is about to be shown to a customer.
func (k *Keeper) Observe(now time.Time, req ReqID, resource Hash, version uint64) Commands {
	w := &observeWait{req: req, resource: resource, version: version, after: k.reads, offset: -1}
	switch {
	case version < k.floor(resource):
		k.reply(Reply{Req: req, Result: ResultStale, Floor: k.floor(resource)})
	case k.down:
		k.observeInMemory(w)
	default:
		k.observes = append(k.observes, w)
	}
	return k.flush(now)
}

func (k *Keeper) floor(resource Hash) uint64 {
	return max(k.st.Floor(resource), k.memory[resource])
}

// observeInMemory decides without the log.
func (k *Keeper) observeInMemory(w *observeWait) {
	f := k.floor(w.resource)
	if w.version < f {
		k.reply(Reply{Req: w.req, Result: ResultStale, Floor: f})
		return
	}
	k.memory[w.resource] = w.version
	k.reply(Reply{Req: w.req, Result: ResultMemoryOnly, Floor: w.version})
}
