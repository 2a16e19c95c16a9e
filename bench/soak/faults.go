package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/galenaweir/galenaweir/bench/local"
	"github.com/galenaweir/galenaweir/standin/engine"
	"github.com/galenaweir/galenaweir/standin/logsvc"
	"github.com/galenaweir/galenaweir/standin/service"
	"github.com/galenaweir/galenaweir/standin/store"
	"github.com/galenaweir/galenaweir/wait"
)

// Names of the processes.
func agentName(i int) string  { return fmt.Sprintf("agent-%d", i) }
func entryName(i int) string  { return fmt.Sprintf("entry-%d", i) }
func engineName(i int) string { return fmt.Sprintf("engine-%d", i) }
func storeName(i int) string  { return fmt.Sprintf("prompt-vault-%c", 'a'+i) }

// Sizes of the faults.
const (
	slowLog          = 300 * time.Millisecond
	lateBy           = 700 * time.Millisecond
	logFaultCount    = 12 // appends
	streamFaultCount = 8
	cutAfterFrames   = 7
	storeFaultCount  = 6
	slowStoreRate    = 64 << 10 // bytes per second
	behindPayments   = 3
	domains          = 3
	drainLimit       = 15 * time.Second
)

// injector switches faults on and off.
type injector struct {
	d   *local.Deployment
	rec *record
}

func (j *injector) post(ctx context.Context, address string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/faults", bytes.NewReader(b))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("faults of %s: status %d", address, resp.StatusCode)
	}
	return nil
}

// Limits of a stand-in that was restarted just before.
const (
	restartWait  = 5 * time.Second // until it listens, on a busy machine
	restartPause = 20 * time.Millisecond
)

// switchOff ends a fault of a stand-in, which may be starting again.
func (j *injector) switchOff(ctx context.Context, address string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, restartWait)
	defer cancel()
	for {
		err := j.post(ctx, address, v)
		if !errors.Is(err, syscall.ECONNREFUSED) || !wait.For(ctx, restartPause) {
			return err
		}
	}
}

// inject begins a fault and returns what heals it.
func (j *injector) inject(ctx context.Context, f Fault, hold time.Duration) (heal func() error, what string, err error) {
	d := j.d
	agent, entry := agentName(f.Target%len(d.Engines)), entryName(f.Target%len(d.CallerAddress))
	switch f.Kind {
	case AgentKilled:
		heal, err = j.kill(agent)
		return heal, agent, err
	case EntryKilled:
		heal, err = j.kill(entry)
		return heal, entry, err
	case AgentPaused:
		return j.pause(agent), agent, nil
	case EntryPaused:
		j.rec.pauseEntry(f.Target%len(d.CallerAddress), hold+patience)
		return j.pause(entry), entry, nil
	case AgentStopped:
		return j.stop(agent), agent, nil
	case EntryStopped:
		return j.stop(entry), entry, nil
	case DomainLost:
		names := j.domain(f.Target % domains)
		heal, err = j.kill(names...)
		return heal, fmt.Sprint(names), err
	case StoreKilled:
		name := storeName(f.Target % len(d.Stores))
		heal, err = j.kill(name)
		return heal, name, err
	case ForwarderSilent:
		i := f.Target % len(d.ToEngine)
		d.ToEngine[i].Blackhole(true, true)
		return func() error { return nil }, engineName(i), nil
	}
	return j.standin(ctx, f)
}

// standin switches a fault of a stand-in.
func (j *injector) standin(ctx context.Context, f Fault) (func() error, string, error) {
	d := j.d
	type change struct {
		address   string
		on, off   any
		component string
	}
	logFault := func(x logsvc.Faults) change { return change{d.LogAddress, x, logsvc.Faults{}, "log"} }
	engineFault := func(x engine.Faults) change {
		i := f.Target % len(d.Engines)
		return change{d.Engines[i], x, engine.Faults{}, engineName(i)}
	}
	storeFault := func(x store.Faults) change {
		i := f.Target % len(d.Stores)
		return change{d.Stores[i], x, store.Faults{}, storeName(i)}
	}
	serviceFault := func(x service.Faults) change {
		i := f.Target % len(d.ServiceAddrs)
		return change{d.ServiceAddrs[i], x, service.Faults{}, fmt.Sprintf("levy-%d", i)}
	}
	type outage struct {
		Outage bool `json:"outage"`
	}
	var c change
	switch f.Kind {
	case LogOutage:
		c = logFault(logsvc.Faults{Outage: true})
	case LogSlow:
		c = logFault(logsvc.Faults{DelayMs: slowLog.Milliseconds()})
	case LogLoses:
		c = logFault(logsvc.Faults{LoseResponses: logFaultCount})
	case LogLate:
		c = logFault(logsvc.Faults{DelayedAppends: logFaultCount, DelayedByMs: lateBy.Milliseconds()})
	case LogHangs:
		c = logFault(logsvc.Faults{HangResponses: logFaultCount})
	case HostListOutage:
		c = change{d.HostAddress, outage{true}, outage{}, "host list"}
	case StoreFaulty:
		c = storeFault(store.Faults{FlipBits: storeFaultCount, CrashWrites: storeFaultCount, CrashReads: storeFaultCount, ReuseInReads: storeFaultCount})
	case StoreFull:
		c = storeFault(store.Faults{RejectAllocations: true, LinkBytesPerSecond: slowStoreRate})
	case EngineDown:
		c = engineFault(engine.Faults{Down: true})
	case EngineSilent:
		c = engineFault(engine.Faults{SilentStreams: streamFaultCount})
	case EngineCuts:
		c = engineFault(engine.Faults{CutAfterFrames: cutAfterFrames})
	case ServiceCuts:
		c = serviceFault(service.Faults{CutAfterPayment: true})
	case ServiceHangs:
		c = serviceFault(service.Faults{HangAfterPayment: true})
	case ServiceBehind:
		c = serviceFault(service.Faults{StaleBy: behindPayments})
	default:
		return nil, "", fmt.Errorf("no fault %q", f.Kind)
	}
	if err := j.post(ctx, c.address, c.on); err != nil {
		return nil, "", err
	}
	return func() error { return j.switchOff(ctx, c.address, c.off) }, c.component, nil
}

func (j *injector) kill(names ...string) (func() error, error) {
	for _, n := range names {
		j.d.Processes[n].Kill()
	}
	return func() error {
		var errs []error
		for _, n := range names {
			errs = append(errs, j.d.Processes[n].Restart())
		}
		return errors.Join(errs...)
	}, nil
}

func (j *injector) pause(name string) func() error {
	p := j.d.Processes[name]
	p.Signal(syscall.SIGSTOP)
	return func() error {
		p.Signal(syscall.SIGCONT)
		return nil
	}
}

// stop stops a process as planned and starts it again once it has ended.
func (j *injector) stop(name string) func() error {
	p := j.d.Processes[name]
	s := plannedStop{name: name, clean: j.rec.healedAt(), stopped: time.Now()}
	p.Signal(syscall.SIGTERM)
	return func() error {
		ended := p.Wait(drainLimit)
		s.to = time.Now()
		j.rec.plan(s)
		if !ended {
			j.rec.violate("%s did not end within %s of SIGTERM", name, drainLimit)
			p.Kill()
		} else if c := p.ExitCode(); c != 0 {
			j.rec.violate("%s ended with code %d after SIGTERM", name, c)
		}
		return p.Restart()
	}
}

// domain returns the processes of a failure domain. The log, the host list and
// the service belong to the platform.
func (j *injector) domain(k int) []string {
	var names []string
	add := func(n int, name func(int) string) {
		for i := k; i < n; i += domains {
			names = append(names, name(i))
		}
	}
	add(len(j.d.Engines), agentName)
	add(len(j.d.CallerAddress), entryName)
	add(len(j.d.Engines), engineName)
	add(len(j.d.Stores), storeName)
	return names
}
