package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// processCPU returns the CPU time of this process so far, user and system.
func processCPU() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, err
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// minCost is the CPU time over which a repeated step is averaged.
const minCost = 300 * time.Millisecond

// cpuOf returns the CPU time of one call of f, garbage collection included.
func cpuOf(f func()) (time.Duration, error) {
	runtime.GC()
	for n := 1; ; n *= 2 {
		start, err := processCPU()
		if err != nil {
			return 0, err
		}
		for range n {
			f()
		}
		end, err := processCPU()
		if err != nil {
			return 0, err
		}
		if d := end - start; d >= minCost {
			return d / time.Duration(n), nil
		}
	}
}

// heapBytes returns the live heap and the stacks after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC() // finalizers of the first free more
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// heapOf returns the bytes that the result of f holds.
func heapOf(f func() any) float64 {
	before := heapBytes()
	v := f()
	after := heapBytes()
	runtime.KeepAlive(v)
	return after - before
}
