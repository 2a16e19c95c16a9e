package gateway

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	stdlog "log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/callerconn"
	"github.com/galenaweir/galenaweir/core/forward"
	"github.com/galenaweir/galenaweir/metrics"
)

// Limits on connections from callers.
const (
	// maxHeaderBytes doesn't change while the process runs, so it leaves room for what a
	// configuration may allow; limits_beyond_program is logged if it allows more.
	maxHeaderBytes = 128 << 10
)

// Readiness and exit.
const (
	maxReadyConfigAge = 3200 * time.Millisecond // configuration age from which this process reports not ready, so that callers go to other entries
	leaveTimeout      = 500 * time.Millisecond
)

// Options holds the settings and dependencies of a Gateway.
type Options struct {
	Settings        Settings
	Clock           Clock
	Seed            uint64
	HeaderCodec     HeaderCodec
	Operators       Feed[forward.OperatorChange]
	Endpoints       Feed[forward.EndpointChange]
	GroupClient     GroupClient
	EndpointControl EndpointControl
	StoreClient     StoreClient
	NamingStore     NamingStore
	PartStore       PartStore        // nil if held parts aren't kept over the loss of all entries
	StreamStore     StreamStore      // nil if no stream may be resumed by its caller
	WallClock       func() time.Time // time of day, time.Now if nil
}

// Gateway forwards callers' requests to endpoints.
type Gateway struct {
	settings        Settings
	clock           Clock
	createdAt       time.Duration // on clock
	headerCodec     HeaderCodec
	operators       Feed[forward.OperatorChange]
	endpoints       Feed[forward.EndpointChange]
	groupClient     GroupClient
	endpointControl EndpointControl
	storeClient     StoreClient
	namingStore     NamingStore
	streamStore     StreamStore
	partStore       PartStore
	wallClock       func() time.Time
	namingsToSave   chan forward.Naming
	factsRequests   chan struct{}
	state           *state
	pool            *connPool
	list            *sharedList       // nil if reads of the endpoint list are not shared
	ownership       forward.Ownership // guarded by the state's mutex
	memberID        string
	readList        forward.OfferedList // read from the log and not confirmed yet; guarded by the state's mutex
	peerConn        *net.UDPConn
	reportRequests  chan struct{}
	maxCheckWait    time.Duration // see defaultMaxCheckWait

	draining    atomic.Bool
	stop        atomic.Pointer[plannedStop] // nil until a planned stop begins
	ending      context.Context             // done when requests must be ended as the process stops
	endRequests context.CancelFunc
	inFlight    atomic.Int64
	callerConns *callerconn.Conns
	held        *heldBytes // nil without a bound on buffered bytes
	buffers     *responseBuffers

	shed            atomic.Int64 // requests that were shed since the last sample
	schedulingDelay atomic.Int64 // a high quantile of the last sample, in nanoseconds

	requests           *expvar.Int
	refusals           *expvar.Map
	unknownHeaders     unknownHeaders
	rejectedReports    *expvar.Int
	addressesReused    *expvar.Int
	uncountedRetries   *expvar.Int
	latePrompts        *expvar.Map
	takeUpWaits        *expvar.Map
	secondAttempts     secondAttemptMetrics
	after              func(time.Duration) (<-chan time.Time, func() bool) // a timer and how to stop it
	listShares         *expvar.Map
	durations          *metrics.DurationHistograms
	firstByteDurations *metrics.DurationHistograms
}

// New returns a gateway that is not yet serving; call Run to start it.
func New(o Options) *Gateway {
	s := o.Settings
	member := netip.AddrPortFrom(netip.MustParseAddr(s.Host), uint16(s.PeerPorts[0])).String()
	wallClock := o.WallClock
	if wallClock == nil {
		wallClock = time.Now
	}
	source := rand.NewPCG(o.Seed, o.Seed)
	g := &Gateway{
		namingStore: o.NamingStore, streamStore: o.StreamStore, partStore: o.PartStore, wallClock: wallClock, namingsToSave: make(chan forward.Naming, maxNamingsToSave), factsRequests: make(chan struct{}, 1),
		settings: s, clock: o.Clock, createdAt: o.Clock(), headerCodec: o.HeaderCodec, operators: o.Operators, endpoints: o.Endpoints, groupClient: o.GroupClient, endpointControl: o.EndpointControl, storeClient: o.StoreClient,
		state: newState(s, o.Clock, rand.New(source)), pool: newConnPool(o.Clock),
		ownership:          forward.Ownership{Self: member, Lease: orderLease, Handover: milliseconds(s.OrderHandoverMs) + orderTransitTime, MemberTTL: memberLease},
		memberID:           member,
		callerConns:        callerconn.New(),
		held:               newHeldBytes(s.HeldBytesMb, o.Clock),
		buffers:            newResponseBuffers(s.MemoryMb),
		reportRequests:     make(chan struct{}, 1),
		maxCheckWait:       defaultMaxCheckWait,
		requests:           metrics.Default.Counter("forwarded_requests"),
		refusals:           metrics.Default.LabeledCounter("forward_refusals"),
		unknownHeaders:     unknownHeaders{count: metrics.Default.LabeledCounter("forward_unknown_headers")},
		rejectedReports:    metrics.Default.Counter("stray_load_reports"),
		addressesReused:    metrics.Default.Counter("forward_addresses_reused"),
		uncountedRetries:   metrics.Default.Counter("forward_uncounted_retries"),
		latePrompts:        metrics.Default.LabeledCounter("forward_late_prompts"),
		takeUpWaits:        metrics.Default.LabeledCounter("forward_take_up_waits"),
		secondAttempts:     newSecondAttemptMetrics(),
		after:              newTimer,
		durations:          metrics.Default.DurationHistograms("forward_ms"),
		firstByteDurations: metrics.Default.DurationHistograms("forward_first_byte_ms"),
		listShares:         metrics.Default.LabeledCounter("shared_list_reads"),
	}
	g.state.rngSource = source
	g.ending, g.endRequests = context.WithCancel(context.Background())
	if s.SharedListReads {
		g.list = newSharedList(g)
	}
	return g
}

// Ready reports whether this process should receive new callers.
func (g *Gateway) Ready() bool {
	if g.draining.Load() {
		return false
	}
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	age, known := s.freshness.Age(now)
	return known && g.startState(now) == forward.StartComplete && s.table != nil && s.endpointListRead && age < maxReadyConfigAge
}

// Run serves requests until ctx is done, then drains within the grace period.
func (g *Gateway) Run(ctx context.Context) error {
	var err error
	if g.peerConn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(g.memberID))); err != nil {
		return fmt.Errorf("listen on %s for load reports: %w; free the port or change peerPorts in the settings", g.memberID, err)
	}
	defer g.peerConn.Close()
	callers, err := serve(g.settings.CallerAddress, g, g.callerConns)
	if err != nil {
		return err
	}
	ready, err := serve(g.settings.ReadyAddress, http.HandlerFunc(g.serveReady), callerconn.New())
	if err != nil {
		return err
	}
	metrics.Default.Gauge("forwarding", func() any { return g.Status() })
	if g.settings.MetricsPort > 0 {
		address := net.JoinHostPort(g.settings.Host, strconv.Itoa(g.settings.MetricsPort))
		m, err := serve(address, g.metricsHandler(), callerconn.New())
		if err != nil {
			return err
		}
		defer m.Close()
	}
	background, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, f := range []func(context.Context){g.followOperators, g.followEndpoints, g.maintainMembership, g.sendReports, g.runRollouts, g.followStores, g.cleanStores, g.pollAfterResume, g.exchangeFacts, g.saveNamings, g.recoverNamings, g.keepProofs, g.recordStreams, g.maintainStreams, g.keepParts, g.watchDelay} {
		wg.Go(func() { f(background) })
	}
	log.Info().Str("event", "started").Str("callers", g.settings.CallerAddress).Str("ready", g.settings.ReadyAddress).Str("log", g.settings.LogAddress).Msg("serving")
	<-ctx.Done()
	drainStart := g.clock()
	g.drain(callers)
	stop()
	wg.Wait()
	g.leave()
	log.Info().Str("event", "stopped").Dur("drain_ms", g.clock()-drainStart).Int64("unfinished", g.inFlight.Load()).Msg("drained")
	return ready.Close()
}

func (g *Gateway) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("POST /parts/release", g.serveRelease)
	mux.HandleFunc("GET /explain", g.serveExplain)
	return mux
}

// Reload applies changed settings. Addresses and the timing of the group of entries keep
// the values from startup.
func (g *Gateway) Reload(s Settings) {
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	g.state.settings = s
	g.state.freshness.MaxKeyAge = milliseconds(s.RevokeMs) - revokeMargin
	log.Info().Str("event", "settings_reloaded").Msg("time and retry bounds applied; other settings take effect at the next start")
}

func (g *Gateway) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	g.state.mu.Lock()
	name := g.ownership.ListedName()
	g.state.mu.Unlock()
	if err := g.groupClient.Leave(ctx, groupName, name); err != nil {
		log.Warn().Str("event", "leave_failed").Err(err).Msg("could not leave the group; the membership ends when its lease expires")
	}
}

func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// callerServer serves HTTP on a listener.
type callerServer struct {
	*http.Server
	listener net.Listener
	conns    *callerconn.Conns
}

// drain accepts no further connections and ends the open ones when their requests are complete.
// http.Server.Shutdown would also drop requests whose heads have just been read.
func (c *callerServer) drain(ctx context.Context) error {
	_ = c.listener.Close() // the server is closed next, which reports nothing new
	return c.conns.Drain(ctx)
}

func serve(address string, h http.Handler, conns *callerconn.Conns) (*callerServer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w; free the port or change the address in the settings", address, err)
	}
	return serveOn(l, h, conns), nil
}

// serveOn serves requests from a listener until the returned server is closed.
func serveOn(l net.Listener, h http.Handler, conns *callerconn.Conns) *callerServer {
	srv := &http.Server{
		Handler: h, MaxHeaderBytes: maxHeaderBytes, ConnState: conns.State, ConnContext: conns.ConnContext,
		ErrorLog:                     stdlog.New(io.Discard, "", 0), // it would log data that callers sent
		DisableGeneralOptionsHandler: true,
	}
	go func() {
		if err := srv.Serve(conns.Listen(l)); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			log.Error().Str("event", "listener_ended").Str("address", l.Addr().String()).Err(err).Msg("HTTP server ended")
		}
	}()
	return &callerServer{srv, l, conns}
}

func (g *Gateway) followEndpoints(ctx context.Context) {
	r := feedReader[forward.EndpointChange]{name: "endpoints", feed: g.endpoints, clock: g.clock, observeEra: g.observeEra, pollPause: endpointPollPause(g.settings), apply: g.applyEndpoints, onFailure: func(now time.Duration) {
		g.state.mu.Lock()
		defer g.state.mu.Unlock()
		g.state.endpointList.LogLost(now)
	}}
	if g.list != nil {
		r.feed, r.apply, r.await = g.list, g.list.apply, g.list.await
	}
	r.run(ctx, g.state)
}
