package trace

import (
	"fmt"
	"math"
)

// Priority classes of requests.
const (
	Interactive = "interactive"
	Standard    = "standard"
	Batch       = "batch"
)

// Sizes of one server and one store that both deployments share. An endpoint has
// four accelerators (design 1.4: 3,300 in 830 servers).
const (
	slots              = 64        // 5,100 requests/s of 275 tokens at 32 ms keep 54 busy on each of 830 servers
	prefillRate        = 20_000    // tokens per second
	decodeMs           = 25        // leaves room below the 32 ms of design 1.4
	engineTokens       = 1_500_000 // 100 GB of four 80 GB accelerators; weights and running sequences take the rest
	kvBytesPerToken    = 65_536
	weightLoadMs       = 800 // "under a second", design 1
	storeMemory        = 512 << 30
	storeDisk          = 16 << 40
	linkBytesPerSecond = 5e9 // 40 Gbit/s
	diskBytesPerSecond = 8e9
)

// span is a range of tokens, drawn evenly.
type span struct{ lo, hi int }

// kind is one sort of work.
type kind struct {
	name       string
	priority   string
	share      float64 // of the sessions
	context    span    // tokens of a prior conversation
	question   span    // tokens that a turn adds
	output     span
	prior      float64 // share of the sessions that reopen a prior conversation
	more       float64 // probability of another turn
	thinkMs    float64 // median time to the next turn
	deadlineMs int64
}

// profile is the work of one deployment.
type profile struct {
	deployment Deployment
	rate       float64 // sessions per second
	lengthMs   float64
	kinds      []kind
}

// Deadlines of the kinds: a truck waits at the barrier; a clerk waits for an
// answer or gives up on a letter.
const (
	barrierDeadlineMs = 4_000
	clerkDeadlineMs   = 20_000
	letterDeadlineMs  = 120_000
)

func gujWest() profile {
	d := sizes("guj-west", "naviq-llm", 12, 3, 2, customers)
	d.FailureDomains = []string{"guj-west-a", "guj-west-b", "guj-west-c"}
	d.Stores, d.HopMs, d.ClientMs = []string{"prompt-vault-a", "prompt-vault-b"}, 1, 3
	return profile{deployment: d, rate: 20, lengthMs: lengthMs, kinds: []kind{
		{"toll booth question", Interactive, 0.45, span{2000, 4000}, span{40, 90}, span{6, 20}, 0.85, 0.35, 90_000, barrierDeadlineMs},
		{"clerk question", Interactive, 0.35, span{2000, 7000}, span{80, 300}, span{120, 260}, 0.75, 0.55, 60_000, clerkDeadlineMs},
		{"dispute draft", Standard, 0.20, span{6000, 16_000}, span{200, 900}, span{400, 700}, 0.75, 0.5, 120_000, letterDeadlineMs},
	}}
}

func gtCentral() profile {
	d := sizes("gt-central", "redactor", 18, 4, 3, customers)
	d.FailureDomains = []string{"zona-mixco", "zona-villa", "zona-petapa", "zona-chinautla"}
	d.Stores, d.HopMs, d.ClientMs = []string{"memoria-a", "memoria-b"}, 1.5, 1
	return profile{deployment: d, rate: 28, lengthMs: lengthMs, kinds: []kind{
		{"tone check", Interactive, 0.45, span{600, 2500}, span{100, 600}, span{20, 50}, 0.6, 0.6, 40_000, clerkDeadlineMs},
		{"lookup", Interactive, 0.30, span{1500, 3000}, span{40, 120}, span{40, 90}, 0.8, 0.5, 60_000, clerkDeadlineMs},
		{"letter", Standard, 0.15, span{8000, 20_000}, span{300, 1200}, span{700, 1300}, 0.8, 0.4, 120_000, letterDeadlineMs},
		{"letter overnight", Batch, 0.10, span{8000, 24_000}, span{300, 1200}, span{900, 1500}, 0.8, 0.2, 120_000, 5 * letterDeadlineMs},
	}}
}

// Sizes of design section 1.4. Links to stores grow with the servers, as at
// guj-west. All servers run one model, which is the hardest case for a decision.
const (
	targetEndpoints = 830
	targetEntries   = 24
	targetDomains   = 12
	targetCustomers = 2900
	targetRate      = 5100
	targetStores    = targetEndpoints / 6
	targetLengthMs  = 9 * secondMs
	targetWarmupMs  = 3 * secondMs
)

// target is a short peak at the size of design section 1.4, with the work of
// guj-west. It is too short for a conversation to return twice.
func target() profile {
	p := gujWest()
	d := sizes("target", "naviq-llm", targetEndpoints, targetEntries, 2, targetCustomers)
	d.HopMs, d.ClientMs, d.WarmupMs = p.deployment.HopMs, p.deployment.ClientMs, targetWarmupMs
	for i := range targetDomains {
		d.FailureDomains = append(d.FailureDomains, fmt.Sprintf("domain-%02d", i))
	}
	for i := range targetStores {
		d.Stores = append(d.Stores, fmt.Sprintf("store-%03d", i))
	}
	return profile{deployment: d, rate: targetRate, lengthMs: targetLengthMs, kinds: p.kinds}
}

// targetShares makes a few large customers among many: the largest has 1% of the
// load, 30 times an even share.
func targetShares() []float64 {
	shares, sum := make([]float64, targetCustomers), 0.0
	for i := range shares {
		shares[i] = 1 / math.Pow(float64(i+targetHead), targetSkew)
		sum += shares[i]
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}

const (
	targetHead = 10
	targetSkew = 0.8
)

func sizes(name, model string, endpoints, entries, maxLoading, customers int) Deployment {
	d := Deployment{
		Name: name, Model: model, Endpoints: endpoints, Entries: entries, MaxLoading: maxLoading,
		Slots: slots, PrefillRate: prefillRate, DecodeMs: decodeMs, EngineTokens: engineTokens,
		KVBytesPerToken: kvBytesPerToken, WeightLoadMs: weightLoadMs, StoreMemoryBytes: storeMemory,
		StoreDiskBytes: storeDisk, LinkBytesPerSec: linkBytesPerSecond, DiskBytesPerSec: diskBytesPerSecond, WarmupMs: warmupMs,
	}
	for i := range customers {
		d.Customers = append(d.Customers, fmt.Sprintf("customer-%d", i))
	}
	return d
}

// customers and their shares: a few large ones among ten (design 1).
const customers = 10

var customerShares = []float64{0.24, 0.18, 0.14, 0.08, 0.07, 0.07, 0.06, 0.06, 0.05, 0.05}

// evenShares is for the traces with one customer at ten times its share.
var evenShares = []float64{0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1}

const heavyFactor = 10 // design 14

const secondMs = 1000.0

// Times within a trace.
const (
	lengthMs  = 600 * secondMs
	warmupMs  = 120 * secondMs
	faultAtMs = 240 * secondMs
	faultMs   = 120 * secondMs
	burstMs   = 20 * secondMs
	burstGap  = 100 * secondMs
	burstRate = 2.5
)

// Spec says how a trace is generated.
type Spec struct {
	Name    string
	Base    string // the undisturbed trace that it is compared with
	Faults  []Fault
	seed    uint64
	profile func() profile
	shares  []float64
	heavy   bool // customer 0 sends ten times its share
	bursts  bool
}

// Heavy tells whether one customer sends ten times its share.
func (s Spec) Heavy() bool { return s.heavy }

// brownouts are the failures that are replayed each and two at once.
func brownouts(d Deployment) []Fault {
	all := []Fault{
		{Kind: StoreLost, Target: d.Stores[0]},
		{Kind: LinkSlow, Target: d.Stores[1], Factor: 0.1},
		{Kind: DomainLost, Target: d.FailureDomains[0]},
		{Kind: EntriesLost, Factor: 0.5},
		{Kind: EntriesSlow, Factor: 0.5},
	}
	for i := range all {
		all[i].AtMs, all[i].ForMs = faultAtMs, faultMs
	}
	return all
}

// Seeds of the generated traces.
const (
	seedGuj    = 20_261
	seedGt     = 20_262
	seedTarget = 20_263
)

// Specs lists the traces of make measure.
func Specs() []Spec {
	var specs []Spec
	for _, d := range []struct {
		seed    uint64
		profile func() profile
	}{{seedGuj, gujWest}, {seedGt, gtCentral}} {
		s := Spec{seed: d.seed, profile: d.profile, shares: customerShares}
		name := d.profile().deployment.Name
		add := func(suffix string, change func(*Spec)) {
			c := s
			c.Name = name + "-" + suffix
			if change != nil {
				change(&c)
			}
			specs = append(specs, c)
		}
		base := name + "-returning"
		add("returning", nil)
		add("bursts", func(c *Spec) { c.bursts = true })
		add("rollout", func(c *Spec) { c.Faults, c.Base = []Fault{{Kind: WeightRollout, AtMs: faultAtMs}}, base })
		add("even", func(c *Spec) { c.shares = evenShares })
		add("heavy", func(c *Spec) { c.shares, c.heavy, c.Base = evenShares, true, name+"-even" })
		all := brownouts(d.profile().deployment)
		for i, f := range all {
			add(string(f.Kind), func(c *Spec) { c.Faults, c.Base = []Fault{f}, base })
			for _, g := range all[i+1:] {
				if name == gujWest().deployment.Name { // pairs at the smaller deployment, where each fault weighs more
					add(string(f.Kind)+"+"+string(g.Kind), func(c *Spec) { c.Faults, c.Base = []Fault{f, g}, base })
				}
			}
		}
	}
	return append(specs, Spec{Name: "target-peak", seed: seedTarget, profile: target, shares: targetShares()})
}

// Find returns the spec of the name.
func Find(name string) (Spec, error) {
	for _, s := range Specs() {
		if s.Name == name {
			return s, nil
		}
	}
	return Spec{}, fmt.Errorf("no trace is called %q; gentrace --list names them", name)
}

// logNormal spread of think times: two thirds lie within a factor e of the median.
const thinkSpread = 1.0

func think(median, normal float64) float64 { return median * math.Exp(thinkSpread*normal) }
