package agent

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/core/prefix"
	"github.com/galenaweir/galenaweir/node"
	"github.com/galenaweir/galenaweir/protocol"
	"github.com/galenaweir/galenaweir/protocol/streaming"
	"github.com/galenaweir/galenaweir/rpc"
	"github.com/galenaweir/galenaweir/standin/engine"
	"github.com/galenaweir/galenaweir/standin/store"
	"github.com/galenaweir/galenaweir/storeclient"
)

const (
	pieceBytes       = 4096
	promptPieceCount = 4
	maxOutputTokens  = 3
)

type fixedConfig struct{ doc *config.Document }

func (f fixedConfig) Current() *node.ConfigState {
	return &node.ConfigState{Version: 1, Doc: f.doc}
}
func (f fixedConfig) Changed() <-chan struct{} { return nil }

// harness is an agent with a stand-in engine and a stand-in store, all on loopback.
type harness struct {
	t        *testing.T
	engine   *engine.Engine
	store    *store.Store
	doc      *config.Document
	agent    *Agent
	cache    *CacheManager
	attempts int
}

func newHarness(t *testing.T, storeOpts store.Options, wrap func(protocol.Engine) protocol.Engine) *harness {
	t.Helper()
	r := &harness{t: t, store: store.New(storeOpts), engine: engine.New(engine.Options{
		Model: "m", WeightVersion: "v1", Slots: 8, CachePieces: 64, PieceBytes: pieceBytes, PrefillTokensPerSecond: 1e8,
		KeepAliveInterval: time.Second, FinishedRetention: time.Minute, WeightLoadTime: time.Nanosecond,
	})}
	es, ss := httptest.NewServer(r.engine.Handler()), httptest.NewServer(r.store.Handler())
	t.Cleanup(es.Close)
	t.Cleanup(ss.Close)
	// The configured prefill rate is far below the engine's, so that imports are
	// always estimated to be faster.
	r.doc = &config.Document{
		Models:    map[string]config.Model{"m": {KVBytesPerToken: pieceBytes / prefix.PieceTokens, PrefillTokensPerSecond: 10}},
		Endpoints: map[string]config.Endpoint{"e": {Agent: "a", Address: es.Listener.Addr().String(), Model: "m"}},
		Stores:    map[string]config.Store{"s": {Address: ss.Listener.Addr().String()}},
		Policies:  config.Policies{Placement: "placement.always"},
	}
	var e protocol.Engine = streaming.New()
	if wrap != nil {
		e = wrap(e)
	}
	now := time.Unix(0, 0)
	var mu sync.Mutex
	tick := func() time.Time {
		mu.Lock()
		defer mu.Unlock()
		now = now.Add(time.Millisecond)
		return now
	}
	client := storeclient.DefaultOptions()
	client.TransferTimeout = time.Hour // so that imports end by their own time limit
	r.cache = NewCacheManager(CacheOptions{Secret: []byte("secret"), Engine: e, Store: storeclient.New(client), Now: tick, RefreshTimeout: time.Minute})
	r.agent = New(Options{ID: "a", CacheSecret: []byte("secret"), SilenceLimit: time.Minute, Config: fixedConfig{r.doc}, Engine: e, Cache: r.cache})
	return r
}

// request returns a new request; all requests have the same prompt.
func (r *harness) request(customer string) *rpc.GenerateRequest {
	r.attempts++
	return &rpc.GenerateRequest{
		AttemptId: fmt.Sprint("attempt-", r.attempts), Customer: customer, Endpoint: "e", Model: "m", Conversation: "c",
		Prompt: strings.Repeat("levy paid ", promptPieceCount*prefix.PieceBytes/10+1), MaxTokens: maxOutputTokens,
	}
}

// run runs a prompt to its end, requires a complete answer and no invalid imports, and
// returns the number of cached tokens.
func (r *harness) run(customer string) int {
	r.t.Helper()
	return r.runRequest(r.request(customer))
}

// runRequest is like run for the given request.
func (r *harness) runRequest(req *rpc.GenerateRequest) int {
	at, err := r.agent.findOrStartAttempt(req)
	require.NoError(r.t, err)
	for {
		frames, done, changed, err := at.framesFrom(0)
		if !done {
			<-changed
			continue
		}
		require.NoError(r.t, err)
		text, cached := "", 0
		for _, f := range frames {
			text += f.GetToken().GetText()
			cached += int(f.GetEnd().GetCachedTokens())
		}
		require.Equal(r.t, engine.Output(req.Prompt, maxOutputTokens), text)
		require.Zero(r.t, r.engine.State().BadImports)
		return cached
	}
}

// runExports runs the queued exports.
func (r *harness) runExports() {
	for {
		select {
		case p := <-r.cache.exportQueue:
			r.cache.exportPrompt(r.t.Context(), p)
		default:
			return
		}
	}
}

// exportAndEvict puts the customer's pieces into the store and evicts them from the
// engine.
func (r *harness) exportAndEvict(customer string) {
	r.run(customer)
	r.runExports()
	r.engine.EvictAll()
}

// cacheableTokens is the number of prompt tokens that can be cached.
const cacheableTokens = promptPieceCount * prefix.PieceTokens

func storeOptions() store.Options { return store.Options{MemoryBytes: 1 << 20} }
