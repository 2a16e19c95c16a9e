package claims

import (
	"cmp"
	"flag"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// searchLimit keeps the search of a history that has no order from taking all of
// the memory. Histories of correct runs take milliseconds.
const searchLimit = time.Minute

// TestMain fixes what rapid would draw from the clock. make faults gives other
// values for more runs.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.steps": "120", "rapid.nofailfile": "true"} {
		if !given[name] {
			_ = flag.Set(name, value) // the flag is rapid's
		}
	}
	os.Exit(m.Run())
}

// TestFaults guards against a second effect of a key, an effect after not_run, a
// grant without the first valid claim, an older version shown after a newer one,
// and replies that no order of the requests explains.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"": w.step, "start": w.start, "start2": w.start, "again": w.again, "dispatch": w.dispatch, "dispatch2": w.dispatch,
			"settle": w.settle, "close": w.close, "lookup": w.lookup, "observe": w.observe,
			"reply": w.reply, "reply2": w.reply, "reply3": w.reply, "crash executor": w.crashExecutor, "crash keeper": w.crashKeeper, "land": w.land,
			"append": w.appendEnds, "append2": w.appendEnds, "append3": w.appendEnds, "read": w.readEnds, "read2": w.readEnds, "read3": w.readEnds, "read4": w.readEnds,
			"tick": w.tick, "age": w.age, "outcome": w.outcomeEnds, "outcome2": w.outcomeEnds,
		})
		if w.trims {
			return
		}
		if r := porcupine.CheckOperationsTimeout(keyModel, w.operations(), searchLimit); r != porcupine.Ok {
			t.Fatalf("no order of the requests explains the replies (%s)", r)
		}
	})
}

// operations returns the history. Requests without a reply may take effect at
// any time.
func (w *world) operations() []porcupine.Operation {
	ops := w.history
	for req := range ReqID(len(w.asked)) {
		if op := w.asked[req+1]; op.Output == nil {
			o := *op
			o.Output, o.Return = output{result: ResultUnavailable}, w.steps
			ops = append(ops, o)
		}
	}
	return reduce(ops, w.steps+1)
}

// reduce drops what can't matter, so that the search stays small: requests
// without a reply of attempts that no reply names as the holder, and all but the
// first of one kind for one attempt. The others may take effect until the end.
func reduce(ops []porcupine.Operation, end int64) []porcupine.Operation {
	type once struct {
		kind    Kind
		attempt string
	}
	named, seen := map[string]bool{}, map[once]bool{}
	for _, o := range slices.Clone(ops) {
		in, out := o.Input.(input), o.Output.(output)
		if in.kind == KindClaim && out.result != ResultGranted && out.result != ResultUnavailable {
			// The claim may have held the key and been released before the reply,
			// which then tells about a later holder.
			o.Output = output{result: ResultUnavailable}
			ops = append(ops, o)
		}
		named[out.holding.Claim.Attempt] = true
		named[in.claim.Attempt] = named[in.claim.Attempt] || out.result == ResultGranted
	}
	slices.SortStableFunc(ops, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
	var kept []porcupine.Operation
	for _, o := range ops {
		in := o.Input.(input)
		if in.kind == KindFloor {
			continue
		}
		if o.Output.(output).result == ResultUnavailable {
			key := once{in.kind, in.claim.Attempt}
			if in.kind == 0 || !named[in.claim.Attempt] || seen[key] {
				continue
			}
			seen[key], o.Return = true, end
		}
		kept = append(kept, o)
	}
	return kept
}

type input struct {
	kind    Kind // zero for a lookup
	claim   Claim
	version uint64
}

type output struct {
	result  Result
	holding Holding
}

// register is the state of one key. An attempt that was released or refused can
// never hold the key.
type register struct {
	holder string
	body   Hash
	done   bool
	closed string // IDs of closed attempts, sorted, each followed by a comma
}

func (r register) isClosed(attempt string) bool {
	return slices.Contains(strings.Split(r.closed, ","), attempt)
}

func (r register) close(attempt string) register {
	if !r.isClosed(attempt) {
		ids := append(strings.Split(r.closed, ","), attempt)
		slices.Sort(ids)
		r.closed = strings.TrimPrefix(strings.Join(ids, ",")+",", ",")
		r.closed = strings.ReplaceAll(r.closed, ",,", ",")
	}
	return r
}

var keyModel = (&porcupine.NondeterministicModel{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		var keys []Hash
		parts := map[Hash][]porcupine.Operation{}
		for _, o := range ops {
			k := o.Input.(input).claim.Key
			if parts[k] == nil {
				keys = append(keys, k)
			}
			parts[k] = append(parts[k], o)
		}
		var out [][]porcupine.Operation
		for _, k := range keys {
			out = append(out, parts[k])
		}
		return out
	},
	Init: func() []any { return []any{register{}} },
	Step: func(state, in, out any) []any { return steps(state.(register), in.(input), out.(output)) },
}).ToModel()

// steps returns the states that an operation with this reply can lead to.
func steps(r register, in input, out output) []any {
	a, same := in.claim.Attempt, []any{r}
	maybe := func(next register) []any {
		if out.result == ResultUnavailable {
			return []any{r, next}
		}
		return []any{next}
	}
	switch in.kind {
	case KindRelease:
		next := r.close(a)
		if r.holder == a && !r.done {
			next.holder = ""
		}
		return maybe(next)
	case KindOutcome:
		next := r
		next.done = r.done || r.holder == a
		return maybe(next)
	}
	h := out.holding
	switch out.result {
	case ResultUnavailable:
		if in.kind == KindClaim && r.holder == "" && !r.isClosed(a) {
			return []any{r, register{holder: a, body: in.claim.Body, closed: r.closed}}
		}
		return same
	case ResultGranted:
		if (r.holder == "" || r.holder == a) && !r.done && !r.isClosed(a) {
			return []any{register{holder: a, body: in.claim.Body, closed: r.closed}}
		}
	case ResultSettled:
		if h.Outcome != nil && (in.kind == 0 || r.body == in.claim.Body) && r.done && r.holder == h.Claim.Attempt && string(h.Outcome.Body) == r.holder {
			return same
		}
	case ResultPending:
		if (in.kind == 0 || r.body == in.claim.Body) && !r.done && r.holder == h.Claim.Attempt && r.holder != a {
			return same
		}
	case ResultKeyReused:
		if r.holder != "" && r.body != in.claim.Body {
			return same
		}
	case ResultNone:
		if r.holder == "" {
			return same
		}
	case ResultExpired:
		return same
	case ResultVoid:
		if r.holder != a {
			return []any{r.close(a)}
		}
	}
	return nil
}

// TestKeys guards against keys whose claim could be forgotten and then made
// again, and against two spellings of one key.
func TestKeys(t *testing.T) {
	const good = "01890a5d-ac96-774b-bcce-b302099a8057"
	at, err := KeyTime(good)
	require.NoError(t, err)
	require.EqualValues(t, 0x01890a5dac96, at.UnixMilli())
	for _, bad := range []string{"", "x", "01890A5D-AC96-774B-BCCE-B302099A8057", "01890a5dac96774bbcceb302099a8057",
		"urn:uuid:" + good, "{" + good + "}", "01890a5d-ac96-474b-bcce-b302099a8057", "01890a5d-ac96-774b-ccce-b302099a8057"} {
		_, err := KeyTime(bad)
		require.Error(t, err, bad)
	}
	require.NoError(t, CheckWindow(at, at.Add(simWindow), simWindow))
	require.Error(t, CheckWindow(at, at.Add(simWindow+1), simWindow))
	require.NoError(t, CheckWindow(at, at.Add(-FutureLimit), simWindow))
	require.Error(t, CheckWindow(at, at.Add(-FutureLimit-1), simWindow))
}
