package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/galenaweir/galenaweir/bench/local"
	"github.com/galenaweir/galenaweir/core/prefix"
	"github.com/galenaweir/galenaweir/standin/engine"
	"github.com/galenaweir/galenaweir/standin/service"
)

// Deadlines of the load.
const (
	promptDeadline  = 8 * time.Second
	paymentDeadline = 4 * time.Second
	lookupDeadline  = 2 * time.Second
)

// Sizes of the load.
const (
	promptWorkers    = 3 // for each customer
	paymentWorkers   = 2
	lookupWorkers    = 1
	conversations    = 3 // of each prompt worker
	maxTurns         = 6
	historySentences = 200
	minTokens        = 10
	maxTokens        = 120
	paymentTries     = 4
	repeatShare      = 0.3 // of the answered payments are sent again
	minThink         = 20 * time.Millisecond
	maxThink         = 120 * time.Millisecond
	maxAmount        = 1000
)

// load sends requests of several customers until its context ends.
type load struct {
	c         *client
	b         *balancer
	rec       *record
	seed      uint64
	customers []string
	workers   sync.WaitGroup

	mu       sync.Mutex
	payments []*payment
	shown    map[string]int64 // version of its balance that the customer was shown
}

func newLoad(c *client, b *balancer, rec *record, seed uint64, customers []string) *load {
	return &load{c: c, b: b, rec: rec, seed: seed, customers: customers, shown: map[string]int64{}}
}

// start starts the workers; each draws from a generator of its own.
func (l *load) start(ctx context.Context) {
	n := uint64(streamOfRounds)
	worker := func(count int, customer string, work func(ctx context.Context, r *rand.Rand, customer string, worker int)) {
		for i := range count {
			n++
			r := rand.New(rand.NewPCG(l.seed, n))
			l.workers.Go(func() { work(ctx, r, customer, i) })
		}
	}
	for _, c := range l.customers {
		worker(promptWorkers, c, l.prompts)
		worker(paymentWorkers, c, l.pay)
		worker(lookupWorkers, c, l.lookups)
	}
}

// think waits between two requests; it returns false when the run ends.
func think(ctx context.Context, r *rand.Rand) bool {
	select {
	case <-time.After(minThink + time.Duration(r.Int64N(int64(maxThink-minThink)))):
		return true
	case <-ctx.Done():
		return false
	}
}

// opening is the same for all customers, so that their prompts differ only in
// their ends: an answer made from another customer's context is a wrong one.
var opening = "Permit history: " + strings.Repeat("crossed checkpoint, levy paid. ", historySentences)

// prompts lets a few conversations grow and return.
func (l *load) prompts(ctx context.Context, r *rand.Rand, customer string, worker int) {
	texts, turns := make([]string, conversations), make([]int, conversations)
	for think(ctx, r) {
		i := r.IntN(conversations)
		if turns[i]%maxTurns == 0 {
			texts[i] = fmt.Sprintf("%s\ncase %d of worker %d, file %d of %s", opening, i, worker, turns[i], customer)
		}
		turns[i]++
		texts[i] += fmt.Sprintf("\nturn %d: %s", turns[i], strings.Repeat("what is still owed? ", 1+r.IntN(historySentences)))
		l.ask(l.b.choose(r), customer, texts[i], minTokens+r.IntN(maxTokens-minTokens))
	}
}

// ask sends one prompt and checks its answer. A request that began is not
// cancelled at the end of the run.
func (l *load) ask(entry int, customer, text string, tokens int) *reply {
	x := l.c.prompt(context.Background(), entry, customer, text, tokens, promptDeadline)
	l.rec.count("prompt", promptDeadline, x, x.begun)
	want := engine.Output(prefix.Render([]prefix.Message{{Role: "user", Content: text}}), tokens)
	switch {
	case x.ok() && x.text != want:
		l.rec.violate("an answer taken as whole by %s through entry-%d differs: %d bytes, %d expected, same beginning: %t", customer, entry, len(x.text), len(want), strings.HasPrefix(want, x.text))
	case !strings.HasPrefix(want, x.text):
		l.rec.violate("%s got text through entry-%d that is not of its answer, before %s", customer, entry, x.outcome())
	}
	return x
}

// payment is one payment and what its caller was told.
type payment struct {
	service.Payment
	customer string
	first    time.Time // when its first attempt began
	words    []string  // ran of each attempt, "answered" for the service's answer
	replies  []string  // what each attempt saw, for the report
	answer   string
}

const answered = "answered"

func (l *load) pay(ctx context.Context, r *rand.Rand, customer string, _ int) {
	for think(ctx, r) {
		key, err := uuid.NewV7()
		if err != nil {
			l.rec.violate("no key: %v", err)
			return
		}
		p := &payment{Payment: service.Payment{Reference: key.String(), Account: customer, Amount: 1 + r.Int64N(maxAmount)}, customer: customer}
		l.mu.Lock()
		l.payments = append(l.payments, p)
		l.mu.Unlock()
		entry := l.b.choose(r)
		for range paymentTries {
			if l.payOnce(entry, p, paymentDeadline).ok() || !think(ctx, r) {
				break
			}
			entry = l.b.other(r, entry)
		}
		if p.answer != "" && r.Float64() < repeatShare {
			l.payOnce(l.b.other(r, entry), p, paymentDeadline)
		}
	}
}

// payOnce sends the payment once; its words are read after the workers ended.
func (l *load) payOnce(entry int, p *payment, deadline time.Duration) *reply {
	body, _ := json.Marshal(p.Payment) // strings and numbers always marshal
	x := l.c.send(context.Background(), entry, p.customer, http.MethodPost, "/v1/services/"+local.Service+"/payments", deadline, p.Reference, body, nil)
	if p.first.IsZero() {
		p.first = x.begun
	}
	l.rec.count("payment", deadline, x, p.first)
	p.replies = append(p.replies, fmt.Sprintf("entry-%d from %.2f s for %s: %s %s (%v)", entry, x.begun.Sub(l.rec.begun).Seconds(), x.ended.Sub(x.begun).Round(time.Millisecond), x.outcome(), x.body, x.err))
	if !x.ok() {
		word := x.ran
		if word == "" {
			word = "unknown" // nothing was said
		}
		p.words = append(p.words, word)
		return x
	}
	p.words = append(p.words, answered)
	var b service.Balance
	if err := json.Unmarshal(x.body, &b); err != nil || b.Account != p.Account {
		l.rec.violate("payment %s of %s through entry-%d got another's answer", p.Reference, p.customer, entry)
	}
	if p.answer != "" && p.answer != string(x.body) {
		l.rec.violate("payment %s got two different answers, the second through entry-%d: %s and %s", p.Reference, entry, p.answer, x.body)
	}
	p.answer = string(x.body)
	return x
}

func (l *load) lookups(ctx context.Context, r *rand.Rand, customer string, _ int) {
	for think(ctx, r) {
		l.lookup(l.b.choose(r), customer)
	}
}

// lookup reads the balance. A version that a lookup was shown before this one
// began must not be followed by an older one. Answers that name the weaker
// consistency neither raise the floor nor are judged by it.
func (l *load) lookup(entry int, customer string) *reply {
	l.mu.Lock()
	floor := l.shown[customer]
	l.mu.Unlock()
	x := l.c.send(context.Background(), entry, customer, http.MethodGet, "/v1/services/"+local.Service+"/balances/"+customer, lookupDeadline, "", nil, nil)
	l.rec.count("lookup", lookupDeadline, x, x.begun)
	var b service.Balance
	if !x.ok() || x.consistency == "memory" {
		return x
	}
	if err := json.Unmarshal(x.body, &b); err != nil || b.Account != customer {
		l.rec.violate("a lookup of %s through entry-%d got another's answer", customer, entry)
		return x
	}
	if b.Version < floor {
		l.rec.violate("%s was shown version %d of its balance and then version %d through entry-%d", customer, floor, b.Version, entry)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shown[customer] = max(l.shown[customer], b.Version)
	return x
}
