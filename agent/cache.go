package agent

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"

	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/core/kernel"
	"github.com/galenaweir/galenaweir/core/placement"
	_ "github.com/galenaweir/galenaweir/core/placement/baseline" // plug-ins
	"github.com/galenaweir/galenaweir/core/placement/value"
	"github.com/galenaweir/galenaweir/core/prefix"
	"github.com/galenaweir/galenaweir/protocol"
	"github.com/galenaweir/galenaweir/rpc"
	"github.com/galenaweir/galenaweir/storeclient"
)

// CacheOptions sets up the import and export of cache blocks.
type CacheOptions struct {
	Secret []byte
	Engine protocol.Engine
	Store  *storeclient.Client
	Now    func() time.Time // of estimates
	// Announce is told where a context is; nil if nobody wants to know.
	Announce func(key prefix.Hash, l *rpc.ContextLocation)
	// Evicted is told which pieces an engine no longer holds; nil if nobody wants to
	// know.
	Evicted func(endpoint string, pieces []prefix.Hash)
	// RefreshTimeout bounds the wait for an engine's state and cache events
	// before an attempt; without them the engine recomputes. 200 ms if zero.
	RefreshTimeout time.Duration
}

const (
	parallelFetches  = 4    // of one prompt
	maxQueuedExports = 256  // contexts
	maxContexts      = 4096 // remembered for the estimate of returns
	refreshTimeout   = 200 * time.Millisecond
)

// CacheStats counts what the cache did.
type CacheStats struct {
	Imported       atomic.Int64 // pieces
	Fetches        atomic.Int64 // reads from a store, without misses
	ImportFailures atomic.Int64 // imports given up, after which the engine recomputes
	Exported       atomic.Int64 // pieces
	ExportsDropped atomic.Int64 // contexts not exported because the queue was full
	Freed          atomic.Int64 // blocks dropped to make way
}

// Cache moves pieces of KV cache between the engines and the stores. A nil Cache
// does nothing.
type Cache struct {
	o       CacheOptions
	Stats   CacheStats
	flights singleflight.Group
	exports chan *promptCache

	mu      sync.Mutex
	engines map[string]*engineView
	links   map[string]*link
	returns *placement.ReturnEstimator
	stored  []storedBlock
	planned []planned
}

// NewCache returns a cache. Its exports need Run.
func NewCache(o CacheOptions) *Cache {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.RefreshTimeout <= 0 {
		o.RefreshTimeout = refreshTimeout
	}
	return &Cache{
		o: o, exports: make(chan *promptCache, maxQueuedExports), engines: map[string]*engineView{},
		links: map[string]*link{}, returns: placement.NewReturnEstimator(maxContexts),
	}
}

// promptCache is the cache's side of one prompt.
type promptCache struct {
	request  string
	customer string
	endpoint string
	address  string // of the engine
	key      prefix.CustomerKey
	context  prefix.Hash
	id       prefix.Identity // of each piece, but for its chain hash
	chain    []prefix.Hash
	pieceKV  int64 // bytes
	prefill  float64
	store    string
	storeAt  string
	doc      *config.Document
}

// describe returns the prompt's pieces under the weight version.
func (c *Cache) describe(doc *config.Document, req *rpc.GenerateRequest, salt, version string) *promptCache {
	m := doc.Models[req.Model]
	p := &promptCache{
		request: req.RequestId, customer: req.Customer, endpoint: req.Endpoint, address: doc.Endpoints[req.Endpoint].Address,
		key:     prefix.DeriveCustomerKey(c.o.Secret, req.Customer),
		id:      prefix.Identity{Model: req.Model, WeightVersion: version, Adapter: req.Adapter, Tokens: prefix.PieceTokens},
		pieceKV: m.KVBytesPerToken * prefix.PieceTokens, prefill: m.PrefillTokensPerSecond, doc: doc,
	}
	p.context = prefix.ContextKey(p.key, req.Conversation)
	p.chain = prefix.HashChain(prefix.EngineKey(salt, version), req.Prompt)
	p.store = placement.SelectStore(p.context, slices.Sorted(maps.Keys(doc.Stores)))
	p.storeAt = doc.Stores[p.store].Address
	return p
}

func (p *promptCache) piece(i int) prefix.Identity {
	id := p.id
	id.Chain = p.chain[i]
	return id
}

// recompute returns the time in which the engine prefills that many pieces.
func (p *promptCache) recompute(pieces int) time.Duration {
	if p.prefill <= 0 {
		return 0
	}
	return time.Duration(float64(pieces*prefix.PieceTokens) / p.prefill * float64(time.Second))
}

func (c *Cache) view(address string) *engineView {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.engines[address]
	if v == nil {
		v = newEngineView()
		c.engines[address] = v
	}
	return v
}

// link returns the link to the prompt's store.
func (c *Cache) link(p *promptCache) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.links[p.storeAt]
	if l == nil {
		rate := 0.0
		for _, cl := range p.doc.Links {
			if cl.From == p.store {
				rate = max(rate, float64(cl.BytesPerSecond))
			}
		}
		l = newLink(rate, c.o.Now)
		c.links[p.storeAt] = l
	}
	return l
}

func (c *Cache) policy(doc *config.Document) placement.Policy {
	p, err := kernel.New[placement.Policy](kernel.ID(doc.Policies.Placement))
	if err != nil {
		return value.Policy{}
	}
	return p
}

// Import brings the pieces of the prompt that the engine lacks from the store, if
// that is estimated to be faster than recomputing them. It returns within the
// time of recomputing and in time for the deadline; whatever fails, the engine
// recomputes.
func (c *Cache) Import(ctx context.Context, doc *config.Document, req *rpc.GenerateRequest, salt string) {
	if c == nil || req.Resume || len(doc.Stores) == 0 {
		return
	}
	p, missing, err := c.inspect(ctx, doc, req, salt)
	if err != nil || len(missing) == 0 {
		log.Debug().Str("request", req.RequestId).Err(err).Msg("nothing to import")
		return
	}
	l := c.link(p)
	fetch, recompute := l.estimate(int64(len(missing))*p.pieceKV), p.recompute(len(missing))
	budget := recompute
	if d, ok := ctx.Deadline(); ok {
		budget = min(budget, time.Until(d)-recompute)
	}
	use := fetch < budget
	state := l.state()
	log.Info().Str("decision", "import").Str("request", p.request).Str("customer", p.customer).Str("endpoint", p.endpoint).
		Str("store", p.store).Str("weight_version", p.id.WeightVersion).Int("pieces", len(p.chain)).Int("missing", len(missing)).
		Int64("piece_bytes", p.pieceKV).Float64("link_bytes_per_second", state.BytesPerSecond).Float64("link_use", state.Utilization).
		Dur("fetch", fetch).Dur("recompute", recompute).Dur("budget", budget).Bool("import", use).Msg("placement")
	if !use {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, budget)
	defer cancel()
	if err := c.importAll(ctx, p, missing, budget); err != nil && !errors.Is(err, storeclient.ErrMiss) {
		c.Stats.ImportFailures.Add(1)
		log.Info().Str("request", p.request).Str("store", p.store).Err(err).Msg("import ended early; the engine recomputes the rest")
	}
}

// inspect returns the prompt's pieces under the version that the engine has
// loaded, and which of them it lacks.
func (c *Cache) inspect(ctx context.Context, doc *config.Document, req *rpc.GenerateRequest, salt string) (*promptCache, []int, error) {
	ctx, cancel := context.WithTimeout(ctx, c.o.RefreshTimeout)
	defer cancel()
	address := doc.Endpoints[req.Endpoint].Address
	st, err := c.o.Engine.EngineState(ctx, address)
	if err != nil {
		return nil, nil, err
	}
	if st.Loading || req.WeightVersion != "" && st.WeightVersion != req.WeightVersion {
		return nil, nil, protocol.ErrWeightVersionMismatch
	}
	p := c.describe(doc, req, salt, st.WeightVersion)
	v := c.view(address)
	evicted, err := v.refresh(ctx, c.o.Engine, address)
	if err != nil {
		return nil, nil, err
	}
	if c.o.Evicted != nil {
		c.o.Evicted(req.Endpoint, evicted)
	}
	return p, v.missing(p.chain), nil
}

func (c *Cache) importAll(ctx context.Context, p *promptCache, missing []int, budget time.Duration) error {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(parallelFetches)
	for _, i := range missing {
		if ctx.Err() != nil {
			break
		}
		g.Go(func() error { return c.importOne(ctx, p, p.piece(i), budget) })
	}
	return g.Wait()
}

// importOne joins the running import of the same block into the same engine, or
// starts it. The store key derives from the customer's key, so only requests of
// one customer meet. An import outlives the request that started it.
func (c *Cache) importOne(ctx context.Context, p *promptCache, id prefix.Identity, budget time.Duration) error {
	key := prefix.StoreKey(p.key, id)
	done := c.flights.DoChan(p.address+" "+hex.EncodeToString(key[:]), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), budget)
		defer cancel()
		return nil, c.move(ctx, p, id, key)
	})
	select {
	case r := <-done:
		return r.Err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// move fetches one block, verifies it, and hands it to the engine if that still
// has the block's weight version loaded.
func (c *Cache) move(ctx context.Context, p *promptCache, id prefix.Identity, key prefix.Hash) error {
	l, v := c.link(p), c.view(p.address)
	if len(v.missing([]prefix.Hash{id.Chain})) == 0 {
		return nil // imported since the caller looked
	}
	l.begin(p.pieceKV)
	block, err := c.o.Store.Get(ctx, p.storeAt, key)
	if !errors.Is(err, storeclient.ErrMiss) {
		c.Stats.Fetches.Add(1)
	}
	l.end(p.pieceKV, int64(len(block)), ctx.Err() != nil)
	var data []byte
	if err == nil {
		data, err = prefix.Open(p.key, id, block)
	}
	if errors.Is(err, prefix.ErrInvalidBlock) || errors.Is(err, storeclient.ErrBlockChanged) {
		c.discard(ctx, p, key)
	}
	if err != nil {
		return err
	}
	st, err := c.o.Engine.EngineState(ctx, p.address)
	if err != nil {
		return err
	}
	if st.Loading || st.WeightVersion != id.WeightVersion {
		return fmt.Errorf("block of version %s, engine has %s: %w", id.WeightVersion, st.WeightVersion, protocol.ErrWeightVersionMismatch)
	}
	if err := c.o.Engine.Import(ctx, p.address, id.Chain, id.WeightVersion, data); err != nil {
		return err
	}
	v.add(id.Chain)
	c.Stats.Imported.Add(1)
	return nil
}

// discard frees a damaged block, so that the next export replaces it.
func (c *Cache) discard(ctx context.Context, p *promptCache, key prefix.Hash) {
	s, err := c.o.Store.Lookup(ctx, p.storeAt, key)
	if err == nil {
		err = c.o.Store.Free(ctx, p.storeAt, s)
	}
	log.Warn().Str("store", p.store).Err(err).Msg("a damaged block was discarded")
}
