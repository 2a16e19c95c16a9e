package local

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Process is one running program of the deployment.
type Process struct {
	Name string
	path string
	args []string
	log  string // file that receives its standard output and error

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

func (p *Process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	defer out.Close()
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// Signal sends a signal, such as SIGSTOP to pause the process.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// PID returns the ID of the process that was started last, or 0 before the first start.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Wait waits for the process to end and reports whether it ended within the limit.
func (p *Process) Wait(limit time.Duration) bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}

// ExitCode returns the exit code of the process, or -1 while it is running or if a
// signal terminated it.
func (p *Process) ExitCode() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	default:
		return -1
	}
}

// Kill sends SIGKILL and waits for the process to end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.Wait(killTimeout)
}

// Restart starts the process again with the same arguments after it has ended.
func (p *Process) Restart() error { return p.start() }

const killTimeout = 5 * time.Second

func (d *Deployment) startProcess(name, program string, args ...string) (*Process, error) {
	p := &Process{Name: name, path: filepath.Join(d.options.Bin, program), args: args, log: filepath.Join(d.dir, name+".log")}
	if err := p.start(); err != nil {
		return nil, err
	}
	d.Processes[name] = p
	return p, nil
}
