package claimsvc_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/galenaweir/galenaweir/agent"
	"github.com/galenaweir/galenaweir/claimsvc"
	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/entry"
	"github.com/galenaweir/galenaweir/logsvc"
	"github.com/galenaweir/galenaweir/node"
	"github.com/galenaweir/galenaweir/rpc"
	"github.com/galenaweir/galenaweir/rpc/dial"
	standinlog "github.com/galenaweir/galenaweir/standin/logsvc"
	"github.com/galenaweir/galenaweir/standin/service"
)

// fakeCluster is a configuration and a member list that tests modify directly.
type fakeCluster struct {
	mu          sync.Mutex
	state       *node.ConfigState
	members     map[string]node.Member
	memberOrder []string
}

func (f *fakeCluster) Current() *node.ConfigState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

// setEndpoint publishes a configuration with the endpoint's new address.
func (f *fakeCluster) setEndpoint(i int, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	doc := *f.state.Doc
	doc.Endpoints = maps.Clone(doc.Endpoints)
	doc.Endpoints[fmt.Sprintf("levy-%d", i)] = config.Endpoint{Agent: agentID(i), Address: address, Service: testService}
	f.state = &node.ConfigState{Version: f.state.Version + 1, Doc: &doc}
}
func (f *fakeCluster) Changed() <-chan struct{} { return nil }
func (f *fakeCluster) All() (all []node.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range f.memberOrder {
		if m := f.members[id]; m.State != node.Gone {
			all = append(all, m)
		}
	}
	return all
}
func (f *fakeCluster) Get(id string) (node.Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[id]
	return m, ok
}
func (f *fakeCluster) setState(id string, s node.MemberState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[id]
	m.State = s
	f.members[id] = m
}

// hookLog calls test hooks before each append and read of an agent.
type hookLog struct {
	logsvc.Log
	mu           sync.Mutex
	beforeAppend func(stream string, data []byte)
	beforeRead   func(stream string)
}

func (h *hookLog) hooks() (func(string, []byte), func(string)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.beforeAppend, h.beforeRead
}

func (h *hookLog) Append(ctx context.Context, s string, data []byte) (logsvc.AppendResult, error) {
	if f, _ := h.hooks(); f != nil {
		f(s, data)
	}
	return h.Log.Append(ctx, s, data)
}

func (h *hookLog) Read(ctx context.Context, s string, from int64, wait time.Duration) (logsvc.Page, error) {
	if _, f := h.hooks(); f != nil {
		f(s)
	}
	return h.Log.Read(ctx, s, from, wait)
}

type runningAgent struct {
	*agent.Agent
	server *grpc.Server
	log    *hookLog
}

// deployment runs a complete small system on loopback.
type deployment struct {
	t          *testing.T
	log        *standinlog.Log
	logAddress string
	ledger     *service.Ledger
	replicas   []*service.Replica
	services   []*httptest.Server
	cluster    *fakeCluster
	agents     []*runningAgent
	entries    []string
	pool       *dial.Pool
	now        func() time.Time
}

const (
	testService         = "levy-core"
	testGroupIntervalMs = 5               // milliseconds between appends
	logTimeout          = 2 * time.Second // generous, so that a busy host is not mistaken for a log fault
)

func apiKey(customer string) string { return customer + ".secret-of-" + customer }

func customerConfig(id string) config.Customer {
	_, secret, _ := strings.Cut(apiKey(id), ".")
	sum := sha256.Sum256([]byte("salt" + secret))
	return config.Customer{Services: []string{testService}, Keys: map[string]config.Key{
		"k": {Salt: hex.EncodeToString([]byte("salt")), SHA256: hex.EncodeToString(sum[:])}}}
}

func newDeployment(t *testing.T, agents int) *deployment {
	d := &deployment{t: t, log: standinlog.New(0, time.Now), ledger: service.NewLedger(), cluster: &fakeCluster{members: map[string]node.Member{}}}
	logServer := httptest.NewServer(d.log.Handler())
	t.Cleanup(logServer.Close)
	d.logAddress = logServer.Listener.Addr().String()
	doc := &config.Document{
		Customers: map[string]config.Customer{"vadodara": customerConfig("vadodara"), "kutch": customerConfig("kutch")},
		Services: map[string]config.Service{testService: {Rules: []config.Rule{
			{Method: "POST", PathPrefix: "/payments", TimeoutMs: 2000},
			{Method: "GET", PathPrefix: "/balances/", Idempotent: true, Lookup: true, TimeoutMs: 2000},
			{Method: "GET", PathPrefix: "/pay-by-get", TimeoutMs: 400},
			{Method: "POST", PathPrefix: "/echo", Idempotent: true, TimeoutMs: 2000},
		}}},
		Endpoints: map[string]config.Endpoint{},
		Claims:    config.Claims{Partitions: 2, KeyWindowSeconds: 86_400, GroupIntervalMs: testGroupIntervalMs, MaxAnswerBytes: 1024},
	}
	d.cluster.state = &node.ConfigState{Version: 1, Doc: doc}
	d.pool = dial.New(insecure.NewCredentials())
	t.Cleanup(d.pool.Close)
	for i := range agents {
		r := service.NewReplica(d.ledger)
		s := httptest.NewServer(r.Handler())
		t.Cleanup(s.Close)
		d.replicas, d.services = append(d.replicas, r), append(d.services, s)
		d.startAgent(i)
	}
	for range 2 {
		d.startEntry()
	}
	return d
}

func agentID(i int) string { return fmt.Sprintf("agent-%d", i) }

// startAgent starts an agent, or restarts it with a new incarnation.
func (d *deployment) startAgent(i int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(d.t, err)
	id := agentID(i)
	if _, ok := d.cluster.members[id]; !ok {
		d.cluster.memberOrder = append(d.cluster.memberOrder, id)
		d.agents = append(d.agents, nil)
	}
	d.cluster.mu.Lock()
	d.cluster.members[id] = node.Member{ID: id, Role: node.RoleAgent, Address: l.Addr().String(), State: node.Live}
	d.cluster.mu.Unlock()
	d.cluster.setEndpoint(i, d.services[i].Listener.Addr().String())
	hook := &hookLog{Log: logsvc.New(d.logAddress, logTimeout)}
	claimService := claimsvc.NewService(claimsvc.Options{ID: id, Log: hook, Config: d.cluster, Members: d.cluster, Now: d.now})
	d.t.Cleanup(claimService.Close)
	a := agent.New(agent.Options{ID: id, Config: d.cluster, Members: d.cluster, ClaimService: claimService, ClaimClient: claimsvc.NewClient(d.cluster, d.pool), Pool: d.pool})
	srv := grpc.NewServer()
	rpc.RegisterAgentServer(srv, a)
	go func() { _ = srv.Serve(l) }()
	d.t.Cleanup(srv.Stop)
	d.agents[i] = &runningAgent{a, srv, hook}
}

func (d *deployment) startEntry() {
	e := entry.New(entry.Options{MaxBodyBytes: 1 << 20, Config: d.cluster, Members: d.cluster, Pool: d.pool, Claims: claimsvc.NewClient(d.cluster, d.pool)})
	h, err := e.Handler()
	require.NoError(d.t, err)
	s := httptest.NewServer(h)
	d.t.Cleanup(s.Close)
	d.entries = append(d.entries, s.URL)
}

// answer is the response that a caller receives.
type answer struct {
	status int
	header http.Header
	body   string
	err    struct {
		Type      string `json:"type"`
		Ran       string `json:"ran"`
		Retryable bool   `json:"retryable"`
		Message   string `json:"message"`
	}
}

type request struct {
	entry    int
	customer string // defaults to vadodara
	method   string // defaults to POST
	path     string // defaults to the payments path of testService
	key      string
	body     string
	deadline time.Duration
}

func (d *deployment) send(r request) answer {
	if r.customer == "" {
		r.customer = "vadodara"
	}
	if r.method == "" {
		r.method = http.MethodPost
	}
	if r.path == "" {
		r.path = "/v1/services/" + testService + "/payments"
	}
	req, err := http.NewRequest(r.method, d.entries[r.entry]+r.path, bytes.NewBufferString(r.body))
	require.NoError(d.t, err)
	req.Header.Set("Authorization", "Bearer "+apiKey(r.customer))
	req.Header.Set("Content-Type", "application/json")
	if r.key != "" {
		req.Header.Set("Idempotency-Key", r.key)
	}
	if r.deadline > 0 {
		req.Header.Set("Galenaweir-Deadline-Ms", fmt.Sprint(r.deadline.Milliseconds()))
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(d.t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	require.NoError(d.t, err)
	a := answer{status: resp.StatusCode, header: resp.Header, body: string(b)}
	var e struct{ Error json.RawMessage }
	if json.Unmarshal(b, &e) == nil && e.Error != nil {
		require.NoError(d.t, json.Unmarshal(e.Error, &a.err))
	}
	return a
}

func newKey(t *testing.T) string {
	u, err := uuid.NewV7()
	require.NoError(t, err)
	return u.String()
}

func payment(reference string) string {
	return fmt.Sprintf(`{"reference":%q,"account":"truck","amount":100}`, reference)
}
