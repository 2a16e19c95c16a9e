package process

import (
	"bytes"
	"errors"
	"expvar"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/metrics"
)

// Limits of the queue of log lines for standard output.
const (
	maxQueuedLines        = 2048                   // a few seconds of a busy process's log
	maxQueuedRequestLines = maxQueuedLines * 3 / 4 // the rest is reserved for lines other than request lines
	logFlushTimeout       = 500 * time.Millisecond // bounds the exit of a process whose output nobody reads
)

// Classes by which omitted lines are counted.
const (
	requestClass = "request"
	otherClass   = "other"
)

var requestEventMarker = []byte(`"event":"request"`)

// errOutputBlocked means that queued lines could not be written before the process ended.
var errOutputBlocked = errors.New("standard output is blocked: the last log lines are lost")

// logQueue is an io.Writer of whole lines that never blocks: it omits and counts
// lines while its queue is full.
type logQueue struct {
	out          io.Writer
	lines        chan []byte
	omitted      map[string]*atomic.Int64 // lines omitted since the last log_lines_omitted event, by class
	omittedTotal *expvar.Map
	buffers      sync.Pool
	done         chan struct{}
}

func newLogQueue(out io.Writer) *logQueue {
	q := &logQueue{
		out: out, lines: make(chan []byte, maxQueuedLines), omittedTotal: metrics.Default.LabeledCounter("log_lines_omitted"), done: make(chan struct{}),
		omitted: map[string]*atomic.Int64{requestClass: {}, otherClass: {}},
	}
	go q.writeLoop()
	return q
}

func (q *logQueue) writeLoop() {
	defer close(q.done)
	for line := range q.lines {
		if line == nil { // sent by close
			return
		}
		_, _ = q.out.Write(line) // a failed log write can't be reported anywhere else
		q.buffers.Put(&line)
	}
}

// Write implements io.Writer. It copies p and always reports success.
func (q *logQueue) Write(p []byte) (int, error) {
	class, limit := otherClass, maxQueuedLines
	if bytes.Contains(p, requestEventMarker) {
		class, limit = requestClass, maxQueuedRequestLines
	}
	if !q.enqueue(p, limit) {
		q.omitted[class].Add(1)
		q.omittedTotal.Add(class, 1)
		return len(p), nil
	}
	omittedRequests, omittedOthers := q.omitted[requestClass].Swap(0), q.omitted[otherClass].Swap(0)
	if omittedRequests+omittedOthers > 0 {
		log.Warn().Str("event", "log_lines_omitted").Int64("requests", omittedRequests).Int64("others", omittedOthers).Msg("log lines were omitted because standard output was blocked")
	}
	return len(p), nil
}

func (q *logQueue) enqueue(p []byte, limit int) bool {
	if len(q.lines) >= limit {
		return false
	}
	var line []byte
	if b, ok := q.buffers.Get().(*[]byte); ok {
		line = (*b)[:0]
	}
	line = append(line, p...)
	select {
	case q.lines <- line:
		return true
	default:
		return false
	}
}

// close writes the queued lines, or returns errOutputBlocked after logFlushTimeout. It
// leaves the channel open, because other goroutines may still log.
func (q *logQueue) close() error {
	timeout := time.NewTimer(logFlushTimeout)
	defer timeout.Stop()
	select {
	case q.lines <- nil:
	case <-timeout.C:
		return errOutputBlocked
	}
	select {
	case <-q.done:
		return nil
	case <-timeout.C:
		return errOutputBlocked
	}
}

// LogToStdout makes the default logger write JSON lines with the process ID to
// standard output, through a queue that never blocks the caller. The returned
// function writes the queued lines at the end of the process.
func LogToStdout(id string) (flush func() error) {
	q := newLogQueue(os.Stdout)
	log.DefaultLogger = newLogger(q, id)
	return q.close
}

func newLogger(w io.Writer, id string) log.Logger {
	return log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: w}, Context: log.NewContext(nil).Str("process", id).Value()}
}
