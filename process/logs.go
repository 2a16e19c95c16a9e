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

// Limits of the lines that wait for standard output.
const (
	logQueueLines   = 2048                   // some seconds of a busy process
	logRequestLines = logQueueLines * 3 / 4  // requests' lines leave room for those on what the process believes
	logFlushTime    = 500 * time.Millisecond // at the end of the process, when nobody reads its output
)

// Classes of lines, by which those left out are counted.
const (
	requestLines = "request"
	otherLines   = "other"
)

var requestMark = []byte(`"event":"request"`)

// errOutputFull means that lines were left when the process ended.
var errOutputFull = errors.New("standard output is full: the last log lines are lost")

// logQueue is an io.Writer of whole lines that never blocks: it leaves lines out
// while the output is full.
type logQueue struct {
	out     io.Writer
	lines   chan []byte
	left    map[string]*atomic.Int64 // by class, since the last line on it
	total   *expvar.Map
	buffers sync.Pool
	done    chan struct{}
}

func newLogQueue(out io.Writer) *logQueue {
	q := &logQueue{
		out: out, lines: make(chan []byte, logQueueLines), total: metrics.Default.CountBy("log_lines_omitted"), done: make(chan struct{}),
		left: map[string]*atomic.Int64{requestLines: {}, otherLines: {}},
	}
	go q.run()
	return q
}

func (q *logQueue) run() {
	defer close(q.done)
	for line := range q.lines {
		if line == nil {
			return
		}
		_, _ = q.out.Write(line) // there is no other place to tell of it
		q.buffers.Put(&line)
	}
}

// Write implements io.Writer. It copies the line.
func (q *logQueue) Write(p []byte) (int, error) {
	class, limit := otherLines, logQueueLines
	if bytes.Contains(p, requestMark) {
		class, limit = requestLines, logRequestLines
	}
	if !q.put(p, limit) {
		q.left[class].Add(1)
		q.total.Add(class, 1)
		return len(p), nil
	}
	requests, others := q.left[requestLines].Swap(0), q.left[otherLines].Swap(0)
	if requests+others > 0 {
		log.Warn().Str("event", "log_lines_omitted").Int64("requests", requests).Int64("others", others).Msg("standard output was full")
	}
	return len(p), nil
}

func (q *logQueue) put(p []byte, limit int) bool {
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

// close writes what is queued, as far as the output takes it in time.
func (q *logQueue) close() error {
	limit := time.NewTimer(logFlushTime)
	defer limit.Stop()
	select {
	case q.lines <- nil:
	case <-limit.C:
		return errOutputFull
	}
	select {
	case <-q.done:
		return nil
	case <-limit.C:
		return errOutputFull
	}
}

// LogToStdout writes JSON lines of the process with the ID to standard output. The
// function that it returns writes what is queued.
func LogToStdout(id string) (flush func() error) {
	q := newLogQueue(os.Stdout)
	log.DefaultLogger = newLogger(q, id)
	return q.close
}

func newLogger(w io.Writer, id string) log.Logger {
	return log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: w}, Context: log.NewContext(nil).Str("process", id).Value()}
}
