// Command claims measures the cost of claims: the latency of a claim, the appends and
// payments per second that one partition sustains, and the memory per stored claim.
// Keeper, log stand-in and executor run in this process and communicate over loopback.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/phuslu/log"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/galenaweir/galenaweir/agent"
	"github.com/galenaweir/galenaweir/claimsvc"
	"github.com/galenaweir/galenaweir/core/claims"
	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/logsvc"
	"github.com/galenaweir/galenaweir/node"
	"github.com/galenaweir/galenaweir/rpc"
	"github.com/galenaweir/galenaweir/rpc/dial"
	standinlog "github.com/galenaweir/galenaweir/standin/logsvc"
)

type options struct {
	Rates      []int         `long:"rate" default:"1" default:"10" default:"100" default:"640" default:"1600" default:"3000" description:"payments a second"`
	Duration   time.Duration `long:"duration" default:"5s" description:"time for each rate"`
	Interval   int64         `long:"interval-ms" default:"40" description:"between two appends of the partition"`
	LogDelayMs int64         `long:"log-delay-ms" default:"5" description:"before each answer of the log"`
	Kept       int           `long:"kept" default:"200000" description:"claims for the measurement of memory"`
}

const (
	agentID     = "agent-0"
	logTimeout  = 2 * time.Second
	answerBytes = 200 // size of a payment's recorded answer
)

// static provides a fixed configuration with one partition, and a member list with one
// agent.
type static struct {
	doc     config.Document
	address string
}

func (s *static) Current() *node.ConfigState { return &node.ConfigState{Version: 1, Doc: &s.doc} }
func (s *static) Changed() <-chan struct{}   { return nil }
func (s *static) All() []node.Member {
	m, _ := s.Get(agentID)
	return []node.Member{m}
}
func (s *static) Get(id string) (node.Member, bool) {
	return node.Member{ID: agentID, Role: node.RoleAgent, Address: s.address, State: node.Live}, id == agentID
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	log.DefaultLogger.SetLevel(log.ErrorLevel)
	fmt.Printf("one partition, append interval %d ms, log answers after %d ms\n", o.Interval, o.LogDelayMs)
	fmt.Printf("%12s %10s %10s %10s %10s %12s\n", "payments/s", "granted", "failed", "p50 ms", "p99 ms", "appends/s")
	for _, rate := range o.Rates {
		if err := measure(o, rate); err != nil {
			fmt.Fprintln(os.Stderr, "measure:", err)
			os.Exit(1)
		}
	}
	bytesPerClaim, err := memoryPerClaim(o.Kept)
	if err != nil {
		fmt.Fprintln(os.Stderr, "memory:", err)
		os.Exit(1)
	}
	fmt.Printf("memory for each of %d kept claims with an answer of %d bytes: %d bytes\n", o.Kept, answerBytes, bytesPerClaim)
}

// result collects the latencies and failures of the payments sent at one rate.
type result struct {
	mu        sync.Mutex
	latencies []time.Duration
	failed    int
}

func (r *result) add(d time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.failed++
		return
	}
	r.latencies = append(r.latencies, d)
}

// measure sends payments at a fixed rate, independent of their answers (open loop), and
// prints a row.
func measure(o options, rate int) error {
	l := standinlog.New(0, time.Now)
	l.SetFaults(standinlog.Faults{DelayMs: o.LogDelayMs})
	logServer := httptest.NewServer(l.Handler())
	defer logServer.Close()
	s := &static{doc: config.Document{Claims: config.Claims{Partitions: 1, GroupIntervalMs: o.Interval}}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address = listener.Addr().String()
	keeper := claimsvc.NewService(claimsvc.Options{ID: agentID, Log: logsvc.New(logServer.Listener.Addr().String(), logTimeout), Config: s, Members: s})
	defer keeper.Close()
	server := grpc.NewServer()
	rpc.RegisterAgentServer(server, agent.New(agent.Options{ID: agentID, Config: s, Members: s, ClaimService: keeper}))
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	pool := dial.New(insecure.NewCredentials())
	defer pool.Close()
	client := claimsvc.NewClient(s, pool)
	if err := pay(client, fmt.Sprintf("warm-%d", rate), new(result)); err != nil {
		return err
	}
	before := l.Appends()
	var r result
	send(client, rate, o.Duration, &r)
	appends := float64(l.Appends()-before) / o.Duration.Seconds()
	slices.Sort(r.latencies)
	fmt.Printf("%12d %10d %10d %10.1f %10.1f %12.1f\n", rate, len(r.latencies), r.failed, percentile(r.latencies, 50), percentile(r.latencies, 99), appends)
	return nil
}

func send(client *claimsvc.Client, rate int, d time.Duration, r *result) {
	var wg sync.WaitGroup
	start := time.Now()
	for i := range int(float64(rate) * d.Seconds()) {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		wg.Go(func() { _ = pay(client, fmt.Sprintf("%d-%d", rate, i), r) })
	}
	wg.Wait()
}

var errNotGranted = errors.New("claim was not granted")

// pay claims a key and records an outcome. Only the claim's latency is measured, since
// the outcome is recorded after the caller has its answer.
func pay(client *claimsvc.Client, id string, r *result) error {
	ctx, h, now := context.Background(), claims.KeyHash("customer", id), time.Now()
	reply, err := client.Claim(ctx, &rpc.ClaimRequest{
		KeyHash: h[:], BodyHash: h[:], AttemptId: id, Executor: agentID, KeyTimeMs: now.UnixMilli(), ExpiresMs: now.Add(time.Hour).UnixMilli(),
	})
	if err == nil && reply.Result != rpc.ClaimReply_RESULT_GRANTED {
		err = fmt.Errorf("%w: %v", errNotGranted, reply.Result)
	}
	r.add(time.Since(now), err)
	if err != nil {
		return err
	}
	return client.Settle(ctx, 0, id, claims.Outcome{Status: 200, Body: make([]byte, answerBytes), BodyKept: true})
}

// percentile returns the p-th percentile of sorted durations, in milliseconds.
func percentile(sorted []time.Duration, p int) float64 {
	if len(sorted) == 0 {
		return 0
	}
	d := sorted[(len(sorted)-1)*p/100]
	return float64(d) / float64(time.Millisecond)
}

// memoryPerClaim returns the heap bytes per stored claim. The records are encoded and
// decoded like those from the log, so that claims don't share strings.
func memoryPerClaim(kept int) (uint64, error) {
	const group = claims.MaxGroupRecords / 2
	const uuidFormat = "018cc251-f400-7000-8000-%012x"
	s, before := claims.NewState(), heap()
	for o := range kept / group {
		var rs []claims.Record
		for i := range group {
			id := fmt.Sprintf(uuidFormat, o*group+i)
			c := claims.Claim{Key: claims.KeyHash("customer", id), Attempt: id, Executor: agentID, Incarnation: fmt.Sprintf(uuidFormat, 0), KeyTimeMs: 1, ExpiresMs: 2}
			rs = append(rs, claims.Record{Kind: claims.KindClaim, Attempt: id, Claim: c},
				claims.Record{Kind: claims.KindOutcome, Attempt: id, Outcome: claims.Outcome{Status: 200, ContentType: "application/json", Body: make([]byte, answerBytes), BodyKept: true}})
		}
		data, err := claimsvc.EncodeGroup(rs, agentID)
		if err != nil {
			return 0, err
		}
		s.ApplyPage(claimsvc.DecodePage(claimsvc.LogStream(0), logsvc.Page{NextOffset: int64(o) + 1, Records: []logsvc.Record{{Offset: int64(o), TimeMs: 1, Data: data}}}))
	}
	used := heap() - before
	return used / uint64(s.HeldKeyCount()), nil
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
