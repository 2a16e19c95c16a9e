// Command driver3 runs the scripts of the third review: the program of the deploy file as separate
// processes, on loopback, against stand-ins.
package main

import (
	"embed"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/galenaweir/galenaweir/platform/standin"
)

//go:embed data
var data embed.FS

// host is the address of everything in a case.
const host = "127.0.0.1"

// hostName is the host of all routes.
const hostName = "service.test"

func dataFile(name string) string {
	b, err := data.ReadFile("data/" + name)
	if err != nil {
		panic(err) // it is embedded
	}
	return string(b)
}

var names = readNames()

func readNames() map[string]string {
	out := map[string]string{}
	for line := range strings.Lines(dataFile("names.txt")) {
		k, v, _ := strings.Cut(strings.TrimSpace(line), "=")
		out[k] = v
	}
	return out
}

// fill replaces the placeholders of a text.
func fill(text string, pairs ...string) string { return strings.NewReplacer(pairs...).Replace(text) }

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	begun time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{f: f, begun: time.Now()}, err
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// deployment is a running deployment.
type deployment struct {
	record   *record
	dir      string // temporary
	log      *standin.Log
	logAddr  string
	servers  []*server
	entries  []*entry
	cleanups []func()
	stop     chan struct{}

	beating sync.Mutex
	beats   int
}

func newDeployment(r *record) (*deployment, error) {
	d := &deployment{record: r, log: standin.NewLog(), stop: make(chan struct{})}
	var err error
	if d.dir, err = os.MkdirTemp("", "review-3-"); err != nil {
		return d, err
	}
	d.cleanups = append(d.cleanups, func() { os.RemoveAll(d.dir) })
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return d, err
	}
	srv := &http.Server{Handler: d.log}
	go func() { _ = srv.Serve(l) }() // returns on Close
	d.cleanups = append(d.cleanups, func() { srv.Close() })
	d.logAddr = l.Addr().String()
	return d, nil
}

func (d *deployment) close() {
	close(d.stop)
	for i := len(d.cleanups) - 1; i >= 0; i-- {
		d.cleanups[i]()
	}
}

// configure writes a version of the configuration.
func (d *deployment) configure(version int, file string) {
	d.log.Put(names["operators"], "config", []byte(fill(dataFile(file), "$VERSION", strconv.Itoa(version), "$HOST", hostName)))
	d.record.add("configuration %d is confirmed", version)
}

// beat writes the servers' records until the deployment ends.
func (d *deployment) beat() {
	for {
		d.writeServers()
		select {
		case <-d.stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// writeServers writes the records of the servers that run.
func (d *deployment) writeServers() {
	d.beating.Lock()
	defer d.beating.Unlock()
	d.beats++
	for _, s := range d.servers {
		if s.down.Load() {
			continue
		}
		d.log.Put(names["servers"], s.id, []byte(fill(dataFile("endpoint.json"), "$SERVICE", s.service, "$ADDR", s.addr, "$SEQ", strconv.Itoa(d.beats), "$BORN", strconv.FormatInt(s.born.Load(), 10), "$WEIGHTS", "1")))
	}
}

var (
	section = regexp.MustCompile(`(?s)\{\{#([a-zA-Z.]+)\}\}.*?\{\{/[a-zA-Z.]+\}\}\n?`)
	value   = regexp.MustCompile(`\{\{([a-zA-Z.]+)\|json\}\}`)
)

// settings fills in the template of the deploy file. Sections are left out: the values that they are
// for belong to other deployments.
func settings(values string) ([]byte, error) {
	template, err := os.ReadFile("deploy/entry.settings.tmpl")
	if err != nil {
		return nil, err
	}
	var v map[string]any
	if err := json.Unmarshal([]byte(values), &v); err != nil {
		return nil, err
	}
	text := section.ReplaceAllString(string(template), "")
	text = value.ReplaceAllStringFunc(text, func(m string) string {
		var at any = v
		for _, key := range strings.Split(value.FindStringSubmatch(m)[1], ".") {
			at, _ = at.(map[string]any)[key]
		}
		b, merr := json.Marshal(at)
		err = errors.Join(err, merr)
		return string(b)
	})
	return []byte(text), err
}

// entry is a process of the role of the deploy file.
type entry struct {
	cmd      *exec.Cmd
	front    string
	ready    string
	settings string
	out      *os.File
	ended    chan struct{}
}

// nextPort is below the ports that the kernel gives to outgoing connections.
var nextPort = 20000 + os.Getpid()%400*24

func freePort() int {
	for ; nextPort < 30000; nextPort++ {
		l, err := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(nextPort)))
		if err == nil {
			l.Close()
			nextPort++
			return nextPort - 1
		}
	}
	panic("no free port")
}

func (d *deployment) startEntry(name string) (*entry, error) {
	address := func() string { return net.JoinHostPort(host, strconv.Itoa(freePort())) }
	e := &entry{front: address(), ready: address()}
	peer := freePort()
	text, err := settings(fill(dataFile("values.json"), "$NODE", name, "$IP", host, "$PEEREND", strconv.Itoa(peer+1), "$PEER", strconv.Itoa(peer), "$FRONT", e.front, "$READY", e.ready, "$LOG", d.logAddr))
	if err != nil {
		return nil, err
	}
	text = []byte(strings.Replace(string(text), `"metricsPort": 9464`, `"metricsPort": 0`, 1)) // the port may be taken on this machine
	path := filepath.Join(d.dir, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	out, err := os.Create(filepath.Join(d.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	e.settings, e.out = path, out
	d.cleanups = append(d.cleanups, func() { out.Close() }, e.kill)
	d.entries = append(d.entries, e)
	return e, e.start()
}

// start starts the process, also again after kill.
func (e *entry) start() error {
	e.cmd = exec.Command("target/galenaweir-entry", "forward")
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + filepath.Dir(e.settings), "GALENAWEIR_SETTINGS=" + e.settings}
	e.cmd.Stdout, e.cmd.Stderr = e.out, e.out
	ended := make(chan struct{})
	e.ended = ended
	if err := e.cmd.Start(); err != nil {
		close(ended)
		return err
	}
	go func() {
		_ = e.cmd.Wait() // how it ended is recorded by what ended it
		close(ended)
	}()
	return nil
}

// kill ends the process and waits until it has ended.
func (e *entry) kill() {
	if e.cmd.Process != nil {
		_ = e.cmd.Process.Signal(syscall.SIGKILL) // it may have ended
	}
	<-e.ended
}

func (e *entry) awaitReady() error {
	for range 200 {
		resp, err := http.Get("http://" + e.ready + "/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("the entry isn't ready after 10 s")
}

// anonymousMb returns the anonymous memory of a process that is resident, 0 if it has ended.
func anonymousMb(pid int) float64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if f := strings.Fields(line); len(f) >= 2 && f[0] == "RssAnon:" {
			kb, _ := strconv.ParseFloat(f[1], 64) // the kernel writes a number
			return kb / 1024
		}
	}
	return 0
}
