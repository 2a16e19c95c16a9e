package claims

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"
)

const (
	simWindow    = 24 * time.Hour
	simPageLimit = 3 // entries in a page, so that reads are cut
)

// try is one attempt of an executor.
type try struct {
	Attempt
	c       Claim
	crashed bool
	notRun  bool // the caller was told
}

// simKeeper is a keeper with its commands that are under way.
type simKeeper struct {
	*Keeper
	append *Append
	read   *Read
	asked  []Position // outcomes to read again
	early  Page       // what the read would have seen when it began
}

// world is a log, two keepers and their executors. Every step is drawn.
type world struct {
	t       *rapid.T
	now     time.Time
	log     []Entry // all that was ever taken; the offset is the index
	first   int64
	late    [][]Record
	keepers [2]*simKeeper
	keys    []int64 // their times, Unix milliseconds
	tries   []*try
	effects map[Hash]int
	replies []Reply
	asked   map[ReqID]*porcupine.Operation
	history []porcupine.Operation
	steps   int64
	trims   bool   // time passes quickly and the log is trimmed
	shown   uint64 // highest version that a caller was shown
	atCall  map[ReqID]uint64
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: time.UnixMilli(1e12), effects: map[Hash]int{}, asked: map[ReqID]*porcupine.Operation{}, atCall: map[ReqID]uint64{}}
	w.trims = rapid.Bool().Draw(t, "trims")
	for i := range w.keepers {
		w.keepers[i] = w.newKeeper()
	}
	return w
}

func (w *world) newKeeper() *simKeeper {
	return &simKeeper{Keeper: NewKeeper(Options{GroupInterval: 40 * time.Millisecond, PollInterval: 200 * time.Millisecond, Window: simWindow})}
}

// draw returns a number below n.
func (w *world) draw(what string, n int) int { return rapid.IntRange(0, n-1).Draw(w.t, what) }

func (w *world) keeper() *simKeeper { return w.keepers[w.draw("keeper", len(w.keepers))] }

func (w *world) step(*rapid.T) {
	w.steps++
	w.now = w.now.Add(10 * time.Millisecond)
}

func (w *world) do(k *simKeeper, c Commands) {
	if c.Append != nil {
		k.append = c.Append
	}
	if c.Read != nil {
		k.read, k.early = c.Read, w.page(c.Read.From)
	}
	k.asked = append(k.asked, c.Outcomes...)
	for _, r := range c.Replies {
		if h := r.Holding; h.Settled && !(w.firstValid(h.Claim.Attempt) && w.recorded(h.Claim.Attempt)) {
			w.t.Fatalf("told to have run without an outcome in the log: %+v", h)
		}
		if r.Result == ResultGranted && !w.firstValid(w.asked[r.Req].Input.(input).claim.Attempt) {
			w.t.Fatalf("granted without the first valid claim: %+v", w.asked[r.Req].Input)
		}
	}
	w.replies = append(w.replies, c.Replies...)
}

func (w *world) page(from int64) Page {
	p := Page{First: w.first, Next: int64(len(w.log))}
	from = max(from, w.first)
	p.Entries = w.log[min(from, p.Next):min(from+simPageLimit, p.Next)]
	return p
}

func (w *world) take(rs []Record) int64 {
	o := int64(len(w.log))
	w.log = append(w.log, Entry{Offset: o, TimeMs: w.now.UnixMilli(), Records: rs})
	return o
}

// firstValid judges an attempt by the whole log, trimmed entries included.
func (w *world) firstValid(attempt string) bool {
	holder, judged, settled := map[Hash]string{}, map[string]bool{}, map[string]bool{}
	for _, e := range w.log {
		for _, r := range e.Records {
			switch c := r.Claim; {
			case r.Kind == KindClaim:
				if judged[r.Attempt] || e.TimeMs > c.ExpiresMs || c.KeyTimeMs > e.TimeMs+FutureLimit.Milliseconds() {
					continue
				}
				judged[r.Attempt] = true
				if holder[c.Key] == "" {
					if holder[c.Key] = r.Attempt; r.Attempt == attempt {
						return true
					}
				}
			case r.Kind == KindOutcome:
				settled[r.Attempt] = true
			case r.Kind == KindVoid || r.Kind == KindRelease:
				judged[r.Attempt] = true
				for k, a := range holder {
					if a == r.Attempt && r.Kind == KindRelease && !settled[a] {
						holder[k] = ""
					}
				}
			}
		}
	}
	return false
}

func (w *world) recorded(attempt string) bool {
	for _, e := range w.log {
		for _, r := range e.Records {
			if r.Kind == KindOutcome && r.Attempt == attempt {
				return true
			}
		}
	}
	return false
}

// outcomeEnds ends one read of an outcome.
func (w *world) outcomeEnds(t *rapid.T) {
	k := w.keeper()
	if len(k.asked) == 0 {
		t.Skip("no read of an outcome")
	}
	i := w.draw("outcome", len(k.asked))
	at := k.asked[i]
	k.asked = append(k.asked[:i:i], k.asked[i+1:]...)
	if w.draw("end", 4) == 0 {
		w.do(k, k.OutcomeFailed(w.now, at))
		return
	}
	w.do(k, k.OutcomeRead(w.now, at, w.page(at.Offset)))
}

// ask sends a request and notes it in the history.
func (w *world) ask(k *simKeeper, in input) {
	req := ReqID(len(w.asked) + 1)
	w.asked[req] = &porcupine.Operation{ClientId: int(req), Input: in, Call: w.steps}
	w.atCall[req] = w.shown
	switch in.kind {
	case KindClaim:
		w.do(k, k.Claim(w.now, req, in.claim))
	case KindOutcome:
		w.do(k, k.Record(w.now, req, Record{Kind: KindOutcome, Attempt: in.claim.Attempt, Outcome: Outcome{Body: []byte(in.claim.Attempt)}}))
	case KindRelease:
		w.do(k, k.Record(w.now, req, Record{Kind: KindRelease, Attempt: in.claim.Attempt}))
	case KindFloor:
		w.do(k, k.Observe(w.now, req, Hash{9}, in.version))
	default:
		w.do(k, k.Lookup(w.now, req, in.claim.Key))
	}
}

func keyOf(i int) Hash { return KeyHash("customer", fmt.Sprint(i)) }

// key draws a key that was used before or a new one.
func (w *world) key() (Hash, int64) {
	i := w.draw("key", min(len(w.keys), 3)+1)
	if i < min(len(w.keys), 3) {
		i = len(w.keys) - 1 - i
	} else {
		i = len(w.keys)
		w.keys = append(w.keys, w.now.UnixMilli()+rapid.Int64Range(-simWindow.Milliseconds(), FutureLimit.Milliseconds()).Draw(w.t, "age"))
	}
	return keyOf(i), w.keys[i]
}

func (w *world) start(*rapid.T) {
	key, ms := w.key()
	c := Claim{Key: key, Body: Hash{byte(w.draw("body", 2))}, Attempt: fmt.Sprintf("a%d", len(w.tries)), KeyTimeMs: ms, ExpiresMs: ms + simWindow.Milliseconds()}
	w.tries = append(w.tries, &try{c: c})
	w.ask(w.keeper(), input{kind: KindClaim, claim: c})
}

// pick draws a living attempt in one of the phases, nil when there is none.
func (w *world) pick(phases ...Phase) *try {
	var ts []*try
	for _, x := range w.tries {
		for _, p := range phases {
			if !x.crashed && x.Phase() == p {
				ts = append(ts, x)
			}
		}
	}
	if len(ts) == 0 {
		w.t.Skip("no such attempt")
	}
	return ts[w.draw("attempt", len(ts))]
}

func (w *world) again(*rapid.T) { w.ask(w.keeper(), input{kind: KindClaim, claim: w.pick(Open).c}) }

func (w *world) dispatch(*rapid.T) {
	x := w.pick(Open, Granted, Dispatched, Closed)
	if !x.Dispatch() {
		return
	}
	w.effects[x.c.Key]++
	if w.effects[x.c.Key] > 1 || x.notRun {
		w.t.Fatalf("attempt %s: effects of its key %d, not_run told %t", x.c.Attempt, w.effects[x.c.Key], x.notRun)
	}
}

func (w *world) settle(*rapid.T) {
	w.ask(w.keeper(), input{kind: KindOutcome, claim: w.pick(Dispatched).c})
}

func (w *world) close(*rapid.T) {
	x := w.pick(Open, Granted, Dispatched, Closed)
	sent := x.Phase() == Dispatched
	if x.Close() {
		if sent {
			w.t.Fatalf("attempt %s was closed after its dispatch", x.c.Attempt)
		}
		x.notRun = true
		w.ask(w.keeper(), input{kind: KindRelease, claim: x.c})
	}
}

func (w *world) lookup(*rapid.T) {
	if len(w.keys) == 0 {
		return
	}
	w.ask(w.keeper(), input{claim: Claim{Key: keyOf(w.draw("key", len(w.keys)))}})
}

func (w *world) observe(*rapid.T) {
	w.ask(w.keeper(), input{kind: KindFloor, version: w.shown + uint64(w.draw("version", 3))})
}

// reply delivers, delays or loses one reply.
func (w *world) reply(t *rapid.T) {
	if len(w.replies) == 0 {
		t.Skip("no reply")
	}
	i := w.draw("reply", len(w.replies))
	r := w.replies[i]
	w.replies = append(w.replies[:i:i], w.replies[i+1:]...)
	op := w.asked[r.Req]
	in := op.Input.(input)
	if rapid.IntRange(0, 9).Draw(t, "lose") == 0 {
		return
	}
	op.Return, op.Output = w.steps, output{r.Result, r.Holding}
	w.history = append(w.history, *op)
	delete(w.asked, r.Req)
	w.asked[r.Req] = op
	switch {
	case r.Result == ResultOK:
		if !w.trims && in.version < w.atCall[r.Req] {
			t.Fatalf("version %d was shown after version %d", in.version, w.atCall[r.Req])
		}
		w.shown = max(w.shown, in.version)
	case r.Result == ResultGranted:
		for _, x := range w.tries {
			if x.c.Attempt == in.claim.Attempt && !x.crashed {
				x.Grant()
			}
		}
	}
}

func (w *world) crashExecutor(*rapid.T) { w.pick(Open, Granted, Dispatched, Closed).crashed = true }

func (w *world) crashKeeper(*rapid.T) {
	i := w.draw("keeper", len(w.keepers))
	if a := w.keepers[i].append; a != nil {
		w.late = append(w.late, a.Records)
	}
	w.keepers[i] = w.newKeeper()
}

func (w *world) land(t *rapid.T) {
	if len(w.late) == 0 {
		t.Skip("no late append")
	}
	i := w.draw("late", len(w.late))
	w.take(w.late[i])
	if rapid.Bool().Draw(t, "once") {
		w.late = append(w.late[:i:i], w.late[i+1:]...)
	}
}

func (w *world) appendEnds(t *rapid.T) {
	k := w.keeper()
	if k.append == nil {
		t.Skip("no append")
	}
	a, result, offset := k.append, Lost, int64(0)
	k.append = nil
	switch w.draw("end", 6) {
	case 0, 1:
		result, offset = Taken, w.take(a.Records)
	case 2:
		result = Refused
	case 3:
		w.take(a.Records)
	case 4:
		w.late = append(w.late, a.Records)
	}
	w.do(k, k.Appended(w.now, a.Seq, result, offset))
}

func (w *world) readEnds(t *rapid.T) {
	k := w.keeper()
	if k.read == nil {
		t.Skip("no read")
	}
	r := k.read
	k.read = nil
	switch w.draw("end", 6) {
	case 0:
		w.do(k, k.ReadFailed(w.now, r.Seq))
	case 1:
		w.do(k, k.ReadDone(w.now, r.Seq, k.early))
	default:
		w.do(k, k.ReadDone(w.now, r.Seq, w.page(r.From)))
	}
}

func (w *world) tick(*rapid.T) {
	w.now = w.now.Add(50 * time.Millisecond)
	k := w.keeper()
	w.do(k, k.Tick(w.now))
}

// age lets hours pass and trims the log, also within the key window.
func (w *world) age(t *rapid.T) {
	if !w.trims {
		t.Skip("no trims")
	}
	w.now = w.now.Add(time.Duration(rapid.Int64Range(0, int64(simWindow)).Draw(t, "passes")))
	w.first = min(int64(len(w.log)), w.first+int64(w.draw("trimmed", 4)))
}
