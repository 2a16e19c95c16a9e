package gateway

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// responseBufferDivisor is the divisor of memoryMb that gives the bound on the responses that are
	// buffered. The rest is for connections, requests and the state, and for the garbage collector.
	responseBufferDivisor = 8
	// freeResponseBytes may be buffered of each response whatever the others hold: an event, or an
	// answer of usual size.
	freeResponseBytes = 8 << 10
)

var errResponseBuffersFull = errors.New("the memory for buffered responses is used up")

// responseBuffers bounds what this process buffers of all responses together, beyond a small part of
// each. Endpoints in trouble may send bytes without end, on many connections at once.
type responseBuffers struct {
	limit int64 // 0 for no bound
	held  atomic.Int64
}

func newResponseBuffers(memoryMb int64) *responseBuffers {
	return &responseBuffers{limit: memoryMb << 20 / responseBufferDivisor}
}

// responseBuffer is what one response holds of them. A nil *responseBuffer has no bound. Its methods
// are called by one goroutine at a time.
type responseBuffer struct {
	all   *responseBuffers
	bytes int64
}

func (b *responseBuffers) newBuffer() *responseBuffer { return &responseBuffer{all: b} }

// resize changes the size of the buffer. It reports whether there is room for that.
func (b *responseBuffer) resize(size int) bool {
	if b == nil {
		return true
	}
	n := max(int64(size)-freeResponseBytes, 0)
	growth := n - b.bytes
	if growth == 0 {
		return true
	}
	if held := b.all.held.Add(growth); growth > 0 && b.all.limit > 0 && held > b.all.limit {
		b.all.held.Add(-growth)
		return false
	}
	b.bytes = n
	return true
}

// release frees what the buffer holds. It may be called more than once.
func (b *responseBuffer) release() { b.resize(0) }

// reader returns a reader that fails with errResponseBuffersFull before it reads what there is no
// room for, if all that it reads is buffered.
func (b *responseBuffer) reader(r io.Reader) io.Reader { return &bufferedReader{r: r, b: b} }

type bufferedReader struct {
	r    io.Reader
	b    *responseBuffer
	read int
}

// Read implements io.Reader.
func (r *bufferedReader) Read(p []byte) (int, error) {
	if !r.b.resize(r.read + len(p)) {
		return 0, errResponseBuffersFull
	}
	n, err := r.r.Read(p)
	r.read += n
	return n, err
}
