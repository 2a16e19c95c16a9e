package gateway

import (
	"bytes"
	"os"
	"sync"
	"testing"

	"github.com/phuslu/log"
)

// testLog takes the log lines of all tests. The logger itself is never replaced: a request of a test
// that has ended may still write its line.
var testLog capturedLog

func init() { log.DefaultLogger.Writer = &log.IOWriter{Writer: &testLog} }

// capturedLog writes to the standard error, and to a buffer while a test captures the log.
type capturedLog struct {
	mu  sync.Mutex
	buf *bytes.Buffer
}

func (c *capturedLog) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.buf != nil {
		return c.buf.Write(p)
	}
	return os.Stderr.Write(p)
}

func (c *capturedLog) capture(buf *bytes.Buffer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.buf = buf
}

// captureLog collects the log until the test ends, and returns a function that returns it. Lines of
// requests of earlier tests may be among it.
func captureLog(t *testing.T) func() string {
	var buf bytes.Buffer
	testLog.capture(&buf)
	t.Cleanup(func() { testLog.capture(nil) })
	return func() string {
		testLog.mu.Lock()
		defer testLog.mu.Unlock()
		return buf.String()
	}
}
