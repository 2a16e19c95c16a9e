package gateway

import (
	"bytes"
	"expvar"
	"fmt"
	"strings"
	"testing"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
)

// captureLog collects the log until the test ends, and returns a function that returns it. The test
// must have no other goroutine that logs.
func captureLog(t *testing.T) func() string {
	var buf bytes.Buffer
	original := log.DefaultLogger
	log.DefaultLogger = log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: &buf}}
	t.Cleanup(func() { log.DefaultLogger = original })
	return buf.String
}

// Guards against a header whose rule is not known and that leaves no trace, and against names
// without end that fill the memory or the log.
func TestUnknownHeadersAreCountedAndBounded(t *testing.T) {
	lines := captureLog(t)
	u := unknownHeaders{count: new(expvar.Map)}
	for range 3 {
		u.observe("e", []string{"Server-Mood"})
	}
	require.Equal(t, "3", u.count.Get("Server-Mood").String())
	require.Equal(t, 1, strings.Count(lines(), "endpoint_header_unknown"))
	for i := range 1000 {
		u.observe("e", []string{fmt.Sprint("X-", i, strings.Repeat("x", 1000))})
	}
	require.Len(t, u.seen, maxUnknownHeaders)
	require.Equal(t, fmt.Sprint(1000-maxUnknownHeaders+1), u.count.Get(furtherHeaders).String())
	require.Equal(t, maxUnknownHeaders, strings.Count(lines(), "endpoint_header_unknown"))
	require.NotContains(t, lines(), strings.Repeat("x", maxUnknownHeaderName+1))
}
