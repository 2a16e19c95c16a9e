package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// processCPU returns the user and system CPU time that this process has used.
func processCPU() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, err
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// minSampleTime is the minimum CPU time over which a repeated call is averaged.
const minSampleTime = 300 * time.Millisecond

// cpuPerCall returns the average CPU time of one call of f, including garbage collection.
func cpuPerCall(f func()) (time.Duration, error) {
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
		if d := end - start; d >= minSampleTime {
			return d / time.Duration(n), nil
		}
	}
}

// liveHeapBytes returns the size of the live heap and the stacks after a garbage
// collection.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC() // finalizers that the first collection runs may release more
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// retainedHeap returns the number of heap and stack bytes that the result of f retains.
func retainedHeap(f func() any) float64 {
	before := liveHeapBytes()
	v := f()
	after := liveHeapBytes()
	runtime.KeepAlive(v)
	return after - before
}
