package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a shed request that runs, whose caller isn't told when to come back, or that costs
// as much as one that is placed.
func TestShedRequestIsRefusedBeforeItIsPlaced(t *testing.T) {
	e := serveRaw(t, respondOK("answer"))
	f := newFixture(t, e)
	get := func() (*http.Response, string) {
		resp, err := f.srv.Client().Do(f.request(t, "GET", "/safe/x", ""))
		require.NoError(t, err)
		defer resp.Body.Close()
		return resp, resp.Header.Get("Retry-After")
	}
	resp, _ := get()
	require.Equal(t, 200, resp.StatusCode)
	for range 100 {
		f.state.shedder.Adjust(true, f.clock.read())
	}
	shed := 0
	for range 100 {
		if resp, after := get(); resp.StatusCode == http.StatusServiceUnavailable {
			require.NotEmpty(t, after)
			shed++
		}
	}
	require.Greater(t, shed, 90)
	require.EqualValues(t, shed, f.shed.Load())
	require.EqualValues(t, 101-shed, e.requests.Load(), "a shed request ran")
}

// Guards against callers that go round between entries all of which lack processor time, and so
// can't read the log in time.
func TestStaleEntryThatLacksProcessorTimeSpreadsItsCallers(t *testing.T) {
	f := newFixture(t, serveRaw(t, respondOK("answer")))
	f.clock.advance(time.Minute)
	for short, want := range map[bool]string{false: "0.05", true: "1"} {
		f.state.processorShort = short
		resp, err := f.srv.Client().Do(f.request(t, "GET", "/safe/x", ""))
		require.NoError(t, err)
		resp.Body.Close()
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.Equal(t, want, resp.Header.Get("Retry-After"))
	}
}
