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
	model           = "naviq-llm"
	customerID      = "kutch-haulage"
	otherCustomerID = "rann-salt"
	customerSecret  = "kutch-secret-marker"
	silenceLimit    = time.Second
	routingSeed     = 7
	// longAnswerTokens takes over a second to generate, so that a test can act while
	// the answer is streamed.
	longAnswerTokens = 600
	// writeBufferBytes is small, so that a client that doesn't read soon blocks the
	// server's writes.
	writeBufferBytes = 4 << 10
	// waitTimeout limits the wait for an asynchronous condition.
	waitTimeout = 30 * time.Second
)

// testStack runs a deployment in one process: an entry, agents reached over gRPC and
// one engine per agent, with a forwarder on every connection.
type testStack struct {
	t                *testing.T
	engines          []*engine.Engine
	servers          []*httptest.Server
	agents           []*agentProcess
	agentForwarders  []*forwarder.Forwarder
	engineForwarders []*forwarder.Forwarder
	config           *nodetest.Config
	entry            *entry.Entry
	url              string
	metrics          *metrics.Registry
	received         recordingBuffer
}

// recordingBuffer records everything written to it. As an http.RoundTripper, it records
// the bodies that callers receive.
type recordingBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (w *recordingBuffer) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.Write(b)
}

func (w *recordingBuffer) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.String()
}

// RoundTrip implements http.RoundTripper.
func (w *recordingBuffer) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err == nil {
		resp.Body = struct {
			io.Reader
			io.Closer
		}{io.TeeReader(resp.Body, w), resp.Body}
	}
	return resp, err
}

// agentProcess is an agent that can crash and restart on the same address.
type agentProcess struct {
	*agent.Agent
	address  string
	server   *grpc.Server
	listener net.Listener
	crashed  *atomic.Bool
}

// crashableEngineClient keeps a crashed agent from canceling attempts at the engine.
type crashableEngineClient struct {
	*streaming.Client
	crashed *atomic.Bool
}

func (c crashableEngineClient) Cancel(ctx context.Context, address, id string) error {
	if c.crashed.Load() {
		return protocol.ErrUnreachable
	}
	return c.Client.Cancel(ctx, address, id)
}

func testDocument(endpoints []string) *config.Document {
	salt := make([]byte, 16)
	key := func(secret string) map[string]config.Key {
		sum := sha256.Sum256(append(salt[:len(salt):len(salt)], secret...))
		return map[string]config.Key{"first": {Salt: hex.EncodeToString(salt), SHA256: hex.EncodeToString(sum[:])}}
	}
	customer := config.Customer{Weight: 1, TokensPerSecond: 1e6, BurstTokens: 1e6, Models: []string{model}, MaxPriority: "standard"}
	kutch, rann := customer, customer
	kutch.Keys, rann.Keys = key(customerSecret), key("rann-secret")
	doc := &config.Document{
		Deployment:     "guj-west",
		FailureDomains: map[string]config.FailureDomain{"guj-west-a": {Region: "gujarat"}},
		Customers:      map[string]config.Customer{customerID: kutch, otherCustomerID: rann},
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

// noRetries is a retry budget that allows no retry.
type noRetries struct{ entry.RetryBudget }

func (noRetries) RecordRequest()   {}
func (noRetries) AllowRetry() bool { return false }

// newTestStack starts a stack with n agents; change can override options of the entry.
func newTestStack(t *testing.T, n int, change ...func(*entry.Options)) *testStack {
	ts := &testStack{t: t, config: nodetest.NewConfig(nil), metrics: metrics.New()}
	members, endpoints := nodetest.Members{}, []string{}
	forward := func(address string) *forwarder.Forwarder {
		f, err := forwarder.New(address)
		require.NoError(t, err)
		t.Cleanup(f.Close)
		return f
	}
	for i := range n {
		e := engine.New(engine.Options{Model: model, WeightVersion: "v1", Slots: 64, CachePieces: 256, PieceBytes: 64, PrefillTokensPerSecond: 1e5,
			DecodeInterval: 2 * time.Millisecond, KeepAliveInterval: 100 * time.Millisecond, FinishedRetention: time.Minute, WeightLoadTime: time.Millisecond})
		s := httptest.NewServer(e.Handler())
		t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
		ts.engines, ts.servers = append(ts.engines, e), append(ts.servers, s)
		ts.engineForwarders = append(ts.engineForwarders, forward(s.Listener.Addr().String()))
		endpoints = append(endpoints, ts.engineForwarders[i].Address())
		ts.agents = append(ts.agents, &agentProcess{})
		ts.startAgent(i)
		ts.agentForwarders = append(ts.agentForwarders, forward(ts.agents[i].address))
		id := fmt.Sprintf("agent-%d", i)
		members[id] = node.Member{ID: id, Role: node.RoleAgent, Address: ts.agentForwarders[i].Address(), State: node.Live}
	}
	ts.config.Set(testDocument(endpoints))
	require.NoError(t, ts.config.Current().Doc.Validate())
	pool := dial.New(insecure.NewCredentials())
	t.Cleanup(pool.Close)
	o := entry.Options{ID: "entry-0", CacheSecret: []byte("cache secret"), SilenceLimit: silenceLimit, MaxBodyBytes: 1 << 16,
		Config: ts.config, Members: members, Pool: pool, RoutingPolicy: leastload.Policy{}, Seed: routingSeed, Metrics: ts.metrics, CallerTimeout: silenceLimit}
	for _, c := range change {
		c(&o)
	}
	ts.entry = entry.New(o)
	h, err := ts.entry.Handler()
	require.NoError(t, err)
	s := httptest.NewUnstartedServer(h)
	s.Config.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateNew {
			_ = c.(*net.TCPConn).SetWriteBuffer(writeBufferBytes)
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	ts.url = s.URL
	return ts
}

// processLoopback returns a loopback address that no other process listens on or
// connects from, so that the port is still free when an agent restarts.
func processLoopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>15&63, pid>>7&255, 1+pid&127)
}

// startAgent starts agent i, reusing its address if it had one.
func (ts *testStack) startAgent(i int) {
	a := ts.agents[i]
	address := a.address
	if address == "" {
		address = processLoopback() + ":0"
	}
	l, err := net.Listen("tcp", address)
	require.NoError(ts.t, err)
	a.address, a.crashed, a.listener = l.Addr().String(), &atomic.Bool{}, l
	a.Agent = agent.New(agent.Options{ID: fmt.Sprintf("agent-%d", i), CacheSecret: []byte("cache secret"), SilenceLimit: silenceLimit,
		Config: ts.config, Engine: crashableEngineClient{streaming.New(), a.crashed}})
	a.server = grpc.NewServer(agent.ServerOptions()...)
	rpc.RegisterAgentServer(a.server, a.Agent)
	go func() { _ = a.server.Serve(l) }()
	ts.t.Cleanup(a.server.Stop)
}

// crashAgent stops agent i abruptly. Its engine keeps running.
func (ts *testStack) crashAgent(i int) {
	ts.agents[i].crashed.Store(true)
	ts.agents[i].server.Stop()
	_ = ts.agents[i].listener.Close() // server.Stop closes it only if Serve has been called
}

func (ts *testStack) stopEngine(i int) {
	ts.engines[i].SetFaults(engine.Faults{Down: true})
	ts.servers[i].CloseClientConnections()
}

func (ts *testStack) client() *openai.Client {
	conf := openai.DefaultConfig(customerID + "." + customerSecret)
	conf.BaseURL = ts.url + "/v1"
	conf.HTTPClient = &http.Client{Transport: &ts.received}
	return openai.NewClientWithConfig(conf)
}

func chatRequest(text string, tokens int) openai.ChatCompletionRequest {
	return openai.ChatCompletionRequest{Model: model, MaxCompletionTokens: tokens, StreamOptions: &openai.StreamOptions{IncludeUsage: true},
		Messages: []openai.ChatCompletionMessage{{Role: "user", Content: promptMarker + text}}}
}

// expectedAnswer returns the answer that the engines generate for the text.
func expectedAnswer(text string, tokens int) string {
	return engine.Output(prefix.Render([]prefix.Message{{Role: "user", Content: promptMarker + text}}), tokens)
}

// receivedAnswer is the answer that a caller received.
type receivedAnswer struct {
	text  string
	usage *openai.Usage
	err   error
}

// streamChat streams an answer and calls afterFirstText once, after the first text.
func (ts *testStack) streamChat(ctx context.Context, text string, tokens int, afterFirstText func(endpoint int)) receivedAnswer {
	s, err := ts.client().CreateChatCompletionStream(ctx, chatRequest(text, tokens))
	if err != nil {
		return receivedAnswer{err: err}
	}
	defer s.Close()
	var endpoint int
	_, err = fmt.Sscanf(s.Header().Get("Galenaweir-Endpoint"), "naviq-%d", &endpoint)
	require.NoError(ts.t, err)
	var a receivedAnswer
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
		if b.Len() > 0 && afterFirstText != nil {
			afterFirstText(endpoint)
			afterFirstText = nil
		}
	}
}

// requireComplete requires the answer to match the expected one byte for byte, with
// its usage.
func (ts *testStack) requireComplete(a receivedAnswer, text string, tokens int) {
	ts.t.Helper()
	require.NoError(ts.t, a.err)
	require.Equal(ts.t, expectedAnswer(text, tokens), a.text)
	require.NotNil(ts.t, a.usage)
	require.Equal(ts.t, tokens, a.usage.CompletionTokens)
	require.Equal(ts.t, prefix.EstimateTokens(prefix.Render([]prefix.Message{{Role: "user", Content: promptMarker + text}})), a.usage.PromptTokens)
}

// eventually waits until the condition holds.
func (ts *testStack) eventually(f func() bool, what string) {
	ts.t.Helper()
	require.Eventually(ts.t, f, waitTimeout, 5*time.Millisecond, what)
}

func (ts *testStack) enginesIdle() bool {
	for _, e := range ts.engines {
		if e.Running() > 0 {
			return false
		}
	}
	return true
}

// loadWeights makes engine i load another weight version.
func (ts *testStack) loadWeights(i int, version string) {
	require.NoError(ts.t, streaming.New().SendOrder(ts.t.Context(), ts.servers[i].Listener.Addr().String(), protocol.Order{FencingToken: 1, WeightVersion: version}))
}
