package local

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Usage is the resource usage of a process.
type Usage struct {
	CPU         time.Duration // user and system time since the process started
	MemoryBytes int64         // current resident set size
	PeakBytes   int64         // peak resident set size
}

// ticksPerSecond is USER_HZ, the unit of CPU times in /proc, which is fixed for user
// space.
const ticksPerSecond = 100

// Field positions in /proc/PID/stat, counted after the command name's closing
// parenthesis.
const (
	statUserTicks   = 11
	statSystemTicks = 12
)

// Usage reads the resource usage of the process from /proc.
func (p *Process) Usage() (u Usage, err error) {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, fmt.Errorf("usage of %s: %w", p.Name, err)
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= statSystemTicks {
		return u, fmt.Errorf("usage of %s: /proc/%d/stat is malformed", p.Name, pid)
	}
	user, err1 := strconv.ParseInt(fields[statUserTicks], 10, 64)
	system, err2 := strconv.ParseInt(fields[statSystemTicks], 10, 64)
	if err1 != nil || err2 != nil {
		return u, fmt.Errorf("usage of %s: /proc/%d/stat is malformed", p.Name, pid)
	}
	u.CPU = time.Duration(user+system) * time.Second / ticksPerSecond
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, fmt.Errorf("usage of %s: %w", p.Name, err)
	}
	for line := range strings.Lines(string(status)) {
		var kib int64
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kib); err == nil {
			u.MemoryBytes = kib << 10
		}
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kib); err == nil {
			u.PeakBytes = kib << 10
		}
	}
	return u, nil
}
