package streaming

import (
	"bytes"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/protocol"
)

// Guards against an engine frame that crashes the agent, or whose numbers would
// overflow in the messages between agent and entry.
func FuzzParseFrame(f *testing.F) {
	for _, seed := range []string{
		`{"id":"a","seq":0,"choices":[],"usage":{"prompt_tokens":3,"cached_tokens":1},"weight_version":"v1"}`,
		`{"id":"a","seq":1,"choices":[{"text":"levy"}]}`,
		`{"id":"a","seq":2,"choices":[{"finish_reason":"stop"}],"length_bytes":4,"usage":{"completion_tokens":-1}}`,
		`{"usage":{"prompt_tokens":99999999999}}`, `{"seq":-1}`, `{"seq":18446744073709551616}`, `{`, `null`, `[]`, "\xff",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		e, err := parseFrame(b)
		if err != nil {
			require.ErrorIs(t, err, protocol.ErrStreamTruncated)
			return
		}
		require.Equal(t, e.Kind == protocol.EventEnded, e.FinishReason != "")
		for _, n := range []int{e.PromptTokens, e.CachedTokens, e.OutputTokens} {
			require.True(t, n >= 0 && n <= math.MaxUint32, n)
		}
		var events []protocol.Event
		err = readStream(bytes.NewReader(append(append([]byte("data: "), b...), "\n\n"...)), func(e protocol.Event) error {
			events = append(events, e)
			return nil
		})
		require.Equal(t, e.Kind != protocol.EventEnded, err != nil, "a stream is complete only with an end frame")
	})
}
