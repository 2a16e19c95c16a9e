package claimsvc_test

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/claimsvc"
	"github.com/galenaweir/galenaweir/core/claims"
	"github.com/galenaweir/galenaweir/node"
	"github.com/galenaweir/galenaweir/rpc"
	standinlog "github.com/galenaweir/galenaweir/standin/logsvc"
	"github.com/galenaweir/galenaweir/standin/service"
)

// sendUntilRun repeats a request with the same key as long as it is rejected as not
// run and retryable.
func (d *deployment) sendUntilRun(r request) (a answer) {
	for d.t.Context().Err() == nil {
		if a = d.send(r); a.err.Ran != "not_run" || !a.err.Retryable {
			break
		}
	}
	return a
}

// TestRepeats guards against a repeat that runs again or gets a different answer, and
// against keys that are accepted for another body or customer or outside their window.
func TestRepeats(t *testing.T) {
	d := newDeployment(t, 3)
	key := newKey(t)
	first := d.send(request{key: key, body: payment("p1")})
	require.Equal(t, 200, first.status, first.body)
	repeat := d.send(request{entry: 1, key: key, body: payment("p1")})
	require.Equal(t, first.body, repeat.body)
	require.Equal(t, "true", repeat.header.Get("Galenaweir-Replayed"))
	for _, path := range []string{"/v1/outcomes/" + key, "/v1/requests/" + first.header.Get("Galenaweir-Request")} {
		found := d.send(request{entry: 1, method: "GET", path: path})
		require.Contains(t, found.body, `"state":"settled"`)
		require.Equal(t, "not_found", d.send(request{customer: "kutch", method: "GET", path: path}).err.Type)
	}
	reused := d.send(request{key: key, body: payment("p2")})
	require.Equal(t, []string{"key_reused", "ran"}, []string{reused.err.Type, reused.err.Ran})
	require.Equal(t, 200, d.send(request{customer: "kutch", key: key, body: payment("p3")}).status, "keys are separate for each customer")
	for name, bad := range map[string]struct{ key, kind string }{
		"none": {"", "invalid_key"}, "version 4": {uuid.NewString(), "invalid_key"},
		"too old": {keyWithOffset(-25 * time.Hour), "key_expired"}, "too far ahead": {keyWithOffset(time.Hour), "key_expired"},
	} {
		a := d.send(request{key: bad.key, body: payment("bad")})
		require.Equal(t, []string{bad.kind, "not_run"}, []string{a.err.Type, a.err.Ran}, name)
	}
	for ref, n := range map[string]int{"p1": 1, "p2": 0, "p3": 1, "bad": 0} {
		require.Equal(t, n, d.ledger.EffectCount(ref), ref)
	}
	largeKey, path := newKey(t), "/v1/services/"+testService+"/echo"
	require.Equal(t, 200, d.send(request{key: largeKey, path: path, body: strings.Repeat("x", 2000)}).status)
	require.Equal(t, "answer_not_kept", d.send(request{key: largeKey, path: path, body: strings.Repeat("x", 2000)}).err.Type)
	a := d.send(request{method: "GET", path: "/v1/services/" + testService + "/balances/%2e%2e/payments"})
	require.Equal(t, 400, a.status, "the service could resolve the path differently from the rule match: "+a.body)
}

func keyWithOffset(d time.Duration) string {
	u := uuid.Must(uuid.NewV7())
	ms := time.Now().Add(d).UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (8 * (5 - i)))
	}
	return u.String()
}

// TestConcurrentRequestsWithSameKey guards against two effects when several entries
// receive the same key concurrently.
func TestConcurrentRequestsWithSameKey(t *testing.T) {
	d := newDeployment(t, 3)
	key := newKey(t)
	answers := make([]answer, 12)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() { answers[i] = d.send(request{entry: i % 2, key: key, body: payment("p")}) })
	}
	wg.Wait()
	for _, a := range answers {
		require.Equal(t, 200, a.status, a.body)
		require.Equal(t, answers[0].body, a.body)
	}
	require.Equal(t, 1, d.ledger.EffectCount("p"))
}

// TestRepeatWaitsForRunningRequest guards against a repeat that treats a request that
// is still running as lost.
func TestRepeatWaitsForRunningRequest(t *testing.T) {
	d := newDeployment(t, 2)
	var arrived [2]chan struct{}
	var release [2]func()
	for i := range arrived {
		arrived[i], release[i] = d.blockReplica(i)
	}
	r := request{key: newKey(t), body: payment("p")}
	first := make(chan answer, 1)
	go func() { first <- d.send(r) }()
	select {
	case <-arrived[0]:
	case <-arrived[1]:
	}
	repeat := r
	repeat.entry, repeat.deadline = 1, 200*time.Millisecond
	a := d.send(repeat)
	require.Equal(t, []string{"deadline_exceeded", "unknown"}, []string{a.err.Type, a.err.Ran}, a.body)
	release[0]()
	release[1]()
	repeat.deadline = 0
	require.Equal(t, (<-first).body, d.send(repeat).body)
	require.Equal(t, 1, d.ledger.EffectCount("p"))
}

// TestLogFaults guards against a second effect, or a false not_run, when the log's
// answer is lost or hangs, or the append takes effect late.
func TestLogFaults(t *testing.T) {
	for name, f := range map[string]standinlog.Faults{
		"answers lost":     {LoseResponses: 2},
		"answer hangs":     {HangResponses: 1},
		"append late":      {DelayedAppends: 1, DelayedByMs: 1},
		"append very late": {DelayedAppends: 1, DelayedByMs: 100},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, 3)
			d.log.SetFaults(f)
			key := newKey(t)
			a := d.sendUntilRun(request{key: key, body: payment("p")})
			require.Equal(t, 200, a.status, a.body)
			require.Equal(t, a.body, d.sendUntilRun(request{entry: 1, key: key, body: payment("p")}).body)
			require.Equal(t, 1, d.ledger.EffectCount("p"))
		})
	}
}

// TestLogUnavailable guards against payments without a claim, repeats that aren't told
// that the request ran, and reads that fail, while the log is unavailable.
func TestLogUnavailable(t *testing.T) {
	d := newDeployment(t, 3)
	before := request{key: newKey(t), body: payment("before")}
	first := d.send(before)
	require.Equal(t, 200, first.status)
	require.Equal(t, first.body, d.send(before).body, "the outcome is recorded")
	d.log.SetFaults(standinlog.Faults{Outage: true})
	for _, r := range []request{before, {method: "GET", path: "/v1/outcomes/" + before.key}} {
		a := d.send(r)
		require.Equal(t, []string{"log_unavailable", "ran"}, []string{a.err.Type, a.err.Ran}, a.body)
		require.True(t, a.err.Retryable)
	}
	reused := d.send(request{key: before.key, body: payment("other")})
	require.Equal(t, []string{"key_reused", "ran"}, []string{reused.err.Type, reused.err.Ran}, reused.body)
	key := newKey(t)
	for range 5 {
		a := d.send(request{key: key, body: payment("p")})
		require.Equal(t, []string{"log_unavailable", "not_run"}, []string{a.err.Type, a.err.Ran}, a.body)
		require.NotEmpty(t, a.header.Get("Retry-After"))
	}
	a := d.send(request{method: "GET", path: "/v1/services/" + testService + "/balances/truck"})
	require.Equal(t, 200, a.status, a.body)
	require.Equal(t, "memory", a.header.Get("Galenaweir-Consistency"))
	require.Equal(t, 0, d.ledger.EffectCount("p"))
	d.log.SetFaults(standinlog.Faults{})
	require.Equal(t, 200, d.sendUntilRun(request{key: key, body: payment("p")}).status)
	require.Equal(t, 1, d.ledger.EffectCount("p"))
	require.Equal(t, 1, d.ledger.EffectCount("before"))
}

// TestServiceFaults guards against a second dispatch when the service takes effect but
// doesn't answer, and against a key that stays claimed when the service was never
// reached.
func TestServiceFaults(t *testing.T) {
	for name, f := range map[string]service.Faults{"hangs": {HangAfterPayment: true}, "cuts": {CutAfterPayment: true}} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, 2)
			for _, r := range d.replicas {
				r.SetFaults(f)
			}
			key := newKey(t)
			for i := range 2 {
				a := d.send(request{entry: i, key: key, body: payment("p")})
				require.Equal(t, []string{"outcome_unknown", "unknown"}, []string{a.err.Type, a.err.Ran}, a.body)
			}
			require.Equal(t, 1, d.ledger.EffectCount("p"))
		})
	}
	t.Run("not reached", func(t *testing.T) {
		d := newDeployment(t, 2)
		for _, s := range d.services {
			s.Close()
		}
		key := newKey(t)
		a := d.send(request{key: key, body: payment("p")})
		require.Equal(t, []string{"endpoint_failed", "not_run"}, []string{a.err.Type, a.err.Ran}, a.body)
		s := httptest.NewServer(d.replicas[0].Handler())
		defer s.Close()
		for i := range d.services {
			d.cluster.setEndpoint(i, s.Listener.Addr().String())
		}
		require.Equal(t, 200, d.sendUntilRun(request{key: key, body: payment("p")}).status, "the key was released")
		require.Equal(t, 1, d.ledger.EffectCount("p"))
	})
}

// TestExecutorDied guards against running a claimed request again after its executor
// died before the dispatch or after the effect.
func TestExecutorDied(t *testing.T) {
	for name, effects := range map[string]int{"before dispatch": 0, "after the effect": 1} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, 3)
			key, body, path := newKey(t), payment("p"), "/payments"
			at, err := claims.KeyTime(key)
			require.NoError(t, err)
			h := claims.KeyHash("vadodara", key)
			b := claims.BodyHash(testService, "POST", path, "application/json", []byte(body))
			r, err := claimsvc.NewClient(d.cluster, d.pool).Claim(context.Background(), &rpc.ClaimRequest{
				KeyHash: h[:], BodyHash: b[:], AttemptId: "left", Executor: agentID(0), ExecutorIncarnation: "dead", KeyTimeMs: at.UnixMilli(),
				Partition: claimsvc.PartitionOf(h, d.cluster.Current().Doc), ExpiresMs: at.Add(time.Hour).UnixMilli(),
			})
			require.NoError(t, err)
			require.Equal(t, rpc.ClaimReply_RESULT_GRANTED, r.Result)
			for range effects {
				resp, err := http.Post(d.services[0].URL+path, "application/json", strings.NewReader(body))
				require.NoError(t, err)
				resp.Body.Close()
			}
			a := d.send(request{key: key, body: body})
			require.Equal(t, []string{"outcome_unknown", "unknown"}, []string{a.err.Type, a.err.Ran}, a.body)
			require.Equal(t, effects, d.ledger.EffectCount("p"))
		})
	}
}

// blockReplica puts a handler in front of a replica that blocks until release is called.
func (d *deployment) blockReplica(i int) (arrived chan struct{}, release func()) {
	arrived, unblock := make(chan struct{}, 8), make(chan struct{})
	release = sync.OnceFunc(func() { close(unblock) })
	handler := d.replicas[i].Handler()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-unblock
		handler.ServeHTTP(w, r)
	}))
	d.t.Cleanup(s.Close)
	d.t.Cleanup(release) // must run before Close, which waits for the handler
	d.cluster.setEndpoint(i, s.Listener.Addr().String())
	return arrived, release
}

// TestExecutorLost guards against a second run, and a false not_run, when the entry
// loses the connection to the executor after the dispatch and tries a second one.
func TestExecutorLost(t *testing.T) {
	d := newDeployment(t, 2)
	var arrived [2]chan struct{}
	var release [2]func()
	for i := range arrived {
		arrived[i], release[i] = d.blockReplica(i)
	}
	key := newKey(t)
	done := make(chan answer)
	go func() { done <- d.send(request{key: key, body: payment("p"), deadline: time.Second}) }()
	lost := 0
	select {
	case <-arrived[0]:
	case <-arrived[1]:
		lost = 1
	}
	lostAgent := d.agents[lost]
	go lostAgent.server.Stop()
	a := <-done
	require.Equal(t, "unknown", a.err.Ran, a.body)
	require.Empty(t, arrived[1-lost], "the second executor dispatched")
	d.startAgent(lost) // restarts with a new incarnation
	a = d.send(request{entry: 1, key: key, body: payment("p")})
	require.Equal(t, []string{"outcome_unknown", "unknown"}, []string{a.err.Type, a.err.Ran}, a.body)
	release[lost]() // the lost executor was only disconnected and completes the request
	for !strings.Contains(a.body, "settled") && t.Context().Err() == nil {
		a = d.send(request{method: "GET", path: "/v1/outcomes/" + key})
	}
	require.Equal(t, 1, d.ledger.EffectCount("p"))
}

// TestPausedKeeper guards against a grant by a keeper that was paused until its
// successor had granted another attempt of the key.
func TestPausedKeeper(t *testing.T) {
	d := newDeployment(t, 3)
	key := newKey(t)
	h := claims.KeyHash("vadodara", key)
	partition := claimsvc.PartitionOf(h, d.cluster.Current().Doc)
	keeper := claimsvc.Keepers(d.cluster, partition)[0].ID
	paused, resume := make(chan struct{}, 8), make(chan struct{})
	for i, a := range d.agents {
		if agentID(i) != keeper {
			continue
		}
		a.log.mu.Lock()
		a.log.beforeAppend = func(string, []byte) { paused <- struct{}{}; <-resume }
		a.log.mu.Unlock()
	}
	first := make(chan answer)
	go func() { first <- d.send(request{key: key, body: payment("p"), deadline: 20 * time.Second}) }()
	<-paused
	d.cluster.setState(keeper, node.Suspect) // the successor takes over
	second := d.send(request{entry: 1, key: key, body: payment("p")})
	require.Equal(t, 200, second.status, second.body)
	close(resume)
	a := <-first
	if a.status != 200 { // the first attempt may have timed out waiting for its keeper
		require.Equal(t, "not_run", a.err.Ran, a.body)
		a = d.sendUntilRun(request{key: key, body: payment("p")})
	}
	require.Equal(t, second.body, a.body)
	require.Equal(t, 1, d.ledger.EffectCount("p"))
}

// TestStaleReplicas guards against a balance that goes backwards, on any replica and
// through any entry.
func TestStaleReplicas(t *testing.T) {
	d := newDeployment(t, 3)
	for i := range 3 {
		require.Equal(t, 200, d.send(request{key: newKey(t), body: payment(fmt.Sprint("p", i))}).status)
	}
	balance := request{method: "GET", path: "/v1/services/" + testService + "/balances/truck"}
	require.Equal(t, "3", d.send(balance).header.Get("Resource-Version"))
	for _, r := range d.replicas[:2] {
		r.SetFaults(service.Faults{StaleBy: 1})
	}
	for i := range 12 {
		balance.entry = i % 2
		a := d.send(balance)
		require.Equal(t, "3", a.header.Get("Resource-Version"), a.body)
	}
	d.replicas[2].SetFaults(service.Faults{StaleBy: 2})
	a := d.send(balance)
	require.Equal(t, []string{"stale_replica", "ran"}, []string{a.err.Type, a.err.Ran}, a.body)
	require.Equal(t, 200, d.send(request{customer: "kutch", method: "GET", path: balance.path}).status, "version floors are separate for each customer")
}

// TestNoHiddenRetry guards against automatic retries by the transport: net/http repeats
// a GET when a reused connection is closed.
func TestNoHiddenRetry(t *testing.T) {
	d := newDeployment(t, 1)
	var calls atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if calls.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer s.Close()
	d.cluster.setEndpoint(0, s.Listener.Addr().String())
	path := "/v1/services/" + testService + "/pay-by-get"
	require.Equal(t, 200, d.send(request{method: "GET", path: path, key: newKey(t)}).status)
	require.Equal(t, "unknown", d.send(request{method: "GET", path: path, key: newKey(t)}).err.Ran)
	require.EqualValues(t, 2, calls.Load())
}

// TestDuplicateCall guards against a second dispatch when an entry's call reaches the
// executor twice.
func TestDuplicateCall(t *testing.T) {
	d := newDeployment(t, 1)
	m, _ := d.cluster.Get(agentID(0))
	conn, err := d.pool.Get(m.Address)
	require.NoError(t, err)
	req := &rpc.CallRequest{AttemptId: "one", Customer: "vadodara", Service: testService, Endpoint: "levy-0", Method: "POST", Path: "/payments", Body: []byte(payment("p")), ContentType: "application/json", IdempotencyKey: newKey(t)}
	for i := range 2 {
		reply, err := rpc.NewAgentClient(conn).Call(t.Context(), req)
		require.NoError(t, err)
		require.Nil(t, reply.Error)
		require.Equal(t, i > 0, reply.Replayed)
	}
	require.Equal(t, 1, d.ledger.EffectCount("p"))
}

// TestRepeatAfterKeepersLostClaim guards against a repeat that is answered with not_run
// although the request took effect, while no keeper knows the claim: they were restarted
// and can't read the log. For the repeat through another entry, only the executor still
// knows that it dispatched a request with the key. After the executor has also been
// restarted, only the first entry knows that the outcome is unresolved.
func TestRepeatAfterKeepersLostClaim(t *testing.T) {
	d := newDeployment(t, 3)
	for _, r := range d.replicas {
		r.SetFaults(service.Faults{CutAfterPayment: true})
	}
	doc := d.cluster.Current().Doc
	key, executor := "", ""
	for executor == "" { // the executor must not be a keeper, which would know the claim itself
		key = newKey(t)
		first := claimsvc.RankIDs("vadodara "+key, slices.Sorted(maps.Keys(doc.Endpoints)), 1)[0]
		keepers := claimsvc.Keepers(d.cluster, claimsvc.PartitionOf(claims.KeyHash("vadodara", key), doc))
		if a := doc.Endpoints[first].Agent; keepers[0].ID != a && keepers[1].ID != a {
			executor = a
		}
	}
	require.Equal(t, "unknown", d.send(request{key: key, body: payment("p")}).err.Ran)
	d.log.SetFaults(standinlog.Faults{Outage: true})
	restart := func(match func(id string) bool) {
		for i := range d.agents {
			if match(agentID(i)) {
				d.agents[i].server.Stop()
				d.startAgent(i)
			}
		}
	}
	restart(func(id string) bool { return id != executor })
	require.Equal(t, "unknown", d.send(request{entry: 1, key: key, body: payment("p")}).err.Ran, "the executor dispatched an earlier request with the key")
	restart(func(id string) bool { return id == executor })
	require.Equal(t, "unknown", d.send(request{entry: 0, key: key, body: payment("p")}).err.Ran, "the key is unresolved at the entry")
	require.Equal(t, 1, d.ledger.EffectCount("p"))
}
