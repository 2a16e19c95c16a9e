// Package local runs a small deployment on loopback: the stand-ins, the agents and
// the entries run as separate processes.
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

// Options configures the deployment.
type Options struct {
	Bin        string // folder that contains the program binaries
	Agents     int    // number of agents, each with one engine
	Entries    int
	Services   int // number of levy-core replicas, attached to the first agents
	Stores     int // number of stores for cache blocks
	EngineArgs []string
	Customers  []string
	Slots      int  // slots per engine in the configuration; 0 means 16
	Forward    bool // insert a forwarder between each agent and its engine
	// Folder receives the processes' logs and settings and is kept after Stop. If it
	// is empty, a temporary folder is used and removed by Stop.
	Folder string
}

// Names of the model and the service, as in Sarathi's deployment.
const (
	Model   = "naviq-llm"
	Service = "levy-core"
)

var failureDomains = []string{"guj-west-a", "guj-west-b", "guj-west-c"}

// Deployment is a running set of processes.
type Deployment struct {
	options Options
	dir     string

	Processes         map[string]*Process
	Document          *config.Document
	CallerAddresses   []string // addresses for callers, by entry
	OperatorAddresses map[string]string
	RPCAddresses      map[string]string
	EngineAddresses   []string
	Forwarders        []*forwarder.Forwarder // nil unless Options.Forward is set
	ServiceAddresses  []string
	StoreAddresses    []string
	LogAddress        string
	HostListAddress   string
}

// APIKey returns the API key of a customer of the deployment.
func APIKey(customer string) string {
	sum := sha256.Sum256([]byte("demo key of " + customer))
	return customer + "." + hex.EncodeToString(sum[:])
}

// Ports of the processes lie below the ephemeral ports that Linux assigns to outgoing
// connections (from 32768). Otherwise such a connection could take the port of a
// process that is down, which then could not listen again when it restarts.
const (
	firstPort    = 20_000
	portLimit    = 32_768
	portAttempts = 100
)

// processLoopback returns a loopback address derived from this process's ID, so that
// two deployments don't choose the same ports. Connections of other processes use
// 127.0.0.1 as their source address.
func processLoopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>15&63, pid>>7&255, 1+pid&127)
}

// freeAddress returns a loopback address on which no process listens.
func freeAddress() (string, error) {
	var err error
	for range portAttempts {
		var l net.Listener
		l, err = net.Listen("tcp", fmt.Sprintf("%s:%d", processLoopback(), firstPort+rand.IntN(portLimit-firstPort)))
		if err == nil {
			defer l.Close()
			return l.Addr().String(), nil
		}
	}
	return "", fmt.Errorf("find a free port: %w", err)
}

// Start starts all processes and waits until the agents and entries are ready.
func Start(ctx context.Context, o Options) (*Deployment, error) {
	dir := o.Folder
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "galenaweir-"); err != nil {
			return nil, err
		}
	}
	d := &Deployment{options: o, dir: dir, Processes: map[string]*Process{}, OperatorAddresses: map[string]string{}, RPCAddresses: map[string]string{}}
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
	for _, f := range d.Forwarders {
		f.Close()
	}
	if d.options.Folder == "" {
		_ = os.RemoveAll(d.dir)
	}
}

// Log returns the log output of a process so far.
func (d *Deployment) Log(name string) string {
	b, _ := os.ReadFile(filepath.Join(d.dir, name+".log"))
	return string(b)
}

func (d *Deployment) start(ctx context.Context) error {
	if err := d.allocateAddresses(); err != nil {
		return err
	}
	if err := d.startStandIns(); err != nil {
		return err
	}
	if err := d.startForwarders(); err != nil {
		return err
	}
	d.Document = d.document()
	if err := d.Publish(ctx, d.Document, 0); err != nil {
		return err
	}
	for i := range d.options.Agents {
		if err := d.startProgram(agentName(i), "galenaweir-agent", failureDomains[i%len(failureDomains)], ""); err != nil {
			return err
		}
	}
	for i := range d.options.Entries {
		if err := d.startProgram(entryName(i), "galenaweir-entry", failureDomains[i%len(failureDomains)], d.CallerAddresses[i]); err != nil {
			return err
		}
	}
	return d.waitReady(ctx)
}

// startForwarders starts one forwarder per engine if Options.Forward is set.
func (d *Deployment) startForwarders() error {
	if !d.options.Forward {
		return nil
	}
	for _, a := range d.EngineAddresses {
		f, err := forwarder.New(a)
		if err != nil {
			return err
		}
		d.Forwarders = append(d.Forwarders, f)
	}
	return nil
}

func agentName(i int) string { return fmt.Sprintf("agent-%d", i) }
func entryName(i int) string { return fmt.Sprintf("entry-%d", i) }
func storeName(i int) string { return fmt.Sprintf("prompt-vault-%c", 'a'+i) }

// storeLinkBytesPerSecond is the bandwidth limit of each store's link. A token's KV
// cache takes 16 bytes here, so a fetch is several times faster than the prefill.
const storeLinkBytesPerSecond = 4 << 20

// allocateAddresses chooses a distinct free address for every listener.
func (d *Deployment) allocateAddresses() error {
	var errs []error
	taken := map[string]bool{}
	nextAddress := func() string {
		for {
			a, err := freeAddress()
			if err != nil || !taken[a] {
				taken[a] = true
				errs = append(errs, err)
				return a
			}
		}
	}
	d.LogAddress, d.HostListAddress = nextAddress(), nextAddress()
	for i := range d.options.Agents {
		d.EngineAddresses = append(d.EngineAddresses, nextAddress())
		d.RPCAddresses[agentName(i)], d.OperatorAddresses[agentName(i)] = nextAddress(), nextAddress()
	}
	for range d.options.Services {
		d.ServiceAddresses = append(d.ServiceAddresses, nextAddress())
	}
	for range d.options.Stores {
		d.StoreAddresses = append(d.StoreAddresses, nextAddress())
	}
	for i := range d.options.Entries {
		d.CallerAddresses = append(d.CallerAddresses, nextAddress())
		d.RPCAddresses[entryName(i)], d.OperatorAddresses[entryName(i)] = nextAddress(), nextAddress()
	}
	return errors.Join(errs...)
}

func (d *Deployment) startStandIns() error {
	if _, err := d.startProcess("log", "standin", "log", "--listen", d.LogAddress); err != nil {
		return err
	}
	var hosts []hostlist.Host
	for name, addr := range d.RPCAddresses {
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
	if _, err := d.startProcess("hostlist", "standin", "hostlist", "--listen", d.HostListAddress, "--hosts", file); err != nil {
		return err
	}
	for i, a := range d.EngineAddresses {
		args := append([]string{"engine", "--listen", a, "--model", Model}, d.options.EngineArgs...)
		if _, err := d.startProcess(fmt.Sprintf("engine-%d", i), "standin", args...); err != nil {
			return err
		}
	}
	for i, a := range d.StoreAddresses {
		if _, err := d.startProcess(storeName(i), "standin", "store", "--listen", a, "--link", fmt.Sprint(storeLinkBytesPerSecond)); err != nil {
			return err
		}
	}
	if len(d.ServiceAddresses) == 0 {
		return nil
	}
	args := []string{"service"}
	for _, a := range d.ServiceAddresses {
		args = append(args, "--listen", a)
	}
	_, err = d.startProcess("service", "standin", args...)
	return err
}

// Publish publishes a document derived from the base version, using the operator
// command line.
func (d *Deployment) Publish(ctx context.Context, doc *config.Document, base int64) error {
	b, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	file := filepath.Join(d.dir, "document.json")
	if err := os.WriteFile(file, b, 0o600); err != nil {
		return err
	}
	return retryUntilOK(ctx, "publish the configuration", func() error {
		out, err := exec.CommandContext(ctx, filepath.Join(d.options.Bin, "galenaweir-agent"), "operator", "publish",
			"--file", file, "--log", d.LogAddress, "--base", fmt.Sprint(base)).CombinedOutput()
		if err != nil {
			return fmt.Errorf("%w: %s", err, out)
		}
		return nil
	})
}

func (d *Deployment) startProgram(name, program, failureDomain, callers string) error {
	s := settings.Defaults()
	s.ID, s.FailureDomain, s.Region = name, failureDomain, "gujarat"
	s.RPCAddress, s.OperatorAddress, s.CallerAddress = d.RPCAddresses[name], d.OperatorAddresses[name], callers
	s.LogAddress, s.HostListAddress = d.LogAddress, d.HostListAddress
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

// CheckReady returns an error if any agent or entry is not ready; it names the first one
// found.
func (d *Deployment) CheckReady(ctx context.Context) error {
	for name, addr := range d.OperatorAddresses {
		if err := getOK(ctx, "http://"+addr+"/readyz"); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// WaitReady waits until every agent and entry is ready, for at most readyTimeout each.
func (d *Deployment) WaitReady(ctx context.Context) error { return d.waitReady(ctx) }

// waitReady polls each agent and entry until it reports that it is ready.
func (d *Deployment) waitReady(ctx context.Context) error {
	for name, addr := range d.OperatorAddresses {
		err := retryUntilOK(ctx, name+" to be ready", func() error { return getOK(ctx, "http://"+addr+"/readyz") })
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
	drainDelayMs  = 500 // short, since no load balancer has to notice the drain
	retryInterval = 50 * time.Millisecond
	readyTimeout  = 20 * time.Second
)

func retryUntilOK(ctx context.Context, what string, f func() error) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return fmt.Errorf("wait for %s: %w", what, err)
		}
	}
}
