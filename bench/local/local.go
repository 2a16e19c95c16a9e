// Package local runs a small deployment on loopback: the stand-ins and the two
// programs as separate processes.
package local

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/hostlist"
	"github.com/galenaweir/galenaweir/settings"
	"github.com/galenaweir/galenaweir/standin/forwarder"
)

// Options sets the size of the deployment.
type Options struct {
	Bin        string // folder of the programs
	Agents     int    // each with one engine
	Entries    int
	Services   int // replicas of levy-core, at the first agents
	Stores     int // hosts for cache blocks
	EngineArgs []string
	Customers  []string
	Slots      int  // of each engine in the document; 0 for 16
	Forward    bool // put a forwarder between each agent and its engine
	// Folder holds the processes' logs and settings and is kept after Stop; when it
	// is empty, a temporary folder is used and removed.
	Folder string
}

// Names of the deployment, those of Sarathi's.
const (
	Model   = "naviq-llm"
	Service = "levy-core"
)

var failureDomains = []string{"guj-west-a", "guj-west-b", "guj-west-c"}

// Deployment is a running set of processes.
type Deployment struct {
	o   Options
	dir string

	Processes     map[string]*Process
	Document      *config.Document
	CallerAddress []string // of the entries
	Operators     map[string]string
	RPC           map[string]string
	Engines       []string
	ToEngine      []*forwarder.Forwarder // when forwarding
	ServiceAddrs  []string
	Stores        []string
	LogAddress    string
	HostAddress   string
}

// Secret returns the caller's key of a customer of the deployment.
func Secret(customer string) string {
	sum := sha256.Sum256([]byte("demo key of " + customer))
	return customer + "." + hex.EncodeToString(sum[:])
}

// Ports of the processes lie below those that Linux gives to outgoing connections
// (from 32768). One of these could take the port of a process that is down, which
// then can't listen at its restart.
const (
	firstPort    = 20_000
	endPort      = 32_768
	portAttempts = 100
)

// ownLoopback returns a loopback address made from this process's ID, so that two
// deployments don't choose the same ports. Connections of other processes have
// 127.0.0.1 as their source.
func ownLoopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>15&63, pid>>7&255, 1+pid&127)
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress() (string, error) {
	var err error
	for range portAttempts {
		var l net.Listener
		l, err = net.Listen("tcp", fmt.Sprintf("%s:%d", ownLoopback(), firstPort+rand.IntN(endPort-firstPort)))
		if err == nil {
			defer l.Close()
			return l.Addr().String(), nil
		}
	}
	return "", fmt.Errorf("find a free port: %w", err)
}

// Start starts all processes and waits until the entries are ready.
func Start(ctx context.Context, o Options) (*Deployment, error) {
	dir := o.Folder
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "galenaweir-"); err != nil {
			return nil, err
		}
	}
	d := &Deployment{o: o, dir: dir, Processes: map[string]*Process{}, Operators: map[string]string{}, RPC: map[string]string{}}
	if err := d.start(ctx); err != nil {
		d.Stop()
		return nil, err
	}
	return d, nil
}

// Stop kills all processes and removes their files, unless Options.Folder was set.
func (d *Deployment) Stop() {
	for _, p := range d.Processes {
		p.Kill()
	}
	for _, f := range d.ToEngine {
		f.Close()
	}
	if d.o.Folder == "" {
		_ = os.RemoveAll(d.dir)
	}
}

// Log returns what a process has logged so far.
func (d *Deployment) Log(name string) string {
	b, _ := os.ReadFile(filepath.Join(d.dir, name+".log"))
	return string(b)
}

func (d *Deployment) start(ctx context.Context) error {
	if err := d.allocate(); err != nil {
		return err
	}
	if err := d.standins(); err != nil {
		return err
	}
	if err := d.forward(); err != nil {
		return err
	}
	d.Document = d.document()
	if err := d.Publish(ctx, d.Document, 0); err != nil {
		return err
	}
	for i := range d.o.Agents {
		if err := d.program(agentName(i), "galenaweir-agent", failureDomains[i%len(failureDomains)], ""); err != nil {
			return err
		}
	}
	for i := range d.o.Entries {
		if err := d.program(entryName(i), "galenaweir-entry", failureDomains[i%len(failureDomains)], d.CallerAddress[i]); err != nil {
			return err
		}
	}
	return d.ready(ctx)
}

// forward puts a forwarder before each engine.
func (d *Deployment) forward() error {
	if !d.o.Forward {
		return nil
	}
	for _, a := range d.Engines {
		f, err := forwarder.New(a)
		if err != nil {
			return err
		}
		d.ToEngine = append(d.ToEngine, f)
	}
	return nil
}

func agentName(i int) string { return fmt.Sprintf("agent-%d", i) }
func entryName(i int) string { return fmt.Sprintf("entry-%d", i) }
func storeName(i int) string { return fmt.Sprintf("prompt-vault-%c", 'a'+i) }

// storeLinkBytesPerSecond is the limit of each store's link. A token's KV cache
// has 16 bytes here, so that a fetch is several times faster than the prefill.
const storeLinkBytesPerSecond = 4 << 20

// allocate chooses the addresses.
func (d *Deployment) allocate() error {
	var errs []error
	taken := map[string]bool{}
	next := func() string {
		for {
			a, err := freeAddress()
			if err != nil || !taken[a] {
				taken[a] = true
				errs = append(errs, err)
				return a
			}
		}
	}
	d.LogAddress, d.HostAddress = next(), next()
	for i := range d.o.Agents {
		d.Engines = append(d.Engines, next())
		d.RPC[agentName(i)], d.Operators[agentName(i)] = next(), next()
	}
	for range d.o.Services {
		d.ServiceAddrs = append(d.ServiceAddrs, next())
	}
	for range d.o.Stores {
		d.Stores = append(d.Stores, next())
	}
	for i := range d.o.Entries {
		d.CallerAddress = append(d.CallerAddress, next())
		d.RPC[entryName(i)], d.Operators[entryName(i)] = next(), next()
	}
	return errors.Join(errs...)
}

func (d *Deployment) standins() error {
	if _, err := d.startProcess("log", "standin", "log", "--listen", d.LogAddress); err != nil {
		return err
	}
	var hosts []hostlist.Host
	for name, addr := range d.RPC {
		role := "agent"
		if name[0] == 'e' {
			role = "entry"
		}
		hosts = append(hosts, hostlist.Host{ID: name, Role: role, Address: addr, FailureDomain: failureDomains[0], Region: "gujarat"})
	}
	b, err := json.Marshal(hosts)
	if err != nil {
		return err
	}
	file := filepath.Join(d.dir, "hosts.json")
	if err := os.WriteFile(file, b, 0o600); err != nil {
		return err
	}
	if _, err := d.startProcess("hostlist", "standin", "hostlist", "--listen", d.HostAddress, "--hosts", file); err != nil {
		return err
	}
	for i, a := range d.Engines {
		args := append([]string{"engine", "--listen", a, "--model", Model}, d.o.EngineArgs...)
		if _, err := d.startProcess(fmt.Sprintf("engine-%d", i), "standin", args...); err != nil {
			return err
		}
	}
	for i, a := range d.Stores {
		if _, err := d.startProcess(storeName(i), "standin", "store", "--listen", a, "--link", fmt.Sprint(storeLinkBytesPerSecond)); err != nil {
			return err
		}
	}
	if len(d.ServiceAddrs) == 0 {
		return nil
	}
	args := []string{"service"}
	for _, a := range d.ServiceAddrs {
		args = append(args, "--listen", a)
	}
	_, err = d.startProcess("service", "standin", args...)
	return err
}

// Publish publishes a document made from the base version, with the operators'
// command.
func (d *Deployment) Publish(ctx context.Context, doc *config.Document, base int64) error {
	b, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	file := filepath.Join(d.dir, "document.json")
	if err := os.WriteFile(file, b, 0o600); err != nil {
		return err
	}
	return waitFor(ctx, "publish the configuration", func() error {
		out, err := exec.CommandContext(ctx, filepath.Join(d.o.Bin, "galenaweir-agent"), "operator", "publish",
			"--file", file, "--log", d.LogAddress, "--base", fmt.Sprint(base)).CombinedOutput()
		if err != nil {
			return fmt.Errorf("%w: %s", err, out)
		}
		return nil
	})
}

func (d *Deployment) program(name, program, failureDomain, callers string) error {
	s := settings.Defaults()
	s.ID, s.FailureDomain, s.Region = name, failureDomain, "gujarat"
	s.RPCAddress, s.OperatorAddress, s.CallerAddress = d.RPC[name], d.Operators[name], callers
	s.LogAddress, s.HostListAddress = d.LogAddress, d.HostAddress
	s.CacheSecret = hex.EncodeToString(make([]byte, sha256.Size))
	s.DrainDelayMs = drainDelayMs
	s.TLS.Off = true
	b, err := json.Marshal(s)
	if err != nil {
		return err
	}
	file := filepath.Join(d.dir, name+".json")
	if err := os.WriteFile(file, b, 0o600); err != nil {
		return err
	}
	_, err = d.startProcess(name, program, "--config", file)
	return err
}

// Ready returns an error for the first process found that isn't ready.
func (d *Deployment) Ready(ctx context.Context) error {
	for name, addr := range d.Operators {
		if err := getOK(ctx, "http://"+addr+"/readyz"); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// WaitReady waits until every process is ready, for at most the usual limit.
func (d *Deployment) WaitReady(ctx context.Context) error { return d.ready(ctx) }

// ready waits until every process says that it is.
func (d *Deployment) ready(ctx context.Context) error {
	for name, addr := range d.Operators {
		err := waitFor(ctx, name+" to be ready", func() error { return getOK(ctx, "http://"+addr+"/readyz") })
		if err != nil {
			return fmt.Errorf("%w\n%s", err, d.Log(name))
		}
	}
	return nil
}

func getOK(ctx context.Context, url string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%s: status %d", url, resp.StatusCode)
	}
	return nil
}

const (
	drainDelayMs = 500 // there is no balancer that needs longer
	pollInterval = 50 * time.Millisecond
	readyLimit   = 20 * time.Second
)

func waitFor(ctx context.Context, what string, f func() error) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return fmt.Errorf("wait for %s: %w", what, err)
		}
	}
}
