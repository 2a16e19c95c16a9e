package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// wholeKey returns the key of a request of its own.
func wholeKey(body string) uint64 {
	return WholeRequestKey("POST", "h", "/x", "c", nil, []byte(body))
}

// endUnder lets an endpoint end 100 ms after it got requests with the given bodies, and a part of a
// prompt if it isn't "".
func (h *holdTest) endUnder(part string, bodies ...string) {
	h.ends++
	t := CrashTrial{On: EndpointStart{fmt.Sprint("e", h.ends), 1}, Place: place1, SentAt: h.now, EndedAt: h.now + 100*time.Millisecond, Witness: "a"}
	for _, b := range bodies {
		h.AddWholeTrial(wholeKey(b), "r", t, t.EndedAt)
	}
	if part != "" {
		t.Strong = true
		h.AddTrial(partKey(part), part, t, t.EndedAt)
	}
	h.now += 200 * time.Millisecond
}

// Guards against a plain call that ends three endpoints before it is held, as no head of its answer
// ever arrives; and against the requests that ran beside it.
func TestRequestIsHeldAfterTwoEnds(t *testing.T) {
	h := newHoldTest(t)
	held := func(body string) bool {
		return h.Check([]uint64{wholeKey(body)}, "none", h.members, h.now) != nil
	}
	h.endUnder("", "bad", "sound1", "sound2")
	require.False(t, held("bad"))
	h.endUnder("", "bad", "sound3")
	require.True(t, held("bad"))
	for i := range 3 {
		require.False(t, held(fmt.Sprint("sound", i+1)))
	}
	h.Expire(h.now + requestLifetime)
	require.Equal(t, 1, h.Len(), "requests that broke off once are forgotten soon")
	require.True(t, held("bad"))
	require.NotEqual(t, wholeKey("bad"), WholeRequestKey("POST", "h", "/x", "other caller", nil, []byte("bad")))
	require.NotEqual(t, wholeKey("bad"), WholeRequestKey("POST", "h", "/y", "c", nil, []byte("bad")))
	require.NotEqual(t, wholeKey("bad"), WholeRequestKey("POST", "h", "/x", "c", &Prompt{Parts: []Part{{ID: "p"}}}, []byte("bad")))
}

// Guards against a sound part that is held for minutes as one request with it crashes endpoints, whose
// own probe then counts against the part; and against a part that isn't held although the endpoints
// end under different requests with it.
func TestOneRequestIsHeldRatherThanItsParts(t *testing.T) {
	h := newHoldTest(t)
	requestHeld := func(body string) bool {
		return h.Check([]uint64{wholeKey(body)}, "none", h.members, h.now) != nil
	}
	for range 3 {
		h.endUnder("part", "first request")
		require.False(t, h.holds("part"), "another request with the part")
	}
	require.True(t, requestHeld("first request"))

	h = newHoldTest(t)
	h.endUnder("bad part", "first request")
	h.endUnder("bad part", "first request")
	require.False(t, h.holds("bad part"))
	h.endUnder("bad part", "second request")
	require.True(t, h.holds("bad part"))
	require.True(t, requestHeld("first request"), "it had two ends by itself")
	require.False(t, requestHeld("second request"))
}

// Guards against a request that isn't held since a part of other prompts has all its crashes and more.
func TestPartsOfOthersDoNotExplainARequest(t *testing.T) {
	h := newHoldTest(t)
	h.endUnder("part of others", "bad")
	h.endUnder("part of others", "bad")
	h.endUnder("part of others")
	require.NotNil(t, h.Check([]uint64{wholeKey("bad")}, "none", h.members, h.now))
}

// Guards against reports that are full of requests which an end broke off, so that the peers hear
// late of a part or of a request that is held.
func TestReportsPutPartsBeforeRequests(t *testing.T) {
	h := newHoldTest(t)
	var requests []string
	for i := range 64 {
		requests = append(requests, fmt.Sprint("request", i))
	}
	h.endUnder("part", "bad")
	h.endUnder("", "bad")
	for range partRepeats - 1 {
		require.Len(t, h.ToReport("a", h.members, 2, h.now), 2)
	}
	h.endUnder("", requests...)
	told := h.ToReport("a", h.members, 2, h.now) // for the last time
	require.Len(t, told, 2)
	var keys []uint64
	for _, p := range told {
		keys = append(keys, p.Key)
	}
	require.ElementsMatch(t, []uint64{partKey("part"), wholeKey("bad")}, keys)
}
