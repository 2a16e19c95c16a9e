package main

import (
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/galenaweir/galenaweir/platform/standin"
)

//go:embed names.json
var namesFile []byte

// names are the platform's names of headers, topics and fields, by what they stand for.
var names = map[string]string{}

func name(what string) string {
	n, ok := names[what]
	if !ok {
		panic("names.json lacks " + what)
	}
	return n
}

// Bounds of a small deployment, as in its settings.
const (
	configApply = 2 * time.Second
	versionMs   = 10_000
	recoverTime = 12 * time.Second
)

// errCannotRun is the end of a case that could not be played.
var errCannotRun = errors.New("the case could not run")

// record is what a case has seen, which is written to record.txt.
type record struct {
	mu      sync.Mutex
	started time.Time
	file    *os.File
	broken  int
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{started: time.Now(), file: f}, err
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// violation records that the rule was broken.
func (r *record) violation(format string, args ...any) {
	r.line("BROKEN  "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken++
}

// deployment is a log with entries in front of it.
type deployment struct {
	rec     *record
	dir     string // for settings and output
	bin     string
	log     *standin.Log
	logAddr string
	server  *http.Server
	entries []*entry
}

// newDeployment starts a log whose requests pass through wrap.
func newDeployment(rec *record, wrap func(http.Handler) http.Handler) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, dir: dir, bin: "target/galenaweir-entry", log: standin.NewLog()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.logAddr = l.Addr().String()
	h := http.Handler(d.log)
	if wrap != nil {
		h = wrap(h)
	}
	d.server = &http.Server{Handler: h}
	go func() { _ = d.server.Serve(l) }()
	return d, nil
}

// entry is a process of the deploy file.
type entry struct {
	id, caller, ready string
	settings          string
	cmd               *exec.Cmd
	output            *os.File
}

// freePorts returns free ports of an address. They are below those that the kernel gives to outgoing
// connections.
func freePorts(host string, n int) ([]int, error) {
	var out []int
	for p := 20_000 + os.Getpid()%5000; p < 31_000 && len(out) < n; p++ {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, p))
		if err != nil {
			continue
		}
		l.Close()
		out = append(out, p)
	}
	if len(out) < n {
		return nil, errCannotRun
	}
	return out, nil
}

// startEntry starts an entry at 127.0.0.HOST with the settings of the deploy file's template.
func (d *deployment) startEntry(host int) (*entry, error) {
	ip := fmt.Sprintf("127.0.0.%d", host)
	ports, err := freePorts(ip, 4)
	if err != nil {
		return nil, err
	}
	address := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	e := &entry{id: fmt.Sprintf("front-a-%d", host), caller: address(ports[0]), ready: address(ports[1])}
	settings := map[string]any{
		"id": e.id, "host": ip, "failureDomain": "a", "callerAddress": e.caller, "readyAddress": e.ready, "logAddress": d.logAddr,
		"peerPorts": []int{ports[2], ports[2] + 15}, "metricsPort": ports[3], "drainMs": 2000, "graceS": 8, "revokeMs": 5000, "budgetRatio": 0.2,
		"budgetWindowS": 10, "versionMs": versionMs, "orderHandoverMs": 3000, "logWritesPerS": 400, "memoryMb": 284, "operatorPollMs": 2000,
		"sharedMemberLists": true, "sharedListReads": true, "scheduling": map[string]any{"retryRefused": 1},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	e.settings = filepath.Join(d.dir, e.id+".json")
	if err := os.WriteFile(e.settings, data, 0o600); err != nil {
		return nil, err
	}
	if e.output, err = os.OpenFile(filepath.Join(d.dir, e.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return nil, err
	}
	d.entries = append(d.entries, e)
	return e, d.run(e)
}

// run starts the process of an entry, for the first time or again.
func (d *deployment) run(e *entry) error {
	e.cmd = exec.Command(d.bin, "forward")
	e.cmd.Env = []string{"GALENAWEIR_SETTINGS=" + e.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + d.dir}
	e.cmd.Stdout, e.cmd.Stderr = e.output, e.output
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	d.rec.line("start   %s", e.id)
	return e.cmd.Start()
}

// awaitReady waits until all entries answer the balancer's check with 200.
func (d *deployment) awaitReady(limit time.Duration) error {
	c := http.Client{Timeout: time.Second}
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, e := range d.entries {
			if resp, err := c.Get("http://" + e.ready + "/ready"); err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(d.entries) {
			d.rec.line("ready   all entries")
			return nil
		}
	}
	return fmt.Errorf("%w: not all entries are ready", errCannotRun)
}

// putOperators writes a record of the operators and returns when the log confirmed it.
func (d *deployment) putOperators(key string, document any) time.Time {
	data, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	d.rec.line("operator writes %s", key)
	return d.log.Put(name("operators"), key, data)
}

// close ends everything that was started.
func (d *deployment) close() {
	for _, e := range d.entries {
		if e.cmd != nil && e.cmd.Process != nil {
			_ = e.cmd.Process.Kill() // it may have ended
			_ = e.cmd.Wait()
		}
		e.output.Close()
	}
	d.server.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(d.dir)
	} else {
		fmt.Fprintln(os.Stderr, "kept:", d.dir)
	}
}
