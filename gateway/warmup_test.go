package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/forward"
)

// warmFixture is a gateway with two endpoints, whose service bounds warming endpoints, in a group of
// one entry.
func warmFixture(t *testing.T) (f *fixture, first, second *testEndpoint) {
	t.Helper()
	first, second = serveRaw(t, respondOK("first")), serveRaw(t, respondOK("second"))
	f = newFixture(t, first, second)
	s := testSettings()
	s.WarmUpRatio, s.WarmUpRequests = 1.5, 5
	f.state.settings = s
	config := *f.state.table.Config
	config.Version, config.Services = 2, []forward.Service{{Name: "s", WarmUpPerS: 2, WarmUpLength: 3 * time.Second}}
	f.applyOperators([]forward.OperatorChange{{Config: &config}}, f.clock.read(), false)
	now := f.clock.read()
	f.state.warmUpGroup.RecordMembers(f.memberID, []string{f.memberID}, forward.Generation{}, now+time.Hour, memberLease, now-time.Hour)
	return f, first, second
}

func (f *fixture) changeRecord(id string, change func(*forward.Endpoint)) {
	e, _ := f.state.endpointList.Get(id, f.clock.read())
	e.Heartbeat++
	change(&e)
	f.applyEndpoints([]forward.EndpointChange{{ID: id, Endpoint: &e}}, f.clock.read(), false)
}

// Guards against a burst of requests at an endpoint that is warming up, and against requests that are
// refused although another endpoint could take them.
func TestWarmingEndpointGetsItsShare(t *testing.T) {
	f, first, second := warmFixture(t)
	f.state.endpointState("e0").warmUp.Observe(3*time.Second, true, f.clock.read())
	for range 40 {
		status, _, err := f.do(t, f.request(t, "GET", "/safe/x", ""))
		require.NoError(t, err)
		require.Equal(t, 200, status)
		f.clock.advance(25 * time.Millisecond)
	}
	require.LessOrEqual(t, first.requests.Load(), int64(2*1.5+5))
	require.Positive(t, first.requests.Load(), "the warming endpoint gets no request at all")
	require.GreaterOrEqual(t, second.requests.Load(), int64(32))
}

// Guards against requests to an evacuated failure domain, and against a burst at its endpoints when
// they are used again.
func TestEvacuatedDomainGetsNothing(t *testing.T) {
	f, first, second := warmFixture(t)
	get := func() int {
		status, _, err := f.do(t, f.request(t, "GET", "/safe/x", ""))
		require.NoError(t, err)
		return status
	}
	f.applyOperators([]forward.OperatorChange{{Evacuation: &forward.EvacuationChange{Domain: "a"}}}, f.clock.read(), false)
	for range 10 {
		require.Equal(t, 200, get())
	}
	require.Zero(t, first.requests.Load())
	require.Equal(t, []EvacuatedDomain{{Domain: "a"}}, f.Status().Evacuated)
	f.applyOperators([]forward.OperatorChange{{Evacuation: &forward.EvacuationChange{Domain: "b"}}}, f.clock.read(), false)
	require.Equal(t, 503, get(), "no domain is left")
	f.applyOperators([]forward.OperatorChange{{Evacuation: &forward.EvacuationChange{Domain: "a", Ended: true}}, {Evacuation: &forward.EvacuationChange{Domain: "b", Ended: true}}}, f.clock.read(), false)
	for range 40 {
		get()
		f.clock.advance(25 * time.Millisecond)
	}
	require.LessOrEqual(t, first.requests.Load(), int64(2*1.5+5), "its endpoints count as warming up")
	require.LessOrEqual(t, second.requests.Load()-10, int64(2*1.5+5))
	f.changeRecord("e0", func(*forward.Endpoint) {})
	f.clock.advance(1100 * time.Millisecond)
	before := first.requests.Load()
	for range 10 {
		require.Equal(t, 200, get())
	}
	require.Equal(t, before+10, first.requests.Load(), "a newer record ends the warm-up")
}

// Guards against a placement from before an evacuation or a warm-up that is sent after it, as by a
// process that was suspended in between.
func TestPlacedRequestIsCheckedBeforeItIsSent(t *testing.T) {
	f, _, _ := warmFixture(t)
	e, _ := f.state.endpointList.Get("e0", f.clock.read())
	sv := f.state.table.Service("s")
	p := &placement{endpoint: e, placedAt: f.clock.read()}
	require.NoError(t, f.state.checkWarmUp(p, sv))
	f.changeRecord("e0", func(e *forward.Endpoint) { e.WarmUpRemaining = 3 * time.Second })
	require.ErrorIs(t, f.state.checkWarmUp(p, sv), errWarmingUp)
	p.warmUp = true
	require.NoError(t, f.state.checkWarmUp(p, sv))
	f.clock.advance(forward.MaxWarmUpSendDelay)
	require.ErrorIs(t, f.state.checkWarmUp(p, sv), errWarmingUp, "counted too long ago")
	f.applyOperators([]forward.OperatorChange{{Evacuation: &forward.EvacuationChange{Domain: "a"}}}, f.clock.read(), false)
	require.ErrorIs(t, f.state.checkWarmUp(p, sv), errEvacuated)
}

// Guards against peers that learn of a warm-up only from their own next read of the list.
func TestPeersAreToldOfWarmUps(t *testing.T) {
	f, _, _ := warmFixture(t)
	f.changeRecord("e0", func(e *forward.Endpoint) { e.WarmUpRemaining = 3 * time.Second })
	report, _ := f.buildReport(1)
	require.Len(t, report.Extension.WarmUps, 1)
	data, err := encodeReport(&report)
	require.NoError(t, err)
	require.Less(t, len(data), maxDatagram)

	other, _, _ := warmFixture(t)
	report.Member = "10.0.0.9:1"
	other.applyReport(&report)
	require.Len(t, other.Status().WarmingUp, 1)
	again, _ := other.buildReport(1)
	require.Empty(t, again.Extension.WarmUps, "only what the endpoint itself has stated is passed on")
	report.Seq, report.Extension.WarmUps = 2, boundedList[reportWarmUp]{{1, 0, 0, 5}, {endpointHash("e1"), 0, 0, -1}, {endpointHash("e1"), 0, 0, 1 << 62}, {endpointHash("e1"), 7, 0, 5}}
	other.applyReport(&report)
	require.Len(t, other.Status().WarmingUp, 1, "unknown endpoints and impossible times are ignored")
}

// Guards against an endpoint that may have restarted and gets its usual load before its record says so.
func TestUnreachableEndpointIsPresumedCold(t *testing.T) {
	f, _, _ := warmFixture(t)
	f.changeRecord("e0", func(e *forward.Endpoint) { e.Address = "127.0.0.1:1" })
	status, _, err := f.do(t, f.request(t, "GET", "/safe/x", ""))
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Len(t, f.Status().WarmingUp, 1)
}
