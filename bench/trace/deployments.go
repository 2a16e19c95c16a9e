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

// Sizes of one endpoint and one store host, which all deployments share. An endpoint
// has four accelerators (design section 1.4: 3,300 in 830 servers).
const (
	slotsPerEndpoint   = 64        // 5,100 requests/s of 275 tokens at 32 ms occupy 54 slots on each of 830 servers
	prefillRate        = 20_000    // tokens per second
	decodeMs           = 25        // leaves a margin below the 32 ms of design section 1.4
	engineTokens       = 1_500_000 // 100 GB of the memory of four 80 GB accelerators; weights and running sequences use the rest
	kvBytesPerToken    = 65_536
	weightLoadMs       = 800 // "under a second", design section 1
	storeMemoryBytes   = 512 << 30
	storeDiskBytes     = 16 << 40
	linkBytesPerSecond = 5e9 // 40 Gbit/s
	diskBytesPerSecond = 8e9
)

// tokenRange is an inclusive range from which token counts are drawn uniformly.
type tokenRange struct{ min, max int }

// requestKind describes one kind of session and its requests.
type requestKind struct {
	name                string
	priority            string
	share               float64    // share of the sessions
	contextTokens       tokenRange // size of a prior conversation
	turnTokens          tokenRange // tokens that a turn adds
	outputTokens        tokenRange
	priorShare          float64 // share of the sessions that continue a prior conversation
	nextTurnProbability float64 // probability of another turn
	medianThinkMs       float64 // median time between a response and the next turn
	deadlineMs          int64
}

// workload is a deployment and the load on it.
type workload struct {
	deployment        Deployment
	sessionsPerSecond float64
	lengthMs          float64
	kinds             []requestKind
}

// Deadlines of the requests. At a toll booth a truck waits for the response; a clerk
// waits for a response or gives up on a letter.
const (
	tollBoothDeadlineMs = 4_000
	clerkDeadlineMs     = 20_000
	letterDeadlineMs    = 120_000
)

func gujWest() workload {
	d := newDeployment("guj-west", "naviq-llm", 12, 3, 2, customerCount)
	d.FailureDomains = []string{"guj-west-a", "guj-west-b", "guj-west-c"}
	d.Stores, d.HopDelayMs, d.ClientDelayMs = []string{"prompt-vault-a", "prompt-vault-b"}, 1, 3
	return workload{deployment: d, sessionsPerSecond: 20, lengthMs: traceLengthMs, kinds: []requestKind{
		{"toll booth question", Interactive, 0.45, tokenRange{2000, 4000}, tokenRange{40, 90}, tokenRange{6, 20}, 0.85, 0.35, 90_000, tollBoothDeadlineMs},
		{"clerk question", Interactive, 0.35, tokenRange{2000, 7000}, tokenRange{80, 300}, tokenRange{120, 260}, 0.75, 0.55, 60_000, clerkDeadlineMs},
		{"dispute draft", Standard, 0.20, tokenRange{6000, 16_000}, tokenRange{200, 900}, tokenRange{400, 700}, 0.75, 0.5, 120_000, letterDeadlineMs},
	}}
}

func gtCentral() workload {
	d := newDeployment("gt-central", "redactor", 18, 4, 3, customerCount)
	d.FailureDomains = []string{"zona-mixco", "zona-villa", "zona-petapa", "zona-chinautla"}
	d.Stores, d.HopDelayMs, d.ClientDelayMs = []string{"memoria-a", "memoria-b"}, 1.5, 1
	return workload{deployment: d, sessionsPerSecond: 28, lengthMs: traceLengthMs, kinds: []requestKind{
		{"tone check", Interactive, 0.45, tokenRange{600, 2500}, tokenRange{100, 600}, tokenRange{20, 50}, 0.6, 0.6, 40_000, clerkDeadlineMs},
		{"lookup", Interactive, 0.30, tokenRange{1500, 3000}, tokenRange{40, 120}, tokenRange{40, 90}, 0.8, 0.5, 60_000, clerkDeadlineMs},
		{"letter", Standard, 0.15, tokenRange{8000, 20_000}, tokenRange{300, 1200}, tokenRange{700, 1300}, 0.8, 0.4, 120_000, letterDeadlineMs},
		{"letter overnight", Batch, 0.10, tokenRange{8000, 24_000}, tokenRange{300, 1200}, tokenRange{900, 1500}, 0.8, 0.2, 120_000, 5 * letterDeadlineMs},
	}}
}

// Sizes from design section 1.4. The number of stores, and so of their links, has
// the same ratio to the number of endpoints as in guj-west. All endpoints serve one
// model, which is the hardest case for routing, since every endpoint is a candidate.
const (
	targetEndpoints         = 830
	targetEntries           = 24
	targetDomains           = 12
	targetCustomers         = 2900
	targetSessionsPerSecond = 5100
	targetStores            = targetEndpoints / 6
	targetLengthMs          = 9 * secondMs
	targetWarmupMs          = 3 * secondMs
)

// targetPeak returns a short peak load at the size of design section 1.4, with the
// request kinds of guj-west. It is too short for a conversation to have more than
// one further turn.
func targetPeak() workload {
	p := gujWest()
	d := newDeployment("target", "naviq-llm", targetEndpoints, targetEntries, 2, targetCustomers)
	d.HopDelayMs, d.ClientDelayMs, d.WarmupMs = p.deployment.HopDelayMs, p.deployment.ClientDelayMs, targetWarmupMs
	for i := range targetDomains {
		d.FailureDomains = append(d.FailureDomains, fmt.Sprintf("domain-%02d", i))
	}
	for i := range targetStores {
		d.Stores = append(d.Stores, fmt.Sprintf("store-%03d", i))
	}
	return workload{deployment: d, sessionsPerSecond: targetSessionsPerSecond, lengthMs: targetLengthMs, kinds: p.kinds}
}

// targetShares returns shares with a few large customers among many: the largest one
// has 1% of the load, 30 times an even share.
func targetShares() []float64 {
	shares, sum := make([]float64, targetCustomers), 0.0
	for i := range shares {
		shares[i] = 1 / math.Pow(float64(i+targetRankOffset), targetZipfExponent)
		sum += shares[i]
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}

// Parameters of the Zipf distribution that targetShares returns.
const (
	targetRankOffset   = 10
	targetZipfExponent = 0.8
)

func newDeployment(name, model string, endpoints, entries, maxLoading, customers int) Deployment {
	d := Deployment{
		Name: name, Model: model, Endpoints: endpoints, Entries: entries, MaxLoading: maxLoading,
		Slots: slotsPerEndpoint, PrefillTokensPerSecond: prefillRate, DecodeMsPerToken: decodeMs, EngineKVTokens: engineTokens,
		KVBytesPerToken: kvBytesPerToken, WeightLoadMs: weightLoadMs, StoreMemoryBytes: storeMemoryBytes,
		StoreDiskBytes: storeDiskBytes, LinkBytesPerSecond: linkBytesPerSecond, DiskBytesPerSecond: diskBytesPerSecond, WarmupMs: traceWarmupMs,
	}
	for i := range customers {
		d.Customers = append(d.Customers, fmt.Sprintf("customer-%d", i))
	}
	return d
}

// Number of customers and their shares: a few large ones among ten (design section 1).
const customerCount = 10

var customerShares = []float64{0.24, 0.18, 0.14, 0.08, 0.07, 0.07, 0.06, 0.06, 0.05, 0.05}

// evenShares are the shares in the traces where one customer sends ten times its
// share, and in the traces that these are compared with.
var evenShares = []float64{0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1}

const heavyLoadFactor = 10 // design section 14

const secondMs = 1000.0

// Times and rates within a trace.
const (
	traceLengthMs   = 600 * secondMs
	traceWarmupMs   = 120 * secondMs
	faultAtMs       = 240 * secondMs
	faultDurationMs = 120 * secondMs
	burstDurationMs = 20 * secondMs
	burstIntervalMs = 100 * secondMs
	burstRateFactor = 2.5
)

// Spec specifies how a trace is generated.
type Spec struct {
	Name           string
	BaseTrace      string // name of the undisturbed trace to compare with; empty if none
	Faults         []Fault
	seed           uint64
	workload       func() workload
	customerShares []float64
	heavyCustomer  bool // whether customer 0 sends ten times its share
	bursts         bool
}

// HasHeavyCustomer reports whether one customer sends ten times its share.
func (s Spec) HasHeavyCustomer() bool { return s.heavyCustomer }

// standardFaults returns the faults that are replayed one at a time and in pairs.
func standardFaults(d Deployment) []Fault {
	faults := []Fault{
		{Kind: StoreLost, Target: d.Stores[0]},
		{Kind: LinkSlow, Target: d.Stores[1], Factor: 0.1},
		{Kind: DomainLost, Target: d.FailureDomains[0]},
		{Kind: EntriesLost, Factor: 0.5},
		{Kind: EntriesSlow, Factor: 0.5},
	}
	for i := range faults {
		faults[i].AtMs, faults[i].DurationMs = faultAtMs, faultDurationMs
	}
	return faults
}

// Seeds of the generated traces.
const (
	gujWestSeed   = 20_261
	gtCentralSeed = 20_262
	targetSeed    = 20_263
)

// Specs returns the specs of the traces that "make measure" replays.
func Specs() []Spec {
	var specs []Spec
	for _, d := range []struct {
		seed     uint64
		workload func() workload
	}{{gujWestSeed, gujWest}, {gtCentralSeed, gtCentral}} {
		common := Spec{seed: d.seed, workload: d.workload, customerShares: customerShares}
		name := d.workload().deployment.Name
		add := func(suffix string, change func(*Spec)) {
			variant := common
			variant.Name = name + "-" + suffix
			if change != nil {
				change(&variant)
			}
			specs = append(specs, variant)
		}
		base := name + "-returning"
		add("returning", nil)
		add("bursts", func(c *Spec) { c.bursts = true })
		add("rollout", func(c *Spec) { c.Faults, c.BaseTrace = []Fault{{Kind: WeightRollout, AtMs: faultAtMs}}, base })
		add("even", func(c *Spec) { c.customerShares = evenShares })
		add("heavy", func(c *Spec) { c.customerShares, c.heavyCustomer, c.BaseTrace = evenShares, true, name+"-even" })
		faults := standardFaults(d.workload().deployment)
		for i, first := range faults {
			add(string(first.Kind), func(c *Spec) { c.Faults, c.BaseTrace = []Fault{first}, base })
			for _, second := range faults[i+1:] {
				if name == gujWest().deployment.Name { // pairs only for the smaller deployment, where each fault has more effect
					add(string(first.Kind)+"+"+string(second.Kind), func(c *Spec) { c.Faults, c.BaseTrace = []Fault{first, second}, base })
				}
			}
		}
	}
	return append(specs, Spec{Name: "target-peak", seed: targetSeed, workload: targetPeak, customerShares: targetShares()})
}

// FindSpec returns the spec of the trace with the given name.
func FindSpec(name string) (Spec, error) {
	for _, s := range Specs() {
		if s.Name == name {
			return s, nil
		}
	}
	return Spec{}, fmt.Errorf("unknown trace %q; gentrace --list prints the names", name)
}

// thinkSpread is the spread of the log-normal think times: two thirds lie within a
// factor of e of the median.
const thinkSpread = 1.0

func thinkTimeMs(median, normal float64) float64 { return median * math.Exp(thinkSpread*normal) }
