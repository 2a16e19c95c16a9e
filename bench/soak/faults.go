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

// Process names.
func agentName(i int) string  { return fmt.Sprintf("agent-%d", i) }
func entryName(i int) string  { return fmt.Sprintf("entry-%d", i) }
func engineName(i int) string { return fmt.Sprintf("engine-%d", i) }
func storeName(i int) string  { return fmt.Sprintf("prompt-vault-%c", 'a'+i) }

// Parameters of the faults.
const (
	logDelay           = 300 * time.Millisecond
	appendDelay        = 700 * time.Millisecond
	logFaultCount      = 12 // number of affected appends
	streamFaultCount   = 8
	cutAfterFrames     = 7
	storeFaultCount    = 6
	slowStoreRate      = 64 << 10 // bytes per second
	replicaLagPayments = 3
	domainCount        = 3
	drainTimeout       = 15 * time.Second
)

// injector injects and clears faults.
type injector struct {
	d   *local.Deployment
	rec *recorder
}

func (j *injector) postFaults(ctx context.Context, address string, v any) error {
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
		return fmt.Errorf("set faults of %s: status %d", address, resp.StatusCode)
	}
	return nil
}

// Waiting times for a stand-in that has just been restarted.
const (
	restartTimeout       = 5 * time.Second // time until it listens, on a busy host
	restartRetryInterval = 20 * time.Millisecond
)

// clearFaults clears the faults of a stand-in. It retries while a restarting stand-in
// does not listen yet.
func (j *injector) clearFaults(ctx context.Context, address string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, restartTimeout)
	defer cancel()
	for {
		err := j.postFaults(ctx, address, v)
		if !errors.Is(err, syscall.ECONNREFUSED) || !wait.For(ctx, restartRetryInterval) {
			return err
		}
	}
}

// inject injects a fault; it returns a function that heals it, and the affected
// component.
func (j *injector) inject(ctx context.Context, f Fault, duration time.Duration) (heal func() error, what string, err error) {
	d := j.d
	agent, entry := agentName(f.Target%len(d.EngineAddresses)), entryName(f.Target%len(d.CallerAddresses))
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
		j.rec.pauseEntry(f.Target%len(d.CallerAddresses), duration+clientGracePeriod)
		return j.pause(entry), entry, nil
	case AgentStopped:
		return j.stopGracefully(agent), agent, nil
	case EntryStopped:
		return j.stopGracefully(entry), entry, nil
	case DomainKilled:
		names := j.domainProcesses(f.Target % domainCount)
		heal, err = j.kill(names...)
		return heal, fmt.Sprint(names), err
	case StoreKilled:
		name := storeName(f.Target % len(d.StoreAddresses))
		heal, err = j.kill(name)
		return heal, name, err
	case EngineConnectionsSilent:
		i := f.Target % len(d.Forwarders)
		d.Forwarders[i].Blackhole(true, true)
		return func() error { return nil }, engineName(i), nil // new connections work without healing
	}
	return j.injectStandIn(ctx, f)
}

// injectStandIn injects a fault through the fault API of a stand-in.
func (j *injector) injectStandIn(ctx context.Context, f Fault) (func() error, string, error) {
	d := j.d
	type faultSwitch struct {
		address   string
		on, off   any
		component string
	}
	logFault := func(x logsvc.Faults) faultSwitch { return faultSwitch{d.LogAddress, x, logsvc.Faults{}, "log"} }
	engineFault := func(x engine.Faults) faultSwitch {
		i := f.Target % len(d.EngineAddresses)
		return faultSwitch{d.EngineAddresses[i], x, engine.Faults{}, engineName(i)}
	}
	storeFault := func(x store.Faults) faultSwitch {
		i := f.Target % len(d.StoreAddresses)
		return faultSwitch{d.StoreAddresses[i], x, store.Faults{}, storeName(i)}
	}
	serviceFault := func(x service.Faults) faultSwitch {
		i := f.Target % len(d.ServiceAddresses)
		return faultSwitch{d.ServiceAddresses[i], x, service.Faults{}, fmt.Sprintf("levy-%d", i)}
	}
	type outage struct {
		Outage bool `json:"outage"`
	}
	var c faultSwitch
	switch f.Kind {
	case LogOutage:
		c = logFault(logsvc.Faults{Outage: true})
	case LogSlow:
		c = logFault(logsvc.Faults{DelayMs: logDelay.Milliseconds()})
	case LogAnswersLost:
		c = logFault(logsvc.Faults{LoseResponses: logFaultCount})
	case LogAppendsLate:
		c = logFault(logsvc.Faults{DelayedAppends: logFaultCount, DelayedByMs: appendDelay.Milliseconds()})
	case LogAnswersHang:
		c = logFault(logsvc.Faults{HangResponses: logFaultCount})
	case HostListOutage:
		c = faultSwitch{d.HostListAddress, outage{true}, outage{}, "host list"}
	case StoreFaulty:
		c = storeFault(store.Faults{FlipBits: storeFaultCount, CrashWrites: storeFaultCount, CrashReads: storeFaultCount, ReuseInReads: storeFaultCount})
	case StoreFull:
		c = storeFault(store.Faults{RejectAllocations: true, LinkBytesPerSecond: slowStoreRate})
	case EngineDown:
		c = engineFault(engine.Faults{Down: true})
	case EngineStreamsSilent:
		c = engineFault(engine.Faults{SilentStreams: streamFaultCount})
	case EngineStreamsCut:
		c = engineFault(engine.Faults{CutAfterFrames: cutAfterFrames})
	case ServiceCutsAfterEffect:
		c = serviceFault(service.Faults{CutAfterPayment: true})
	case ServiceHangsAfterEffect:
		c = serviceFault(service.Faults{HangAfterPayment: true})
	case ServiceReplicaStale:
		c = serviceFault(service.Faults{StaleBy: replicaLagPayments})
	default:
		return nil, "", fmt.Errorf("unknown fault %q", f.Kind)
	}
	if err := j.postFaults(ctx, c.address, c.on); err != nil {
		return nil, "", err
	}
	return func() error { return j.clearFaults(ctx, c.address, c.off) }, c.component, nil
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

// stopGracefully sends SIGTERM to a process; the returned function restarts it after it
// has ended.
func (j *injector) stopGracefully(name string) func() error {
	p := j.d.Processes[name]
	s := gracefulStop{name: name, healed: j.rec.healedAt(), signaled: time.Now()}
	p.Signal(syscall.SIGTERM)
	return func() error {
		ended := p.Wait(drainTimeout)
		s.ended = time.Now()
		j.rec.addGracefulStop(s)
		if !ended {
			j.rec.addViolation("%s did not end within %s of SIGTERM", name, drainTimeout)
			p.Kill()
		} else if c := p.ExitCode(); c != 0 {
			j.rec.addViolation("%s ended with code %d after SIGTERM", name, c)
		}
		return p.Restart()
	}
}

// domainProcesses returns the processes of failure domain k. The log, the host list and
// the service belong to the platform and keep running.
func (j *injector) domainProcesses(k int) []string {
	var names []string
	add := func(n int, name func(int) string) {
		for i := k; i < n; i += domainCount {
			names = append(names, name(i))
		}
	}
	add(len(j.d.EngineAddresses), agentName)
	add(len(j.d.CallerAddresses), entryName)
	add(len(j.d.EngineAddresses), engineName)
	add(len(j.d.StoreAddresses), storeName)
	return names
}
