package capacity

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const root = "../.."

// Guards against a capacity page that doesn't match the committed measurement or the
// page template.
func TestPageMatchesCommittedFigures(t *testing.T) {
	r, err := Read(root)
	require.NoError(t, err)
	want, err := r.Page()
	require.NoError(t, err)
	got, err := os.ReadFile(filepath.Join(root, PageFile))
	require.NoError(t, err)
	require.Equal(t, want, string(got), "run make capacity, or bin/capacity --root . --page after a change of the text")
}

// Guards against committed gradients and values that don't follow from the committed
// points and targets, for example after a manual edit.
func TestCommittedFitsMatchTheirPoints(t *testing.T) {
	r, err := Read(root)
	require.NoError(t, err)
	require.NotEmpty(t, r.Slopes)
	for _, s := range r.Slopes {
		f := s.fit()
		require.GreaterOrEqual(t, len(s.Points), 3, s.ID)
		assert.InDelta(t, f.Gradient, s.Gradient, 1e-9*(1+abs(f.Gradient)), s.ID)
		assert.InDelta(t, f.Value, s.Value, 1e-9*(1+abs(f.Value)), s.ID)
	}
}

func abs(x float64) float64 { return max(x, -x) }

// Guards against incorrect extrapolations and verdicts.
func TestSlope(t *testing.T) {
	line := []Point{{1, 3}, {2, 5}, {4, 9}}
	for name, c := range map[string]struct {
		slope       Slope
		value       float64
		sizeAtLimit float64
		verdict     string
	}{
		"linear":              {Slope{Points: line, Target: 10, Limit: 21}, 21, 10, Met},
		"above the limit":     {Slope{Points: line, Target: 10, Limit: 20}, 21, 9.5, NotMet},
		"logarithmic":         {Slope{Points: []Point{{2, 1}, {4, 2}, {8, 3}}, Scale: Log2, Target: 1024, Limit: 11}, 10, 2048, Met},
		"point at the target": {Slope{Points: []Point{{1, 1}, {2, 9}, {3, 5}}, Target: 2, Limit: 6}, 5, 2.5, NotMet},
		"beyond the target":   {Slope{Points: line, Target: 2, Limit: 6}, 5, 2.5, Met},
		"no limit":            {Slope{Points: line, Target: 10}, 21, -0.5, NoLimit},
	} {
		t.Run(name, func(t *testing.T) {
			s := c.slope.fit()
			assert.InDelta(t, c.value, s.Value, 1e-9)
			assert.InDelta(t, c.sizeAtLimit, s.SizeAtLimit(s.Limit), 1e-9)
			assert.Equal(t, c.verdict, s.Verdict())
		})
	}
}

// Guards against measuring a document that the system would reject, and a change that
// doesn't result in a small patch.
func TestDocumentIsValid(t *testing.T) {
	const customers = 20
	d := document(customers)
	require.NoError(t, d.Validate())
	text, err := canonicalText(d)
	require.NoError(t, err)
	change, err := changeRecord(d, text)
	require.NoError(t, err)
	s := newStream(text)
	require.EqualValues(t, 1, s.Version())
	assert.Less(t, len(change.Patch), len(text)/percent)
	_, err = patchCPU(text, change)
	require.NoError(t, err)
}

// Guards against a simulated keeper that leaves claims unanswered or exceeds a
// partition's append limit.
func TestKeeperSimGrantsClaims(t *testing.T) {
	const perSecond = 100
	r := newKeeperSim()
	require.NoError(t, r.run(perSecond))
	sent := perSecond * claimRunDuration.Seconds()
	assert.Greater(t, float64(r.granted), 0.9*sent)
	assert.LessOrEqual(t, float64(r.appends), limitAppendsPerSec*claimRunDuration.Seconds()+1)
	heldKeys := 0
	for i := range int(sent) {
		if _, ok := r.keeper.State().Holder(newClaim(i, r.now).Key); ok {
			heldKeys++
		}
	}
	assert.GreaterOrEqual(t, heldKeys, r.granted)
}

// Guards against a simulation whose figures differ between runs.
func TestSimulationIsRepeatable(t *testing.T) {
	const daemons = 10
	a, err := simulate(daemons)
	require.NoError(t, err)
	b, err := simulate(daemons)
	require.NoError(t, err)
	require.Equal(t, a, b)
	assert.Positive(t, a.bytes)
}

// Guards against a read rate that ignores that each log read blocks until a record
// arrives.
func TestPollerBytesCountBlockingReads(t *testing.T) {
	var err error
	v := values{&Report{Slopes: []Slope{{ID: "live_bytes", Value: 1000}, {ID: "live_log_read_bytes", Value: 595}}}, &err}
	assert.InDelta(t, 1100, pollerBytes(v), 1e-6, "one read in 5.95 s: a wait of 5 s and a pause of 0.95 s")
	require.NoError(t, err)
}
