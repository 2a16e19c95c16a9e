package entry_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	openai "github.com/sashabaranov/go-openai"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/galenaweir/galenaweir/agent"
	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/core/prefix"
	"github.com/galenaweir/galenaweir/core/routing/leastload"
	"github.com/galenaweir/galenaweir/entry"
	"github.com/galenaweir/galenaweir/metrics"
	"github.com/galenaweir/galenaweir/node"
	"github.com/galenaweir/galenaweir/node/nodetest"
	"github.com/galenaweir/galenaweir/protocol"
	"github.com/galenaweir/galenaweir/protocol/streaming"
	"github.com/galenaweir/galenaweir/rpc"
	"github.com/galenaweir/galenaweir/rpc/dial"
	"github.com/galenaweir/galenaweir/standin/engine"
	"github.com/galenaweir/galenaweir/standin/forwarder"
)

const (
	model        = "naviq-llm"
	customerID   = "kutch-haulage"
	otherID      = "rann-salt"
	secret       = "kutch-secret-marker"
	silenceLimit = time.Second
	routingSeed  = 7
	// longAnswer lasts over a second, so that a test can act while it runs.
	longAnswer = 600
	// writeBufferBytes is small, so that a caller that doesn't read is soon felt.
	writeBufferBytes = 4 << 10
	// waitLimit bounds a wait for something that happens by itself.
	waitLimit = 30 * time.Second
)

// path is the way of a prompt in one process: an entry, agents behind gRPC, and
// an engine behind each, with a forwarder on every hop.
type path struct {
	t       *testing.T
	engines []*engine.Engine
	servers []*httptest.Server
	agents  []*agentProcess
	toAgent []*forwarder.Forwarder
	toEngin []*forwarder.Forwarder
	config  *nodetest.Config
	entry   *entry.Entry
	url     string
	figures *metrics.Registry
	tap     tap
}

// tap keeps all that callers received.
type tap struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (w *tap) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.Write(b)
}

func (w *tap) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.String()
}

// RoundTrip implements http.RoundTripper.
func (w *tap) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err == nil {
		resp.Body = struct {
			io.Reader
			io.Closer
		}{io.TeeReader(resp.Body, w), resp.Body}
	}
	return resp, err
}

// agentProcess is an agent that can crash and restart at its address.
type agentProcess struct {
	*agent.Agent
	address  string
	server   *grpc.Server
	listener net.Listener
	dead     *atomic.Bool
}

// mortalEngine keeps a crashed agent from cancelling at the engine.
type mortalEngine struct {
	*streaming.Client
	dead *atomic.Bool
}

func (m mortalEngine) Cancel(ctx context.Context, address, id string) error {
	if m.dead.Load() {
		return protocol.ErrUnreachable
	}
	return m.Client.Cancel(ctx, address, id)
}

func document(endpoints []string) *config.Document {
	salt := make([]byte, 16)
	key := func(secret string) map[string]config.Key {
		sum := sha256.Sum256(append(salt[:len(salt):len(salt)], secret...))
		return map[string]config.Key{"first": {Salt: hex.EncodeToString(salt), SHA256: hex.EncodeToString(sum[:])}}
	}
	customer := config.Customer{Weight: 1, TokensPerSecond: 1e6, BurstTokens: 1e6, Models: []string{model}, MaxPriority: "standard"}
	kutch, rann := customer, customer
	kutch.Keys, rann.Keys = key(secret), key("rann-secret")
	doc := &config.Document{
		Deployment:     "guj-west",
		FailureDomains: map[string]config.FailureDomain{"guj-west-a": {Region: "gujarat"}},
		Customers:      map[string]config.Customer{customerID: kutch, otherID: rann},
		Priorities:     map[string]config.Priority{"interactive": {Rank: 2, DefaultDeadlineMs: 60_000}, "standard": {Rank: 1, DefaultDeadlineMs: 60_000}},
		Models: map[string]config.Model{model: {WeightVersion: "v1", MaxLoading: 2, KVBytesPerToken: 16,
			PrefillTokensPerSecond: 1e5, DecodeMsPerToken: 2, MaxContextTokens: 32_768}},
		Endpoints: map[string]config.Endpoint{},
		Claims:    config.Claims{Partitions: 8, KeyWindowSeconds: 86_400, GroupIntervalMs: 40, MaxAnswerBytes: 65_536},
	}
	for i, address := range endpoints {
		doc.Endpoints[fmt.Sprintf("naviq-%d", i)] = config.Endpoint{Host: fmt.Sprintf("host-%d", i), FailureDomain: "guj-west-a",
			Agent: fmt.Sprintf("agent-%d", i), Address: address, Model: model, Slots: 64, KVTokens: 65_536}
	}
	return doc
}

// noBudget allows no repeated attempt.
type noBudget struct{ entry.Budget }

func (noBudget) Request()    {}
func (noBudget) Allow() bool { return false }

// newPath starts a path with n agents; change may set other options of the entry.
func newPath(t *testing.T, n int, change ...func(*entry.Options)) *path {
	p := &path{t: t, config: nodetest.NewConfig(nil), figures: metrics.New()}
	members, endpoints := nodetest.Members{}, []string{}
	forward := func(address string) *forwarder.Forwarder {
		f, err := forwarder.New(address)
		require.NoError(t, err)
		t.Cleanup(f.Close)
		return f
	}
	for i := range n {
		e := engine.New(engine.Options{Model: model, WeightVersion: "v1", Slots: 64, CachePieces: 256, PieceBytes: 64, PrefillPerSecond: 1e5,
			DecodeInterval: 2 * time.Millisecond, KeepAliveInterval: 100 * time.Millisecond, KeepFinished: time.Minute, LoadTime: time.Millisecond})
		s := httptest.NewServer(e.Handler())
		t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
		p.engines, p.servers = append(p.engines, e), append(p.servers, s)
		p.toEngin = append(p.toEngin, forward(s.Listener.Addr().String()))
		endpoints = append(endpoints, p.toEngin[i].Address())
		p.agents = append(p.agents, &agentProcess{})
		p.startAgent(i)
		p.toAgent = append(p.toAgent, forward(p.agents[i].address))
		id := fmt.Sprintf("agent-%d", i)
		members[id] = node.Member{ID: id, Role: node.RoleAgent, Address: p.toAgent[i].Address(), State: node.Live}
	}
	p.config.Set(document(endpoints))
	require.NoError(t, p.config.Current().Doc.Validate())
	pool := dial.New(insecure.NewCredentials())
	t.Cleanup(pool.Close)
	o := entry.Options{ID: "entry-0", CacheSecret: []byte("cache secret"), SilenceLimit: silenceLimit, MaxBodyBytes: 1 << 16,
		Config: p.config, Members: members, Pool: pool, Routing: leastload.Policy{}, Seed: routingSeed, Metrics: p.figures, CallerTimeout: silenceLimit}
	for _, c := range change {
		c(&o)
	}
	p.entry = entry.New(o)
	h, err := p.entry.Handler()
	require.NoError(t, err)
	s := httptest.NewUnstartedServer(h)
	s.Config.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateNew {
			_ = c.(*net.TCPConn).SetWriteBuffer(writeBufferBytes)
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	p.url = s.URL
	return p
}

// ownLoopback returns a loopback address that no other process listens on or
// connects from, so that an agent that comes back finds its port free.
func ownLoopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>15&63, pid>>7&255, 1+pid&127)
}

// startAgent starts agent i, again at its address if it had one.
func (p *path) startAgent(i int) {
	a := p.agents[i]
	address := a.address
	if address == "" {
		address = ownLoopback() + ":0"
	}
	l, err := net.Listen("tcp", address)
	require.NoError(p.t, err)
	a.address, a.dead, a.listener = l.Addr().String(), &atomic.Bool{}, l
	a.Agent = agent.New(agent.Options{ID: fmt.Sprintf("agent-%d", i), CacheSecret: []byte("cache secret"), SilenceLimit: silenceLimit,
		Config: p.config, Engine: mortalEngine{streaming.New(), a.dead}})
	a.server = grpc.NewServer(agent.ServerOptions()...)
	rpc.RegisterAgentServer(a.server, a.Agent)
	go func() { _ = a.server.Serve(l) }()
	p.t.Cleanup(a.server.Stop)
}

// crashAgent ends agent i; its engine goes on.
func (p *path) crashAgent(i int) {
	p.agents[i].dead.Store(true)
	p.agents[i].server.Stop()
	_ = p.agents[i].listener.Close() // Stop closes it only once Serve has been called
}

func (p *path) loseEngine(i int) {
	p.engines[i].SetFaults(engine.Faults{Down: true})
	p.servers[i].CloseClientConnections()
}

func (p *path) client() *openai.Client {
	c := openai.DefaultConfig(customerID + "." + secret)
	c.BaseURL = p.url + "/v1"
	c.HTTPClient = &http.Client{Transport: &p.tap}
	return openai.NewClientWithConfig(c)
}

func request(text string, tokens int) openai.ChatCompletionRequest {
	return openai.ChatCompletionRequest{Model: model, MaxCompletionTokens: tokens, StreamOptions: &openai.StreamOptions{IncludeUsage: true},
		Messages: []openai.ChatCompletionMessage{{Role: "user", Content: marker + text}}}
}

// expected returns the answer that the engines give.
func expected(text string, tokens int) string {
	return engine.Answer(prefix.Render([]prefix.Message{{Role: "user", Content: marker + text}}), tokens)
}

// answer is what a caller received.
type answer struct {
	text  string
	usage *openai.Usage
	err   error
}

// ask streams an answer and calls act once after its first text.
func (p *path) ask(ctx context.Context, text string, tokens int, act func(endpoint int)) answer {
	s, err := p.client().CreateChatCompletionStream(ctx, request(text, tokens))
	if err != nil {
		return answer{err: err}
	}
	defer s.Close()
	var endpoint int
	_, err = fmt.Sscanf(s.Header().Get("Galenaweir-Endpoint"), "naviq-%d", &endpoint)
	require.NoError(p.t, err)
	var a answer
	var b strings.Builder
	for {
		r, err := s.Recv()
		if err != nil {
			if !errors.Is(err, io.EOF) {
				a.err = err
			}
			a.text = b.String()
			return a
		}
		if r.Usage != nil {
			a.usage = r.Usage
		}
		for _, c := range r.Choices {
			b.WriteString(c.Delta.Content)
		}
		if b.Len() > 0 && act != nil {
			act(endpoint)
			act = nil
		}
	}
}

// requireWhole checks an answer to the byte, with its usage.
func (p *path) requireWhole(a answer, text string, tokens int) {
	p.t.Helper()
	require.NoError(p.t, a.err)
	require.Equal(p.t, expected(text, tokens), a.text)
	require.NotNil(p.t, a.usage)
	require.Equal(p.t, tokens, a.usage.CompletionTokens)
	require.Equal(p.t, prefix.EstimateTokens(prefix.Render([]prefix.Message{{Role: "user", Content: marker + text}})), a.usage.PromptTokens)
}

// eventually waits for something that other goroutines bring about.
func (p *path) eventually(f func() bool, what string) {
	p.t.Helper()
	require.Eventually(p.t, f, waitLimit, 5*time.Millisecond, what)
}

func (p *path) enginesIdle() bool {
	for _, e := range p.engines {
		if e.Running() > 0 {
			return false
		}
	}
	return true
}

// order makes engine i load other weights.
func (p *path) order(i int, version string) {
	require.NoError(p.t, streaming.New().SendOrder(p.t.Context(), p.servers[i].Listener.Addr().String(), protocol.Order{FencingToken: 1, WeightVersion: version}))
}
