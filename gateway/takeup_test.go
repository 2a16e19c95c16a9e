package gateway

import (
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/forward"
)

// Guards against callers that take up streams and spend their few tries before there is room, as all
// come back at once; and against new requests that wait for longer than they need to.
func TestCallersThatTakeUpStreamsAreSpread(t *testing.T) {
	f := newFixture(t)
	now := f.clock.read()
	retryAfter := func(takesUp bool) (least, most time.Duration) {
		least = time.Hour
		for range 200 {
			q := &request{g: f.Gateway, bound: takesUp, service: &forward.Service{Name: "s"}, route: &forward.Route{}, deadline: now + 9*time.Second}
			err := q.noRoom(f.state, apierr.Overloaded, 0, now, "no room")
			least, most = min(least, err.RetryAfter), max(most, err.RetryAfter)
		}
		return least, most
	}
	least, most := retryAfter(false)
	require.Equal(t, overloadRetryAfter, least)
	require.Equal(t, overloadRetryAfter, most)
	least, most = retryAfter(true)
	require.Less(t, least, 500*time.Millisecond)
	require.Greater(t, most, 2500*time.Millisecond)
	require.LessOrEqual(t, most, 3*time.Second, "a third of the time left")
}

// Guards against streams that are taken up and refused as the entry is short of processor time,
// though most of their work is done.
func TestStreamsThatAreTakenUpAreNotShed(t *testing.T) {
	f := newFixture(t, serveRaw(t, respondOK("answer")))
	for range 100 {
		f.state.shedder.Service("s")
		f.state.shedder.Adjust(true, f.clock.read())
	}
	for range 50 {
		r := f.request(t, "GET", "/resumable/x", "")
		r.Header.Set("Test-Last", "2")
		q := &request{g: f.Gateway, r: r, arrivedAt: f.clock.read()}
		r.RequestURI = "/resumable/x"
		err := q.admit()
		require.Nil(t, err)
	}
	require.Zero(t, f.shed.Load())
}

// Guards against callers that spend all their tries within a second on the endpoints of a build that
// have just ended and are back shortly after.
func TestCallersOfEndedEndpointsAreSpread(t *testing.T) {
	f := newFixture(t)
	now := f.clock.read()
	gone := &exchangeError{err: syscall.ECONNREFUSED}
	returnAfter := func(takesUp bool) (least, most time.Duration) {
		least = time.Hour
		for range 200 {
			q := &request{g: f.Gateway, bound: takesUp, service: &forward.Service{Name: "s"}, route: &forward.Route{}, deadline: now + 9*time.Second}
			err := q.refusalAfterAttempt(gone)
			require.Equal(t, apierr.NotRun, err.Ran)
			least, most = min(least, err.RetryAfter), max(most, err.RetryAfter)
		}
		return least, most
	}
	least, most := returnAfter(false)
	require.Equal(t, overloadRetryAfter, least)
	require.Equal(t, overloadRetryAfter, most)
	least, most = returnAfter(true)
	require.Less(t, least, 500*time.Millisecond)
	require.Greater(t, most, 2500*time.Millisecond)
	require.LessOrEqual(t, most, 3*time.Second, "a third of the time left")
}

// Guards against callers that spend all their tries within three seconds while the list lacks all
// endpoints of a build, which have crashed and are starting again.
func TestCallersOfUnlistedBuildsAreSpread(t *testing.T) {
	f := newFixture(t, streamFrom(t, -1, 5))
	least, most := time.Hour, time.Duration(0)
	for range 200 {
		q := &request{
			g: f.Gateway, r: httptest.NewRequest("POST", "/resumable/x", nil), service: &forward.Service{Name: "s"}, route: &forward.Route{Kind: forward.Stream, Resumable: true},
			deadline: f.clock.read() + 9*time.Second, tried: map[string]bool{}, bound: true, build: forward.BuildKey("gone"), call: RequestInfo{LastEventID: "2"},
		}
		_, err := q.place()
		require.NotNil(t, err)
		require.Equal(t, apierr.NoEndpoint, err.Kind)
		require.Equal(t, apierr.NotRun, err.Ran)
		least, most = min(least, err.RetryAfter), max(most, err.RetryAfter)
	}
	require.GreaterOrEqual(t, least, buildGoneRetry)
	require.Less(t, least, buildGoneRetry+250*time.Millisecond)
	require.Greater(t, most, 2500*time.Millisecond)
	require.LessOrEqual(t, most, 3*time.Second, "a third of the time left")
}

// Guards against streams that are refused by the target for new prompts although a little room is left
// for them, and against new prompts that use it.
func TestStreamIsTakenUpBeyondTheTargetForNewPrompts(t *testing.T) {
	f := newFixture(t, streamFrom(t, -1, 5))
	s := f.state
	place := func(lastEventID string) *apierr.Error {
		q := &request{
			g: f.Gateway, r: httptest.NewRequest("POST", "/resumable/x", nil), service: &forward.Service{Name: "s", Engine: &forward.Engine{CapacityTokens: 1 << 20}}, route: &forward.Route{Kind: forward.Stream, Resumable: true, LatencyTarget: time.Second},
			deadline: f.clock.read() + 10*time.Second, tried: map[string]bool{}, bound: lastEventID != "", build: forward.BuildKey(""),
			call: RequestInfo{LastEventID: lastEventID, Prompt: &forward.Prompt{Model: "m", Tokens: 1000, MaxOutput: 5, Parts: []forward.Part{{ID: "own", Tokens: 1000}}}},
		}
		_, err := q.place()
		return err
	}
	for range 64 { // new prompts that found room earn the credit
		s.takeUpCredit("s").RecordPlacement()
	}
	s.mu.Lock()
	s.endpointState("e0").load.Add(forward.RequestLoad{PrefillTokens: 30_000})
	s.mu.Unlock()
	require.NotNil(t, place(""), "a new prompt")
	require.Nil(t, place("2"))
	s.mu.Lock()
	s.endpointState("e0").load.Add(forward.RequestLoad{PrefillTokens: 30_000})
	s.mu.Unlock()
	require.NotNil(t, place("2"), "it would wait for longer than the target")
}
