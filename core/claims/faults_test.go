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

// linearizabilityTimeout ends the check of a history that is not linearizable before
// the check uses up the memory. Histories of correct runs take milliseconds.
const linearizabilityTimeout = time.Minute

// TestMain sets fixed defaults for rapid's flags, since rapid would otherwise take
// its seed from the clock. make faults overrides them for more runs.
func TestMain(m *testing.M) {
	flag.Parse()
	setFlags := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { setFlags[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.steps": "120", "rapid.nofailfile": "true"} {
		if !setFlags[name] {
			_ = flag.Set(name, value) // rapid defines the flag
		}
	}
	os.Exit(m.Run())
}

// TestFaults guards against a key that takes effect twice or after not_run was
// returned, a grant to an attempt that does not hold the key, an older version
// returned after a newer one, and replies that are not linearizable.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		t.Repeat(map[string]func(*rapid.T){
			"": s.advanceClock, "start": s.startAttempt, "start2": s.startAttempt, "again": s.retry, "dispatch": s.dispatch, "dispatch2": s.dispatch,
			"settle": s.settle, "close": s.close, "lookup": s.lookup, "observe": s.observe,
			"reply": s.deliverReply, "reply2": s.deliverReply, "reply3": s.deliverReply, "crash executor": s.crashExecutor, "crash keeper": s.crashNode, "land": s.completeLateAppend,
			"append": s.finishAppend, "append2": s.finishAppend, "append3": s.finishAppend, "read": s.finishRead, "read2": s.finishRead, "read3": s.finishRead, "read4": s.finishRead,
			"tick": s.tick, "age": s.ageAndTrim, "outcome": s.finishOutcomeRead, "outcome2": s.finishOutcomeRead,
		})
		if s.trims {
			return
		}
		if r := porcupine.CheckOperationsTimeout(keyModel, s.completeHistory(), linearizabilityTimeout); r != porcupine.Ok {
			t.Fatalf("the history is not linearizable (%s)", r)
		}
	})
}

// completeHistory returns the history including the requests without a reply, which
// may take effect at any time.
func (s *sim) completeHistory() []porcupine.Operation {
	ops := s.history
	for req := range ReqID(len(s.operations)) {
		if op := s.operations[req+1]; op.Output == nil {
			o := *op
			o.Output, o.Return = output{result: ResultUnavailable}, s.steps
			ops = append(ops, o)
		}
	}
	return pruneHistory(ops, s.steps+1)
}

// pruneHistory adds the possible effects of claims that were not granted, and removes
// operations without influence on the result, to keep the
// search space small: observations, which do not affect keys, lookups without a
// reply, unanswered requests of attempts that no reply names as the holder, and all
// but the first unanswered request of each kind for an attempt. The remaining
// unanswered requests may take effect until the end.
func pruneHistory(ops []porcupine.Operation, end int64) []porcupine.Operation {
	type attemptRequest struct {
		kind    RecordKind
		attempt string
	}
	named, seen := map[string]bool{}, map[attemptRequest]bool{}
	for _, o := range slices.Clone(ops) {
		in, out := o.Input.(input), o.Output.(output)
		if in.kind == KindClaim && out.result != ResultGranted && out.result != ResultUnavailable {
			// The claim may have held the key and been released before the reply,
			// which then names a later holder.
			o.Output = output{result: ResultUnavailable}
			ops = append(ops, o)
		}
		named[out.holder.Claim.Attempt] = true
		named[in.claim.Attempt] = named[in.claim.Attempt] || out.result == ResultGranted
	}
	slices.SortStableFunc(ops, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
	var pruned []porcupine.Operation
	for _, o := range ops {
		in := o.Input.(input)
		if in.kind == KindFloor {
			continue
		}
		if o.Output.(output).result == ResultUnavailable {
			key := attemptRequest{in.kind, in.claim.Attempt}
			if in.kind == 0 || !named[in.claim.Attempt] || seen[key] {
				continue
			}
			seen[key], o.Return = true, end
		}
		pruned = append(pruned, o)
	}
	return pruned
}

type input struct {
	kind    RecordKind // zero for a lookup
	claim   Claim
	version uint64
}

type output struct {
	result Result
	holder Holder
}

// keyState is the model's state of one key. An attempt whose claim was released or
// voided can never hold the key.
type keyState struct {
	holder         string
	body           Hash
	settled        bool
	closedAttempts string // IDs of closed attempts, sorted, each followed by a comma
}

func (r keyState) isClosed(attempt string) bool {
	return slices.Contains(strings.Split(r.closedAttempts, ","), attempt)
}

func (r keyState) close(attempt string) keyState {
	if !r.isClosed(attempt) {
		ids := append(strings.Split(r.closedAttempts, ","), attempt)
		slices.Sort(ids)
		r.closedAttempts = strings.TrimPrefix(strings.Join(ids, ",")+",", ",")
		r.closedAttempts = strings.ReplaceAll(r.closedAttempts, ",,", ",")
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
	Init: func() []any { return []any{keyState{}} },
	Step: func(state, in, out any) []any { return nextStates(state.(keyState), in.(input), out.(output)) },
}).ToModel()

// nextStates returns the possible states after an operation with this reply, or none
// if the reply is not possible in the state.
func nextStates(r keyState, in input, out output) []any {
	a, unchanged := in.claim.Attempt, []any{r}
	possiblyApplied := func(next keyState) []any {
		if out.result == ResultUnavailable {
			return []any{r, next}
		}
		return []any{next}
	}
	switch in.kind {
	case KindRelease:
		next := r.close(a)
		if r.holder == a && !r.settled {
			next.holder = ""
		}
		return possiblyApplied(next)
	case KindOutcome:
		next := r
		next.settled = r.settled || r.holder == a
		return possiblyApplied(next)
	}
	h := out.holder
	switch out.result {
	case ResultUnavailable:
		if in.kind == KindClaim && r.holder == "" && !r.isClosed(a) {
			return []any{r, keyState{holder: a, body: in.claim.Body, closedAttempts: r.closedAttempts}}
		}
		return unchanged
	case ResultGranted:
		if (r.holder == "" || r.holder == a) && !r.settled && !r.isClosed(a) {
			return []any{keyState{holder: a, body: in.claim.Body, closedAttempts: r.closedAttempts}}
		}
	case ResultSettled:
		if h.Outcome != nil && (in.kind == 0 || r.body == in.claim.Body) && r.settled && r.holder == h.Claim.Attempt && string(h.Outcome.Body) == r.holder {
			return unchanged
		}
	case ResultPending:
		if (in.kind == 0 || r.body == in.claim.Body) && !r.settled && r.holder == h.Claim.Attempt && r.holder != a {
			return unchanged
		}
	case ResultKeyReused:
		if r.holder != "" && r.body != in.claim.Body {
			return unchanged
		}
	case ResultNotHeld:
		if r.holder == "" {
			return unchanged
		}
	case ResultExpired:
		return unchanged
	case ResultVoid:
		if r.holder != a {
			return []any{r.close(a)}
		}
	}
	return nil
}

// TestKeyValidation guards against keys outside the key window, whose claim could be
// evicted and then made again, and against two spellings of one key.
func TestKeyValidation(t *testing.T) {
	const good = "01890a5d-ac96-774b-bcce-b302099a8057"
	at, err := KeyTime(good)
	require.NoError(t, err)
	require.EqualValues(t, 0x01890a5dac96, at.UnixMilli())
	for _, bad := range []string{"", "x", "01890A5D-AC96-774B-BCCE-B302099A8057", "01890a5dac96774bbcceb302099a8057",
		"urn:uuid:" + good, "{" + good + "}", "01890a5d-ac96-474b-bcce-b302099a8057", "01890a5d-ac96-774b-ccce-b302099a8057"} {
		_, err := KeyTime(bad)
		require.Error(t, err, bad)
	}
	require.NoError(t, CheckKeyWindow(at, at.Add(simWindow), simWindow))
	require.Error(t, CheckKeyWindow(at, at.Add(simWindow+1), simWindow))
	require.NoError(t, CheckKeyWindow(at, at.Add(-MaxKeyTimeAhead), simWindow))
	require.Error(t, CheckKeyWindow(at, at.Add(-MaxKeyTimeAhead-1), simWindow))
}
