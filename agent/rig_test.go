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
	pieceKV  = 4096
	pieces   = 4
	maxWords = 3
)

type fixedConfig struct{ doc *config.Document }

func (f fixedConfig) Current() *node.ConfigState {
	return &node.ConfigState{Version: 1, Doc: f.doc}
}
func (f fixedConfig) Changed() <-chan struct{} { return nil }

// rig is an agent between an engine and a store, all on loopback.
type rig struct {
	t     *testing.T
	eng   *engine.Engine
	st    *store.Store
	doc   *config.Document
	agent *Agent
	cache *Cache
	n     int
}

func newRig(t *testing.T, so store.Options, wrap func(protocol.Engine) protocol.Engine) *rig {
	t.Helper()
	r := &rig{t: t, st: store.New(so), eng: engine.New(engine.Options{
		Model: "m", WeightVersion: "v1", Slots: 8, CachePieces: 64, PieceBytes: pieceKV, PrefillPerSecond: 1e8,
		KeepAliveInterval: time.Second, KeepFinished: time.Minute, LoadTime: time.Nanosecond,
	})}
	es, ss := httptest.NewServer(r.eng.Handler()), httptest.NewServer(r.st.Handler())
	t.Cleanup(es.Close)
	t.Cleanup(ss.Close)
	// The configured prefill rate is far below the engine's, so that imports are
	// always estimated to be faster.
	r.doc = &config.Document{
		Models:    map[string]config.Model{"m": {KVBytesPerToken: pieceKV / prefix.PieceTokens, PrefillTokensPerSecond: 10}},
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
	client.TransferTimeout = time.Hour // imports must end by their own limit
	r.cache = NewCache(CacheOptions{Secret: []byte("secret"), Engine: e, Store: storeclient.New(client), Now: tick, RefreshTimeout: time.Minute})
	r.agent = New(Options{ID: "a", CacheSecret: []byte("secret"), SilenceLimit: time.Minute, Config: fixedConfig{r.doc}, Engine: e, Cache: r.cache})
	return r
}

func (r *rig) request(customer string) *rpc.GenerateRequest {
	r.n++
	return &rpc.GenerateRequest{
		AttemptId: fmt.Sprint("attempt-", r.n), Customer: customer, Endpoint: "e", Model: "m", Conversation: "c",
		Prompt: strings.Repeat("levy paid ", pieces*prefix.PieceBytes/10+1), MaxTokens: maxWords,
	}
}

// run runs a prompt to its end, requires the whole answer and good imports, and
// returns the cached tokens.
func (r *rig) run(customer string) int {
	r.t.Helper()
	return r.finish(r.request(customer))
}

func (r *rig) finish(req *rpc.GenerateRequest) int {
	at, err := r.agent.attempt(req)
	require.NoError(r.t, err)
	for {
		frames, done, changed, err := at.since(0)
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
		require.Equal(r.t, engine.Answer(req.Prompt, maxWords), text)
		require.Zero(r.t, r.eng.State().BadImports)
		return cached
	}
}

// export does the exports that are queued.
func (r *rig) export() {
	for {
		select {
		case p := <-r.cache.exports:
			r.cache.exportOne(r.t.Context(), p)
		default:
			return
		}
	}
}

// fill leaves the customer's pieces in the store only.
func (r *rig) fill(customer string) {
	r.run(customer)
	r.export()
	r.eng.Evict()
}

const whole = pieces * prefix.PieceTokens

func storeOptions() store.Options { return store.Options{MemoryBytes: 1 << 20} }
