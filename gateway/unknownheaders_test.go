package gateway

import (
	"expvar"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

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
