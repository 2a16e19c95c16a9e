package claims

import (
	"flag"
	"os"
	"slices"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

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
			"tick": w.tick, "age": w.age,
		})
		if !w.trims && !porcupine.CheckOperations(keyModel, w.operations()) {
			t.Fatalf("no order of the requests explains the replies")
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
	ops = slices.DeleteFunc(ops, func(o porcupine.Operation) bool { return o.Input.(input).kind == KindFloor })
	for i := range ops {
		if ops[i].Output.(output).result == ResultUnavailable {
			ops[i].Return = w.steps + 1
		}
	}
	return ops
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
	closed string // IDs of closed attempts, each after a comma
}

func (r register) isClosed(attempt string) bool { return slices.Contains(split(r.closed), attempt) }

func split(s string) []string {
	var out []string
	for s != "" {
		i := 1
		for i < len(s) && s[i] != ',' {
			i++
		}
		out, s = append(out, s[1:i]), s[i:]
	}
	return out
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
		next := r
		next.closed += "," + a
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
		if r.done && r.holder == h.Claim.Attempt && string(h.Outcome.Body) == r.holder {
			return same
		}
	case ResultPending:
		if !r.done && r.holder == h.Claim.Attempt && r.holder != a {
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
	case ResultVoid, ResultExpired:
		return same
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
