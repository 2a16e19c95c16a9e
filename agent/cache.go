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

// CacheOptions configures the import and export of cache blocks.
type CacheOptions struct {
	Secret []byte
	Engine protocol.Engine
	Store  *storeclient.Client
	Now    func() time.Time // clock for estimates; time.Now if nil
	// OnContextLocation is called with each new location of a context. It may be nil.
	OnContextLocation func(key prefix.Hash, l *rpc.ContextLocation)
	// OnPiecesEvicted is called with the pieces that an engine has evicted. It may be nil.
	OnPiecesEvicted func(endpoint string, pieces []prefix.Hash)
	// RefreshTimeout bounds the wait for an engine's state and cache events before
	// an attempt; on a timeout nothing is imported, and the engine recomputes the
	// prompt. 200 ms if zero.
	RefreshTimeout time.Duration
}

const (
	maxParallelFetches    = 4    // concurrent fetches for one prompt
	maxQueuedExports      = 256  // contexts
	maxTrackedContexts    = 4096 // contexts whose returns are tracked
	defaultRefreshTimeout = 200 * time.Millisecond
)

// CacheStats holds the counters of a CacheManager.
type CacheStats struct {
	ImportedPieces atomic.Int64
	Fetches        atomic.Int64 // reads from a store, except misses
	ImportFailures atomic.Int64 // aborted imports, after which the engine recomputes
	ExportedPieces atomic.Int64
	DroppedExports atomic.Int64 // contexts not exported because the queue was full
	FreedBlocks    atomic.Int64 // blocks freed in a full store to make room for others
}

// CacheManager transfers pieces of KV cache between the engines and the stores. A
// store holds each piece as a sealed block. A nil CacheManager transfers nothing.
type CacheManager struct {
	opts           CacheOptions
	Stats          CacheStats
	runningImports singleflight.Group
	exportQueue    chan *promptPieces

	mu                sync.Mutex
	engineViews       map[string]*engineView
	links             map[string]*storeLink
	returns           *placement.ReturnEstimator
	storedBlocks      []storedBlock
	plannedPrefetches []plannedPrefetch
}

// NewCacheManager returns a cache manager. Exports and prefetches happen only while Run
// runs.
func NewCacheManager(o CacheOptions) *CacheManager {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.RefreshTimeout <= 0 {
		o.RefreshTimeout = defaultRefreshTimeout
	}
	return &CacheManager{
		opts: o, exportQueue: make(chan *promptPieces, maxQueuedExports), engineViews: map[string]*engineView{},
		links: map[string]*storeLink{}, returns: placement.NewReturnEstimator(maxTrackedContexts),
	}
}

// promptPieces describes one prompt's pieces of KV cache and where they are stored.
type promptPieces struct {
	requestID     string
	customer      string
	endpoint      string
	engineAddress string
	customerKey   prefix.CustomerKey
	contextKey    prefix.Hash
	identity      prefix.Identity // common to all pieces, without a chain hash
	chain         []prefix.Hash   // chain hashes of the pieces
	pieceBytes    int64           // size of one piece's KV cache
	prefillRate   float64         // tokens per second
	store         string
	storeAddress  string
	doc           *config.Document
}

// newPromptPieces returns the prompt's pieces for the weight version.
func (c *CacheManager) newPromptPieces(doc *config.Document, req *rpc.GenerateRequest, salt, version string) *promptPieces {
	m := doc.Models[req.Model]
	p := &promptPieces{
		requestID: req.RequestId, customer: req.Customer, endpoint: req.Endpoint, engineAddress: doc.Endpoints[req.Endpoint].Address,
		customerKey: prefix.DeriveCustomerKey(c.opts.Secret, req.Customer),
		identity:    prefix.Identity{Model: req.Model, WeightVersion: version, Adapter: req.Adapter, Tokens: prefix.PieceTokens},
		pieceBytes:  m.KVBytesPerToken * prefix.PieceTokens, prefillRate: m.PrefillTokensPerSecond, doc: doc,
	}
	p.contextKey = prefix.ContextKey(p.customerKey, req.Conversation)
	p.chain = prefix.HashChain(prefix.EngineKey(salt, version), req.Prompt)
	p.store = placement.SelectStore(p.contextKey, slices.Sorted(maps.Keys(doc.Stores)))
	p.storeAddress = doc.Stores[p.store].Address
	return p
}

// pieceIdentity returns the identity of the piece with index i.
func (p *promptPieces) pieceIdentity(i int) prefix.Identity {
	id := p.identity
	id.Chain = p.chain[i]
	return id
}

// prefillTime returns the time that the engine needs to prefill the given number of
// pieces, or zero if its rate is unknown.
func (p *promptPieces) prefillTime(pieces int) time.Duration {
	if p.prefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(pieces*prefix.PieceTokens) / p.prefillRate * float64(time.Second))
}

// engineView returns the view of the engine at the address.
func (c *CacheManager) engineView(address string) *engineView {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.engineViews[address]
	if v == nil {
		v = newEngineView()
		c.engineViews[address] = v
	}
	return v
}

// link returns the link to the prompt's store.
func (c *CacheManager) link(p *promptPieces) *storeLink {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.links[p.storeAddress]
	if l == nil {
		rate := 0.0
		for _, cl := range p.doc.Links {
			if cl.From == p.store {
				rate = max(rate, float64(cl.BytesPerSecond))
			}
		}
		l = newStoreLink(rate, c.opts.Now)
		c.links[p.storeAddress] = l
	}
	return l
}

// placementPolicy returns the configured placement policy, or value.Policy if this build
// doesn't have it.
func (c *CacheManager) placementPolicy(doc *config.Document) placement.Policy {
	p, err := kernel.New[placement.Policy](kernel.ID(doc.Policies.Placement))
	if err != nil {
		return value.Policy{}
	}
	return p
}

// Import fetches the prompt's pieces that the engine lacks from the store, if that is
// estimated to be faster than recomputing them. It takes at most the time of a
// recompute and leaves enough time to recompute before the deadline. After any
// failure the engine recomputes the missing pieces.
func (c *CacheManager) Import(ctx context.Context, doc *config.Document, req *rpc.GenerateRequest, salt string) {
	if c == nil || req.Resume || len(doc.Stores) == 0 {
		return
	}
	p, missing, err := c.missingPieces(ctx, doc, req, salt)
	if err != nil || len(missing) == 0 {
		log.Debug().Str("request", req.RequestId).Err(err).Msg("nothing to import")
		return
	}
	l := c.link(p)
	fetchTime, prefillTime := l.estimateTime(int64(len(missing))*p.pieceBytes), p.prefillTime(len(missing))
	budget := prefillTime
	if d, ok := ctx.Deadline(); ok {
		budget = min(budget, time.Until(d)-prefillTime)
	}
	doImport := fetchTime < budget
	state := l.state()
	log.Info().Str("decision", "import").Str("request", p.requestID).Str("customer", p.customer).Str("endpoint", p.endpoint).
		Str("store", p.store).Str("weight_version", p.identity.WeightVersion).Int("pieces", len(p.chain)).Int("missing", len(missing)).
		Int64("piece_bytes", p.pieceBytes).Float64("link_bytes_per_second", state.BytesPerSecond).Float64("link_use", state.Utilization).
		Dur("fetch", fetchTime).Dur("recompute", prefillTime).Dur("budget", budget).Bool("import", doImport).Msg("placement")
	if !doImport {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, budget)
	defer cancel()
	if err := c.importPieces(ctx, p, missing, budget); err != nil && !errors.Is(err, storeclient.ErrMiss) {
		c.Stats.ImportFailures.Add(1)
		log.Info().Str("request", p.requestID).Str("store", p.store).Err(err).Msg("import ended early; the engine recomputes the rest")
	}
}

// missingPieces returns the prompt's pieces for the weight version that the engine has
// loaded, and the indices of those that it lacks.
func (c *CacheManager) missingPieces(ctx context.Context, doc *config.Document, req *rpc.GenerateRequest, salt string) (*promptPieces, []int, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.RefreshTimeout)
	defer cancel()
	address := doc.Endpoints[req.Endpoint].Address
	st, err := c.opts.Engine.EngineState(ctx, address)
	if err != nil {
		return nil, nil, err
	}
	if st.Loading || req.WeightVersion != "" && st.WeightVersion != req.WeightVersion {
		return nil, nil, protocol.ErrWeightVersionMismatch
	}
	p := c.newPromptPieces(doc, req, salt, st.WeightVersion)
	v := c.engineView(address)
	evicted, err := v.refresh(ctx, c.opts.Engine, address)
	if err != nil {
		return nil, nil, err
	}
	if c.opts.OnPiecesEvicted != nil {
		c.opts.OnPiecesEvicted(req.Endpoint, evicted)
	}
	return p, v.missing(p.chain), nil
}

// importPieces imports the pieces with the given indices, several at a time, and returns
// the first error.
func (c *CacheManager) importPieces(ctx context.Context, p *promptPieces, missing []int, budget time.Duration) error {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelFetches)
	for _, i := range missing {
		if ctx.Err() != nil {
			break
		}
		g.Go(func() error { return c.importPiece(ctx, p, p.pieceIdentity(i), budget) })
	}
	return g.Wait()
}

// importPiece imports one piece, or waits for a running import of the same piece into
// the same engine. The store key is derived from the customer's key, so only requests
// of one customer share an import. An import continues if the request that started it
// ends.
func (c *CacheManager) importPiece(ctx context.Context, p *promptPieces, id prefix.Identity, budget time.Duration) error {
	key := prefix.StoreKey(p.customerKey, id)
	done := c.runningImports.DoChan(p.engineAddress+" "+hex.EncodeToString(key[:]), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), budget)
		defer cancel()
		return nil, c.fetchAndImport(ctx, p, id, key)
	})
	select {
	case r := <-done:
		return r.Err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// fetchAndImport fetches the piece's block, verifies it, and imports the piece into the
// engine if the engine still has the piece's weight version loaded.
func (c *CacheManager) fetchAndImport(ctx context.Context, p *promptPieces, id prefix.Identity, key prefix.Hash) error {
	l, v := c.link(p), c.engineView(p.engineAddress)
	if len(v.missing([]prefix.Hash{id.Chain})) == 0 {
		return nil // imported in the meantime
	}
	l.beginTransfer(p.pieceBytes)
	block, err := c.opts.Store.Get(ctx, p.storeAddress, key)
	if !errors.Is(err, storeclient.ErrMiss) {
		c.Stats.Fetches.Add(1)
	}
	l.endTransfer(p.pieceBytes, int64(len(block)), ctx.Err() != nil)
	var data []byte
	if err == nil {
		data, err = prefix.Open(p.customerKey, id, block)
	}
	if errors.Is(err, prefix.ErrInvalidBlock) || errors.Is(err, storeclient.ErrBlockChanged) {
		c.discardBlock(ctx, p, key)
	}
	if err != nil {
		return err
	}
	st, err := c.opts.Engine.EngineState(ctx, p.engineAddress)
	if err != nil {
		return err
	}
	if st.Loading || st.WeightVersion != id.WeightVersion {
		return fmt.Errorf("import block of weight version %s into an engine with version %s: %w", id.WeightVersion, st.WeightVersion, protocol.ErrWeightVersionMismatch)
	}
	if err := c.opts.Engine.Import(ctx, p.engineAddress, id.Chain, id.WeightVersion, data); err != nil {
		return err
	}
	v.addPiece(id.Chain)
	c.Stats.ImportedPieces.Add(1)
	return nil
}

// discardBlock frees a damaged block in the store, so that the next export replaces it.
func (c *CacheManager) discardBlock(ctx context.Context, p *promptPieces, storeKey prefix.Hash) {
	s, err := c.opts.Store.Lookup(ctx, p.storeAddress, storeKey)
	if err == nil {
		err = c.opts.Store.Free(ctx, p.storeAddress, s)
	}
	log.Warn().Str("store", p.store).Err(err).Msg("damaged block discarded from the store")
}
