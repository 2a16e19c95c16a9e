package process

import (
	"expvar"
	"os"
	"sync/atomic"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/metrics"
)

// logQueueLines bounds the lines that wait for standard output: some seconds of a
// busy process. More are left out and counted.
const logQueueLines = 2048

// boundedWriter never blocks: it leaves lines out while standard output is full.
type boundedWriter struct {
	next    log.Writer
	omitted atomic.Int64
	total   *expvar.Int
}

// WriteEntry implements log.Writer.
func (w *boundedWriter) WriteEntry(e *log.Entry) (int, error) {
	n, err := w.next.WriteEntry(e)
	if err != nil {
		w.omitted.Add(1)
		w.total.Add(1)
		return n, err
	}
	if left := w.omitted.Swap(0); left > 0 {
		log.Warn().Str("event", "log_lines_omitted").Int64("lines", left).Msg("standard output was full")
	}
	return n, nil
}

// LogToStdout writes JSON lines of the process with the ID to standard output. The
// function that it returns writes what is queued.
func LogToStdout(id string) (flush func() error) {
	async := &log.AsyncWriter{ChannelSize: logQueueLines, DiscardOnFull: true, Writer: &log.IOWriter{Writer: os.Stdout}}
	log.DefaultLogger = log.Logger{
		Level: log.InfoLevel, Writer: &boundedWriter{next: async, total: metrics.Default.Count("log_lines_omitted")},
		Context: log.NewContext(nil).Str("process", id).Value(),
	}
	return async.Close
}
