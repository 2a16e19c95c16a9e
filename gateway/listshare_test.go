package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"reflect"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/galenaweir/galenaweir/core/forward"
)

// endpointLog is a log in virtual time with the list of endpoints, which counts its calls.
type endpointLog struct {
	mu      sync.Mutex
	records []forward.EndpointChange
	calls   atomic.Int64
}

func (l *endpointLog) write(c forward.EndpointChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, c)
}

func (l *endpointLog) read(from int64) Batch[forward.EndpointChange] {
	time.Sleep(10 * time.Millisecond)
	l.mu.Lock()
	b := Batch[forward.EndpointChange]{Next: int64(len(l.records))}
	for o := from; o < b.Next; o++ {
		b.Records, b.Offsets = append(b.Records, l.records[o]), append(b.Offsets, o)
	}
	l.mu.Unlock()
	time.Sleep(10 * time.Millisecond)
	return b
}

func (l *endpointLog) Newest(context.Context) (Batch[forward.EndpointChange], error) {
	l.calls.Add(1)
	return l.read(0), nil
}

func (l *endpointLog) Read(_ context.Context, from int64, _ time.Duration) (Batch[forward.EndpointChange], error) {
	l.calls.Add(1)
	return l.read(from), nil
}

func listRecord(i int, heartbeat int64, draining bool) forward.EndpointChange {
	id := fmt.Sprintf("engine-%04d", i)
	return forward.EndpointChange{ID: id, Endpoint: &forward.Endpoint{
		ID: id, Service: "s", Build: "b1", Address: fmt.Sprintf("10.2.0.%d:8000", i+1), FailureDomain: "a", Slots: 64, Draining: draining,
		Models: []forward.ModelState{{Name: "m", Version: 3}}, StartedUnixMs: 1760000000000 + int64(i), Heartbeat: heartbeat,
	}}
}

// listGroup is a group of entries in virtual time.
type listGroup struct {
	log      *endpointLog
	gateways []*Gateway
	messages atomic.Int64
	lose     func() bool
}

func newListGroup(entries int, shared bool, clock Clock) *listGroup {
	g := &listGroup{log: &endpointLog{}, lose: func() bool { return false }}
	members, byName := []string{}, map[string]*Gateway{}
	for i := range entries {
		s := testSettings()
		s.Host, s.DrainMs, s.SharedListReads, s.FailureDomain = fmt.Sprintf("10.0.%d.%d", i/100, i%100+1), 3000, shared, string(rune('a'+i%3))
		e := New(Options{Settings: s, Clock: clock, HeaderCodec: testHeaderCodec{}, Endpoints: g.log})
		g.gateways, members, byName[e.memberID] = append(g.gateways, e), append(members, e.memberID), e
	}
	for _, e := range g.gateways {
		e.state.peerLoads.members = members
		for m, p := range byName {
			e.state.peerFacts[m] = knownFacts{domain: p.settings.FailureDomain, receivedAt: clock() + 24*time.Hour}
		}
		if e.list != nil {
			e.list.send = func(data []byte, member string) {
				g.messages.Add(1)
				if !g.lose() {
					time.AfterFunc(2*time.Millisecond, func() { byName[member].receiveList(data) })
				}
			}
		}
	}
	return g
}

// play runs the group while 50 endpoints write heartbeats each second, and then drains one. It returns
// the calls and messages a second, and how long after its record the last entry noticed.
func (g *listGroup) play(t *testing.T, length time.Duration) (calls, messages float64, noticed time.Duration) {
	const endpoints = 50
	for i := range endpoints {
		g.log.write(listRecord(i, 1, false))
	}
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for i, e := range g.gateways {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 13 * time.Millisecond) // entries don't start at the same time
			e.followEndpoints(ctx)
		})
	}
	time.Sleep(5 * time.Second)
	callsBefore, messagesBefore := g.log.calls.Load(), g.messages.Load()
	for beat := range int64(length / time.Second) {
		for i := range endpoints {
			g.log.write(listRecord(i, beat+2, false))
			time.Sleep(time.Second / endpoints)
		}
	}
	calls = float64(g.log.calls.Load()-callsBefore) / length.Seconds()
	messages = float64(g.messages.Load()-messagesBefore) / length.Seconds()
	drained := time.Now()
	last := int64(length/time.Second) + 2
	g.log.write(listRecord(0, last, true))
	uses := func() bool {
		for _, e := range g.gateways {
			e.state.mu.Lock()
			_, usable := e.state.endpointList.Get("engine-0000", e.clock())
			e.state.mu.Unlock()
			if usable {
				return true
			}
		}
		return false
	}
	for uses() && time.Since(drained) < 10*time.Second {
		time.Sleep(10 * time.Millisecond)
	}
	noticed = time.Since(drained)
	stop()
	wg.Wait()
	synctest.Wait()
	return calls, messages, noticed
}

// Guards against a group whose calls to the log grow with its members although reads are shared, and
// against entries that notice later than without sharing that an endpoint drains.
func TestSharedListCalls(t *testing.T) {
	for name, c := range map[string]struct {
		entries  int
		shared   bool
		loss     float64
		maxCalls float64
	}{
		"4 off": {4, false, 0, 3.4}, "4 on": {4, true, 0, 3.4},
		"39 off": {39, false, 0, 33}, "39 on": {39, true, 0, 12},
		"103 off": {103, false, 0, 87}, "103 on": {103, true, 0, 16},
		"39 with 5% lost": {39, true, 0.05, 14}, "39 with all lost": {39, true, 1, 34},
	} {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			g := newListGroup(c.entries, c.shared, func() time.Duration { return time.Hour + time.Since(began) })
			var mu sync.Mutex
			rng := rand.New(rand.NewPCG(1, 21))
			g.lose = func() bool {
				mu.Lock()
				defer mu.Unlock()
				return rng.Float64() < c.loss
			}
			calls, messages, noticed := g.play(t, 20*time.Second)
			t.Logf("%s: %.1f calls and %.0f messages a second, drain noticed by all after %v", name, calls, messages, noticed)
			require.LessOrEqual(t, calls, c.maxCalls, name)
			require.LessOrEqual(t, noticed, 1500*time.Millisecond, name)
			if !c.shared || c.entries < 13 {
				require.Zero(t, messages, name)
			}
		})
	}
}

// Guards against a field of an endpoint's record that an answer does not carry.
func TestListAnswerKeepsAllFields(t *testing.T) {
	e := *listRecord(1, 7, true).Endpoint
	e.WarmUpRemaining = 3 * time.Second
	v := reflect.ValueOf(e)
	for i := range v.NumField() {
		require.False(t, v.Field(i).IsZero(), "set %s in this test", v.Type().Field(i).Name)
	}
	changes := []forward.ListChange{
		{Offset: 5, EndpointChange: forward.EndpointChange{ID: e.ID, Endpoint: &e}},
		{Offset: 6, EndpointChange: forward.EndpointChange{ID: "x"}, Started: 4, Heartbeat: 9},
		{Offset: 7, EndpointChange: forward.EndpointChange{ID: "y"}},
		{Offset: 8, EndpointChange: forward.EndpointChange{ID: "z", Err: errInvalidListEntry}},
	}
	m := listMessage{Protocol: listProtocol, Member: "10.0.0.1:7", Answer: true, AskedAt: 3, Era: 2, From: 5, Next: 9, Changes: encodeListChanges(changes), AskInMs: 700}
	data, err := encodeMessage(&m)
	require.NoError(t, err)
	require.True(t, isListMessage(data))
	var got listMessage
	require.NoError(t, msgpack.Unmarshal(data, &got))
	a, valid := got.decode()
	require.True(t, valid)
	require.Equal(t, forward.ListAnswer{AskedAt: 3, Era: 2, From: 5, Next: 9, Changes: changes, AskIn: 700 * time.Millisecond}, a)
}

// BenchmarkListAnswer measures the processor time of both ends for a question and its answer with the
// heartbeats of 50 endpoints, which are sent over loopback.
func BenchmarkListAnswer(b *testing.B) {
	reader, follower := listenLoopback(b), listenLoopback(b)
	var changes []forward.ListChange
	for i := range 50 {
		r := listRecord(i, 100, false)
		changes = append(changes, forward.ListChange{Offset: int64(1000000 + i), EndpointChange: forward.EndpointChange{ID: r.ID}, Started: r.Endpoint.StartedUnixMs, Heartbeat: 100})
	}
	question := &listMessage{Protocol: listProtocol, Member: "10.0.0.1:7", AskedAt: int64(time.Hour), From: 1000000}
	answer := &listMessage{Protocol: listProtocol, Member: "10.0.0.2:7", Answer: true, AskedAt: int64(time.Hour), From: 1000000, Next: 1000050}
	exchange := func(from, to *net.UDPConn, m *listMessage) {
		data, err := encodeMessage(m)
		require.NoError(b, err)
		_, err = from.WriteTo(data, to.LocalAddr())
		require.NoError(b, err)
		buf := make([]byte, maxDatagram)
		n, _, err := to.ReadFromUDPAddrPort(buf)
		require.NoError(b, err)
		var got listMessage
		require.NoError(b, msgpack.Unmarshal(buf[:n], &got))
		_, valid := got.decode()
		require.True(b, valid)
	}
	before := processorTime(b)
	for b.Loop() {
		exchange(follower, reader, question)
		answer.Changes = encodeListChanges(changes)
		exchange(reader, follower, answer)
	}
	b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-µs/op")
}

func listenLoopback(b *testing.B) *net.UDPConn {
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(b, err)
	b.Cleanup(func() { c.Close() })
	return c
}

func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
