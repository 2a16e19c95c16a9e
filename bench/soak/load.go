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

// Request deadlines.
const (
	promptDeadline  = 8 * time.Second
	paymentDeadline = 4 * time.Second
	lookupDeadline  = 2 * time.Second
)

// Parameters of the load.
const (
	promptWorkers      = 3 // per customer
	paymentWorkers     = 2
	lookupWorkers      = 1
	conversations      = 3 // per prompt worker
	maxTurns           = 6
	historySentences   = 200
	minTokens          = 10
	maxTokens          = 120
	maxPaymentAttempts = 4
	repeatShare        = 0.3 // share of answered payments that are sent again
	minThinkTime       = 20 * time.Millisecond
	maxThinkTime       = 120 * time.Millisecond
	maxAmount          = 1000
)

// load generates requests of several customers until its context ends.
type load struct {
	client    *client
	balancer  *balancer
	rec       *recorder
	seed      uint64
	customers []string
	workers   sync.WaitGroup

	mu           sync.Mutex
	payments     []*payment
	shownVersion map[string]int64 // newest balance version that each customer was shown
}

func newLoad(c *client, b *balancer, rec *recorder, seed uint64, customers []string) *load {
	return &load{client: c, balancer: b, rec: rec, seed: seed, customers: customers, shownVersion: map[string]int64{}}
}

// start starts the workers, each with its own random number generator.
func (l *load) start(ctx context.Context) {
	n := uint64(planStream)
	worker := func(count int, customer string, work func(ctx context.Context, r *rand.Rand, customer string, worker int)) {
		for i := range count {
			n++
			r := rand.New(rand.NewPCG(l.seed, n))
			l.workers.Go(func() { work(ctx, r, customer, i) })
		}
	}
	for _, c := range l.customers {
		worker(promptWorkers, c, l.runConversations)
		worker(paymentWorkers, c, l.runPayments)
		worker(lookupWorkers, c, l.runLookups)
	}
}

// think waits for a random think time between two requests. It returns false if the run
// has ended.
func think(ctx context.Context, r *rand.Rand) bool {
	select {
	case <-time.After(minThinkTime + time.Duration(r.Int64N(int64(maxThinkTime-minThinkTime)))):
		return true
	case <-ctx.Done():
		return false
	}
}

// sharedPrefix starts the prompts of all customers, which differ only in their ends.
// Thus an answer generated from another customer's context is detected as wrong.
var sharedPrefix = "Permit history: " + strings.Repeat("crossed checkpoint, levy paid. ", historySentences)

// runConversations sends prompts of a few conversations, which grow with each turn and
// start over after maxTurns.
func (l *load) runConversations(ctx context.Context, r *rand.Rand, customer string, worker int) {
	texts, turns := make([]string, conversations), make([]int, conversations)
	for think(ctx, r) {
		i := r.IntN(conversations)
		if turns[i]%maxTurns == 0 {
			texts[i] = fmt.Sprintf("%s\ncase %d of worker %d, file %d of %s", sharedPrefix, i, worker, turns[i], customer)
		}
		turns[i]++
		texts[i] += fmt.Sprintf("\nturn %d: %s", turns[i], strings.Repeat("what is still owed? ", 1+r.IntN(historySentences)))
		l.sendPrompt(l.balancer.pick(r), customer, texts[i], minTokens+r.IntN(maxTokens-minTokens))
	}
}

// sendPrompt sends one prompt and checks its answer. The end of the run doesn't cancel
// a request that has started.
func (l *load) sendPrompt(entry int, customer, text string, tokens int) *reply {
	x := l.client.prompt(context.Background(), entry, customer, text, tokens, promptDeadline)
	l.rec.recordReply("prompt", promptDeadline, x, x.start)
	want := engine.Output(prefix.Render([]prefix.Message{{Role: "user", Content: text}}), tokens)
	switch {
	case x.ok() && x.answerText != want:
		l.rec.addViolation("%s received a complete but wrong answer through entry-%d: got %d bytes, want %d, prefix of the expected answer: %t", customer, entry, len(x.answerText), len(want), strings.HasPrefix(want, x.answerText))
	case !strings.HasPrefix(want, x.answerText):
		l.rec.addViolation("%s received text through entry-%d that is not a prefix of the expected answer, before %s", customer, entry, x.outcome())
	}
	return x
}

// payment is one payment and the replies to its attempts. Only the goroutine that sends
// it changes it, and checkPayments reads it after the workers have ended, so it needs no
// lock.
type payment struct {
	service.Payment
	customer     string
	firstAttempt time.Time // start of the first attempt
	outcomes     []string  // "answered", or the ran value of the error, per attempt
	replies      []string  // description of each attempt, for the report
	answer       string
}

const answered = "answered"

// runPayments sends payments until the run ends, each with up to maxPaymentAttempts
// attempts. It sends some answered payments again through another entry; these must not
// take effect a second time.
func (l *load) runPayments(ctx context.Context, r *rand.Rand, customer string, _ int) {
	for think(ctx, r) {
		key, err := uuid.NewV7()
		if err != nil {
			l.rec.addViolation("cannot generate an idempotency key: %v", err)
			return
		}
		p := &payment{Payment: service.Payment{Reference: key.String(), Account: customer, Amount: 1 + r.Int64N(maxAmount)}, customer: customer}
		l.mu.Lock()
		l.payments = append(l.payments, p)
		l.mu.Unlock()
		entry := l.balancer.pick(r)
		for range maxPaymentAttempts {
			if l.sendPayment(entry, p, paymentDeadline).ok() || !think(ctx, r) {
				break
			}
			entry = l.balancer.pickOther(r, entry)
		}
		if p.answer != "" && r.Float64() < repeatShare {
			l.sendPayment(l.balancer.pickOther(r, entry), p, paymentDeadline)
		}
	}
}

// sendPayment makes one attempt to send the payment and records its outcome.
func (l *load) sendPayment(entry int, p *payment, deadline time.Duration) *reply {
	body, _ := json.Marshal(p.Payment) // can't fail for strings and numbers
	x := l.client.send(context.Background(), entry, p.customer, http.MethodPost, "/v1/services/"+local.Service+"/payments", deadline, p.Reference, body, nil)
	if p.firstAttempt.IsZero() {
		p.firstAttempt = x.start
	}
	l.rec.recordReply("payment", deadline, x, p.firstAttempt)
	p.replies = append(p.replies, fmt.Sprintf("entry-%d from %.2f s for %s: %s %s (%v)", entry, x.start.Sub(l.rec.start).Seconds(), x.end.Sub(x.start).Round(time.Millisecond), x.outcome(), x.body, x.err))
	if !x.ok() {
		outcome := x.ran
		if outcome == "" {
			outcome = "unknown" // the connection was lost without an answer
		}
		p.outcomes = append(p.outcomes, outcome)
		return x
	}
	p.outcomes = append(p.outcomes, answered)
	var b service.Balance
	if err := json.Unmarshal(x.body, &b); err != nil || b.Account != p.Account {
		l.rec.addViolation("payment %s of %s through entry-%d got an answer for another account", p.Reference, p.customer, entry)
	}
	if p.answer != "" && p.answer != string(x.body) {
		l.rec.addViolation("payment %s got two different answers, the second through entry-%d: %s and %s", p.Reference, entry, p.answer, x.body)
	}
	p.answer = string(x.body)
	return x
}

func (l *load) runLookups(ctx context.Context, r *rand.Rand, customer string, _ int) {
	for think(ctx, r) {
		l.lookup(l.balancer.pick(r), customer)
	}
}

// lookup reads the customer's balance. It must not return an older version than a
// lookup that ended before this one started. Answers that declare the weaker
// consistency are neither checked nor do they raise the required version.
func (l *load) lookup(entry int, customer string) *reply {
	l.mu.Lock()
	floor := l.shownVersion[customer]
	l.mu.Unlock()
	x := l.client.send(context.Background(), entry, customer, http.MethodGet, "/v1/services/"+local.Service+"/balances/"+customer, lookupDeadline, "", nil, nil)
	l.rec.recordReply("lookup", lookupDeadline, x, x.start)
	var b service.Balance
	if !x.ok() || x.consistency == "memory" {
		return x
	}
	if err := json.Unmarshal(x.body, &b); err != nil || b.Account != customer {
		l.rec.addViolation("lookup of %s through entry-%d got an answer for another account", customer, entry)
		return x
	}
	if b.Version < floor {
		l.rec.addViolation("%s was shown version %d of its balance and then version %d through entry-%d", customer, floor, b.Version, entry)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shownVersion[customer] = max(l.shownVersion[customer], b.Version)
	return x
}
