package entry

import (
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/apierr"
)

// Guards against a request body that makes the parser panic, is accepted although it
// is invalid, or is quoted in an error.
func FuzzParseCompletion(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","messages":[{"role":"user","content":"x"}]}`,
		`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}],"n":1}`,
		`{"model":"m","prompt":"x","max_tokens":-1}`, `{"prompt":[1]}`, `{"messages":[null]}`, `{"messages":[{"content":{}}]}`,
		`{"n":0}`, `{"max_tokens":1e99}`, `{`, `null`, `"x"`, "\xff", `{"stream_options":[]}`, `{"logprobs":1}`, `{"messages":[{"role":"user"}]}`,
	} {
		f.Add([]byte(seed), true)
		f.Add([]byte(seed), false)
	}
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		const quoted = "QUOTED-FROM-BODY"
		r, err := parseCompletion([]byte(strings.ReplaceAll(string(body), "x", quoted)), chat)
		if err != nil {
			ae := apierr.From(err)
			require.Equal(t, apierr.InvalidRequest, ae.Kind)
			require.Equal(t, apierr.NotRun, ae.Ran)
			require.NotContains(t, err.Error(), quoted)
			return
		}
		require.NotEmpty(t, r.promptText())
		require.True(t, utf8.ValidString(r.promptText()))
		require.Positive(t, r.maxTokens())
		require.Equal(t, chat, len(r.Messages) > 0)
	})
}

// Guards against sampling parameters that are not passed on to the engine.
func TestSamplingParameters(t *testing.T) {
	r, err := parseCompletion([]byte(`{"prompt":"x","temperature":0.2,"stop":["\n"],"user":"u"}`), false)
	require.NoError(t, err)
	require.JSONEq(t, `{"temperature":0.2,"stop":["\n"]}`, string(r.samplingJSON()))
	r, err = parseCompletion([]byte(`{"prompt":"x"}`), false)
	require.NoError(t, err)
	require.Empty(t, r.samplingJSON())
}
