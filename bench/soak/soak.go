package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/galenaweir/galenaweir/bench/local"
	"github.com/galenaweir/galenaweir/standin/service"
)

// Options configures a run.
type Options struct {
	Bin    string // folder that contains the program binaries
	Folder string // folder for the processes' logs; not removed
	Seed   uint64
	Length time.Duration // time after which no further round starts
	Rounds int           // maximum number of rounds; 0 means defaultRounds
	Out    io.Writer
}

// Size of the deployment, and limits and delays of a run.
const (
	agents        = 6
	entries       = 3
	serviceCount  = 4
	storeCount    = 3
	slots         = 16
	recoveryLimit = 10 * time.Second // time until every kind of request is served again
	probeDeadline = 2 * time.Second
	probeTokens   = 10
	roundInterval = 500 * time.Millisecond
	settleTime    = 2 * time.Second // time in which a lost attempt may still take effect
	defaultRounds = 1000
	startDelay    = time.Second
	publishDelay  = 200 * time.Millisecond // time for the faults to take effect
)

var customers = []string{"vadodara-roadways", "kutch-haulage", "surat-freight", "rajkot-carriers"}

type run struct {
	o         Options
	d         *local.Deployment
	rec       *recorder
	load      *load
	watcher   *watcher
	injector  *injector
	publisher *publisher
}

// Run starts a deployment, runs load and the faults drawn from the seed, and returns a
// report.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Rounds == 0 {
		o.Rounds = defaultRounds
	}
	d, err := local.Start(ctx, local.Options{
		Bin: o.Bin, Agents: agents, Entries: entries, Services: serviceCount, Stores: storeCount,
		Customers: customers, Slots: slots, Forward: true, Folder: o.Folder,
	})
	if err != nil {
		return nil, err
	}
	defer d.Stop()
	rec, b := newRecorder(), newBalancer(d)
	r := &run{
		o: o, d: d, rec: rec, load: newLoad(newClient(d), b, rec, o.Seed, customers), watcher: newWatcher(d, rec),
		injector: &injector{d, rec}, publisher: &publisher{d: d, bin: o.Bin, folder: o.Folder, customer: customers[0], rec: rec},
	}
	var background sync.WaitGroup
	watching, stopWatching := context.WithCancel(ctx)
	background.Go(func() { b.run(watching) })
	background.Go(func() { r.watcher.run(watching) })
	loading, stopLoad := context.WithCancel(ctx)
	r.load.start(loading)
	err = r.rounds(ctx)
	stopLoad()
	r.load.workers.Wait()
	if err == nil {
		time.Sleep(settleTime)
		err = r.checkPayments(ctx)
	}
	stopWatching()
	background.Wait()
	return newReport(r), err
}

// rounds runs the rounds of the plan one after the other.
func (r *run) rounds(ctx context.Context) error {
	r.waitServing(ctx, time.Now(), "the start")
	time.Sleep(startDelay)
	for i, x := range NewPlan(r.o.Seed, r.o.Rounds) {
		if time.Since(r.rec.start) > r.o.Length || ctx.Err() != nil {
			return ctx.Err()
		}
		if err := r.round(ctx, i, x); err != nil {
			return fmt.Errorf("round %d: %w", i, err)
		}
		time.Sleep(roundInterval)
	}
	return nil
}

// round injects the faults of a round, publishes configurations meanwhile, heals the
// faults after FaultDuration and waits until the system has recovered.
func (r *run) round(ctx context.Context, i int, x Round) error {
	base := r.watcher.waitConverged(ctx, time.Now())
	if x.EvictCaches {
		r.evictCaches(ctx)
	}
	var heals []func() error
	var names []string
	for _, f := range injectionOrder(x.Faults) {
		heal, target, err := r.injector.inject(ctx, f, x.FaultDuration)
		if err != nil {
			return err
		}
		heals = append(heals, heal)
		names = append(names, fmt.Sprintf("%s (%s)", f.Kind, target))
		r.rec.mu.Lock()
		r.rec.faults[f.Kind]++
		r.rec.mu.Unlock()
	}
	description := strings.Join(names, " and ")
	fmt.Fprintf(r.o.Out, "%6.2f s: round %d: %s for %s, %d publications\n", time.Since(r.rec.start).Seconds(), i, description, x.FaultDuration.Round(time.Millisecond), x.Publications)
	faultsElapsed := time.After(x.FaultDuration)
	published := make(chan time.Time, 1)
	go func() {
		if x.Publications > 0 && base > 0 {
			time.Sleep(publishDelay)
			r.publisher.publish(ctx, x.Publications, base)
		}
		published <- time.Now()
	}()
	<-faultsElapsed
	var errs []error
	for _, h := range slices.Backward(heals) {
		errs = append(errs, h())
	}
	healed := time.Now()
	var propagating sync.WaitGroup
	propagating.Go(func() { r.watcher.waitConverged(ctx, laterOf(healed, <-published)) })
	err := errors.Join(errs...)
	if err == nil {
		r.waitServing(ctx, healed, description)
	}
	propagating.Wait()
	return err
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// waitServing waits until every process is ready and every entry has served each
// kind of request.
func (r *run) waitServing(ctx context.Context, healed time.Time, what string) {
	for {
		err := r.d.CheckReady(ctx)
		if err == nil {
			err = r.probe()
		}
		if err == nil {
			r.rec.recordRecovery(what, elapsed(healed))
			return
		}
		if elapsed(healed) > recoveryLimit || ctx.Err() != nil {
			r.rec.addViolation("%s after %s was healed, the system does not serve every kind of request: %v", elapsed(healed), what, err)
			r.rec.recordRecovery(what, elapsed(healed))
			return
		}
		time.Sleep(pollInterval)
	}
}

// probe sends a request of each kind through each entry.
func (r *run) probe() error {
	for entry := range r.d.CallerAddresses {
		c := customers[entry%len(customers)]
		if x := r.load.sendPrompt(entry, c, "probe of "+uuid.NewString(), probeTokens); !x.ok() {
			return fmt.Errorf("prompt through entry-%d: %s (%w)", entry, x.outcome(), x.err)
		}
		key, err := uuid.NewV7()
		if err != nil {
			return err
		}
		p := &payment{Payment: service.Payment{Reference: key.String(), Account: c, Amount: 1}, customer: c}
		r.load.mu.Lock()
		r.load.payments = append(r.load.payments, p)
		r.load.mu.Unlock()
		if x := r.load.sendPayment(entry, p, probeDeadline); !x.ok() {
			return fmt.Errorf("payment through entry-%d: %s %s (%w)", entry, x.outcome(), x.body, x.err)
		}
		if x := r.load.lookup(entry, c); !x.ok() {
			return fmt.Errorf("lookup through entry-%d: %s %s (%w)", entry, x.outcome(), x.body, x.err)
		}
	}
	return nil
}

// evictCaches empties the engines' caches; an engine that is down keeps its cache.
func (r *run) evictCaches(ctx context.Context) {
	for _, a := range r.d.EngineAddresses {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a+"/v1/evict", nil)
		if err != nil {
			continue
		}
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}
}

// checkPayments compares the number of effects of each payment with the answers that
// its caller received.
func (r *run) checkPayments(ctx context.Context) error {
	r.rec.checkGracefulStops()
	for _, p := range r.load.payments {
		n, err := r.effects(ctx, p.Reference)
		if err != nil {
			return err
		}
		if v := paymentVerdict(p.outcomes, n); v != "" {
			r.rec.addViolation("payment %s of %s took effect %d times: %s; its caller received %q", p.Reference, p.customer, n, v, p.replies)
		}
	}
	return nil
}

// paymentVerdict describes the error if the number of effects contradicts the outcomes
// of the payment's attempts, which are given in order. It returns "" if they agree.
func paymentVerdict(outcomes []string, effects int) string {
	seen := map[string]bool{}
	for _, outcome := range outcomes {
		seen[outcome] = true
	}
	switch {
	case effects > 1:
		return "more than once"
	case seen[answered] && effects != 1:
		return "answered without an effect"
	case !seen[answered] && len(outcomes) > 0 && outcomes[len(outcomes)-1] == "not_run" && effects != 0:
		return "refused as not_run after it took effect"
	}
	return ""
}

// effects reads the number of effects of a payment directly from the service stand-in.
func (r *run) effects(ctx context.Context, reference string) (n int, err error) {
	err = r.watcher.get(ctx, "http://"+r.d.ServiceAddresses[0]+"/effects/"+reference, &n)
	return n, err
}
