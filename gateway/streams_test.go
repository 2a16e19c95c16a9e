package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/forward"
)

// fakeStreamStore is a StreamStore in memory.
type fakeStreamStore struct {
	mu       sync.Mutex
	records  []forward.StreamRecord
	defaults []forward.DefaultBuild
	era      forward.Era
	err      error
	block    chan struct{} // appends wait until it is closed, if it is set
}

func (f *fakeStreamStore) AppendStreams(ctx context.Context, records []forward.StreamRecord) error {
	if f.block != nil {
		select {
		case <-f.block:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err == nil {
		f.records = append(f.records, records...)
	}
	return f.err
}

func (f *fakeStreamStore) ReadStreams(_ context.Context, from int64) (StreamBatch, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	end := int64(len(f.records))
	return StreamBatch{Records: append([]forward.StreamRecord(nil), f.records[min(from, end):]...), Next: end, End: end, Era: f.era}, f.err
}

func (f *fakeStreamStore) LoadDefaultBuilds(context.Context) ([]forward.DefaultBuild, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.defaults), int64(len(f.defaults)), f.err
}

func (f *fakeStreamStore) SaveDefaultBuilds(_ context.Context, defaults []forward.DefaultBuild, end int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err == nil && end != int64(len(f.defaults)) {
		return errors.New("the log has another end")
	}
	if f.err == nil {
		f.defaults = append(f.defaults, defaults...)
	}
	return f.err
}

func (f *fakeStreamStore) has(id, build string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.records {
		if r.Stream == forward.StreamKey("s", id) && r.Build == forward.BuildKey(build) {
			return true
		}
	}
	return false
}

// newStreamFixture returns a gateway whose endpoints have the given builds, and the default
// build "v1". It prefers the first endpoint.
func newStreamFixture(t *testing.T, store *fakeStreamStore, builds []string, endpoints ...*testEndpoint) *fixture {
	f := newFixture(t, endpoints...)
	f.streamStore = store
	store.defaults = []forward.DefaultBuild{{Service: "s", Build: "v1", Revision: 1}}
	s := f.state
	s.mu.Lock()
	var changes []forward.EndpointChange
	for i, e := range s.listedEndpoints(f.clock.read()) {
		e.Build = builds[i]
		changes = append(changes, forward.EndpointChange{ID: e.ID, Endpoint: &e})
	}
	s.streams.SetDefaults(store.defaults, f.clock.read())
	s.mu.Unlock()
	f.applyEndpoints(changes, f.clock.read(), true)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { f.recordStreams(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return f
}

func resumption(t *testing.T, f *fixture, id, resumes string) *http.Request {
	r := f.request(t, "POST", "/resumable/x", "prompt")
	r.Header.Set("Test-Id", id)
	r.Header.Set("Test-Last", "2")
	r.Header.Set("Test-Resumes", resumes)
	return r
}

// Guards against a stream whose caller holds events before the log knows its build: after the
// loss of this process, it would go on at the default build.
func TestFirstEventWaitsForTheRecordOfItsStream(t *testing.T) {
	release := make(chan struct{})
	e := serveRaw(t, func(r *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTest-Id: "+r.Header.Get("Test-Id")+"\r\nTest-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n")
		cw := httputil.NewChunkedWriter(c)
		_, _ = io.WriteString(cw, sseEvent(1))
		<-release
		_ = cw.Close()
		_, err := io.WriteString(c, "\r\n")
		return err == nil
	})
	store := &fakeStreamStore{}
	f := newStreamFixture(t, store, []string{"v2", "v1"}, e, streamFrom(t, -1, 3))
	resp, err := f.srv.Client().Do(f.request(t, "POST", "/resumable/x", "prompt"))
	require.NoError(t, err)
	defer resp.Body.Close()
	_, err = io.ReadFull(resp.Body, make([]byte, len(sseEvent(1))))
	require.NoError(t, err)
	require.True(t, store.has("id-/resumable/x", "v2"))
	close(release)
}

// Guards against events that are held back for as long as the log is slow.
func TestSlowLogDoesNotHoldBackEvents(t *testing.T) {
	store := &fakeStreamStore{block: make(chan struct{})}
	f := newStreamFixture(t, store, []string{"v2"}, streamFrom(t, -1, 3))
	status, body, err := f.do(t, f.request(t, "POST", "/resumable/x", "prompt"))
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Equal(t, sseEvent(1)+sseEvent(2)+sseEvent(3), body)
	close(store.block)
	require.Eventually(t, func() bool { return store.has("id-/resumable/x", "v2") }, 5*time.Second, time.Millisecond, "the record is lost")
}

// Guards against events of streams that can't be recorded although the default build could serve
// them: after the loss of this process they would go on there.
func TestStreamsAvoidBuildsThatCannotBeRecorded(t *testing.T) {
	cases := map[string]*fakeStreamStore{
		"the log refuses":        {err: errors.New("the log is down")},
		"the log doesn't answer": {block: make(chan struct{})},
	}
	for name, store := range cases {
		t.Run(name, func(t *testing.T) {
			v2, v1 := streamFrom(t, -1, 3), streamFrom(t, -1, 3)
			f := newStreamFixture(t, store, []string{"v2", "v1"}, v2, v1)
			for n := range 3 {
				status, body, err := f.do(t, f.request(t, "POST", "/resumable/x", "prompt"))
				require.NoError(t, err)
				require.Equal(t, 200, status)
				require.Equal(t, sseEvent(1)+sseEvent(2)+sseEvent(3), body)
				require.EqualValues(t, 1, v2.requests.Load(), "only the first one finds out")
				require.EqualValues(t, n+1, v1.requests.Load())
			}
		})
	}
}

// Guards against a stream that goes on at a guessed build while the records can't be read, and
// against a refusal that doesn't let the caller come back.
func TestUnreadableRecordsRefuseAResumption(t *testing.T) {
	store := &fakeStreamStore{}
	e1, e2 := streamFrom(t, -1, 5), streamFrom(t, -1, 5)
	f := newStreamFixture(t, store, []string{"v1", "v2"}, e1, e2)
	store.err = errors.New("the log is down")
	resp, err := f.srv.Client().Do(resumption(t, f, "again", "other"))
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, 503, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Zero(t, e1.requests.Load()+e2.requests.Load())

	store.mu.Lock()
	store.err = nil
	store.records = append(store.records, forward.StreamRecord{Stream: forward.StreamKey("s", "other"), Build: forward.BuildKey("v2"), Attempt: 1})
	store.mu.Unlock()
	status, body, err := f.do(t, resumption(t, f, "again", "other"))
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Equal(t, sseEvent(3)+sseEvent(4)+sseEvent(5), body)
	require.EqualValues(t, 1, e2.requests.Load())
}

// Guards against a stream that goes on at the default build because the entry that began it could
// not record it before an outage of the log ended, and against refusals after a single failed read.
func TestRecordsMayBeMissingRightAfterAnOutage(t *testing.T) {
	store := &fakeStreamStore{}
	e1, e2 := streamFrom(t, -1, 5), streamFrom(t, -1, 5)
	f := newStreamFixture(t, store, []string{"v1", "v2"}, e1, e2)
	setError := func(err error) {
		store.mu.Lock()
		store.err = err
		store.mu.Unlock()
	}
	takeUp := func(want int) {
		t.Helper()
		status, _, err := f.do(t, resumption(t, f, "again", "other"))
		require.NoError(t, err)
		require.Equal(t, want, status)
	}
	setError(errors.New("429"))
	takeUp(503)
	setError(nil)
	takeUp(200)

	f.state.mu.Lock()
	f.state.endpointList.LogLost(f.clock.read())
	f.state.mu.Unlock()
	f.applyEndpoints(nil, f.clock.read(), false)
	takeUp(503)
	require.EqualValues(t, 1, e1.requests.Load()+e2.requests.Load())
	f.clock.advance(f.state.catchUpTime())
	f.applyEndpoints(nil, f.clock.read(), false)
	takeUp(200)
	require.EqualValues(t, 2, e1.requests.Load())
	require.Less(t, maxStreamCatchUp, 3*time.Second, "the time that a host may need after a fault")
}

// Guards against records that are lost when the log returns from an older copy.
func TestRecordsAreWrittenAgainAfterTheLogReturned(t *testing.T) {
	store := &fakeStreamStore{}
	f := newStreamFixture(t, store, []string{"v2"}, streamFrom(t, -1, 3))
	require.Equal(t, forward.EraCurrent, f.observeEra("test", 0))
	status, _, err := f.do(t, f.request(t, "POST", "/resumable/x", "prompt"))
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Eventually(t, func() bool { return store.has("id-/resumable/x", "v2") }, 5*time.Second, time.Millisecond)
	store.mu.Lock()
	store.records, store.defaults, store.era = nil, nil, 1
	store.mu.Unlock()
	require.Equal(t, forward.EraRisen, f.observeEra("test", 1))
	require.Eventually(t, func() bool { return store.has("id-/resumable/x", "v2") }, 5*time.Second, time.Millisecond)
	f.refreshDefaults(context.Background(), true)
	require.Equal(t, []forward.DefaultBuild{{Service: "s", Build: "v1", Revision: 1}}, store.defaults)
}

// Guards against an older default build that comes back with an older copy of the log: streams
// without a record would go on at it.
func TestOlderDefaultBuildIsNotTakenOver(t *testing.T) {
	store := &fakeStreamStore{}
	f := newStreamFixture(t, store, []string{"v2", "v3"}, streamFrom(t, -1, 5), streamFrom(t, -1, 5))
	newer := forward.DefaultBuild{Service: "s", Build: "v2", Revision: 3}
	store.defaults = []forward.DefaultBuild{newer}
	f.refreshDefaults(context.Background(), true)
	f.observeEra("test", 0)
	store.defaults = []forward.DefaultBuild{{Service: "s", Build: "v1", Revision: 1}}
	require.Equal(t, forward.EraRisen, f.observeEra("test", 1))
	f.refreshDefaults(context.Background(), true)
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	build, known := f.state.streams.Default("s", f.clock.read())
	require.True(t, known)
	require.Equal(t, "v2", build)
	require.Equal(t, newer, store.defaults[len(store.defaults)-1], "it is written again")
}

// Guards against a stream that goes on at the build of an attempt that brought no event.
func TestAttemptWithoutAnEventDoesNotBindTheStream(t *testing.T) {
	store := &fakeStreamStore{}
	e1, e2 := streamFrom(t, 1, 5), streamFrom(t, -1, 5) // the first endpoint breaks off in its first event
	f := newStreamFixture(t, store, []string{"v2", "v1"}, e1, e2)
	status, _, err := f.do(t, f.request(t, "POST", "/resumable/x", "prompt"))
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.EqualValues(t, 1, e1.requests.Load())
	require.Empty(t, store.records, "the stream belongs to the default build")
	status, _, err = f.do(t, resumption(t, f, "again", "id-/resumable/x"))
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.EqualValues(t, 2, e2.requests.Load())
}

// Guards against a stream that goes on at the only build that this entry has listed for long,
// although another entry has begun it at a new one. Found by the forwarding soak, seed 8.
func TestStreamOfABuildThatIsNotListedYet(t *testing.T) {
	store := &fakeStreamStore{}
	e := streamFrom(t, -1, 5)
	f := newStreamFixture(t, store, []string{"v1"}, e)
	for range 60 {
		f.clock.advance(time.Second)
		f.applyEndpoints(nil, f.clock.read(), false)
	}
	f.applyOperators(nil, f.clock.read(), false)
	takeUp := func(id string) int {
		status, _, err := f.do(t, resumption(t, f, "again", id))
		require.NoError(t, err)
		return status
	}
	require.Equal(t, 200, takeUp(""), "its caller does not name the stream, and all belong to one build")
	store.records = append(store.records, forward.StreamRecord{Stream: forward.StreamKey("s", "new"), Build: forward.BuildKey("v2"), Attempt: 1})
	require.Equal(t, 503, takeUp("new"))
	require.Equal(t, 503, takeUp(""), "the stream may be the new one")
	require.EqualValues(t, 1, e.requests.Load())
	require.Equal(t, 200, takeUp("other"))
	store.mu.Lock()
	store.err = errors.New("the log is down")
	store.mu.Unlock()
	require.Equal(t, 503, takeUp("yet another"))
	require.EqualValues(t, 2, e.requests.Load())
}

// Guards against first events that go out unrecorded in a large group, whose members append too
// seldom: if their entry is lost, their streams go on at the default build.
func TestFirstEventsAreRecordedInALargeGroup(t *testing.T) {
	store := &fakeStreamStore{}
	f := newStreamFixture(t, store, []string{"v2"}, streamFrom(t, -1, 3))
	f.state.mu.Lock()
	f.state.peerLoads.members = make([]string, 330)
	f.state.mu.Unlock()
	unrecorded := 0
	for i := range 6 {
		r := f.request(t, "POST", "/resumable/x", "prompt")
		id := string(rune('a' + i))
		r.Header.Set("Test-Id", id)
		status, _, err := f.do(t, r)
		require.NoError(t, err)
		require.Equal(t, 200, status)
		unrecorded += boolInt(!store.has(id, "v2")) // the caller has all events
	}
	require.LessOrEqual(t, unrecorded, 2)
}
