package settings

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const validSettings = `{
  // a comment
  "id": "entry-0", "failure_domain": "guj-west-a",
  "rpc_address": "127.0.0.1:1", "operator_address": "127.0.0.1:2", "caller_address": "127.0.0.1:3",
  "log_address": "127.0.0.1:4", "host_list_address": "127.0.0.1:5",
  "cache_secret": "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff",
  "tls": {"off": true},
}`

// Guards against errors that don't tell an operator what to correct: each names the
// key, the line if there is one, and a remedy.
func TestParse(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	require.NoError(t, err)
	require.EqualValues(t, 2000, s.SilenceLimitMs)
	for _, c := range []struct {
		name, from, to string
		want           []string
	}{
		{"unknown key", `"tls": {`, "\n\"silence_limit\": 5, \"tls\": {", []string{"line 8", `"silence_limit"`, "correct its name"}},
		{"unknown nested key", `"off": true`, `"of": true`, []string{"line 7", `"tls.of"`, "correct its name"}},
		{"key twice", `"id": "entry-0"`, `"id": "a", "id": "b"`, []string{"line 3", `"id"`, "given twice"}},
		{"wrong type", `"tls": {`, "\"silence_limit_ms\": \"2s\",\n\"tls\": {", []string{"line 7", "silence_limit_ms", "wrong type", "int64"}},
		{"wrong nested type", `"off": true`, `"off": 1`, []string{"line 7", "tls.off", "wrong type"}},
		{"beyond the limits", `"tls": {`, `"silence_limit_ms": 1, "tls": {`, []string{"silence_limit_ms is 1", "100 to 10000 ms", "the default is 2000"}},
		{"host name", "127.0.0.1:4", "log.example:4", []string{"log_address", "IP address"}},
		{"no certificates", `"off": true`, `"off": false`, []string{"cert_file", "tls.off"}},
		{"no caller certificate", `"off": true`, `"cert_file":"c","key_file":"k","ca_file":"a"`, []string{"caller_cert"}},
		{"secret not hex", "0011", "zz11", []string{"cache_secret", "openssl"}},
		{"stray quote", "127.0.0.1:4", `x"`, []string{"line 5"}},
		{"not JSON", `"id"`, `id`, []string{"line 3"}},
		{"not an object", validSettings, `[1]`, []string{"object"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(validSettings, c.from, c.to, 1)))
			require.Error(t, err)
			for _, w := range c.want {
				require.ErrorContains(t, err, w)
			}
		})
	}
}

// Guards against a reference page that differs from the code.
func TestReferencePageIsCurrent(t *testing.T) {
	b, err := os.ReadFile("../docs/settings.md")
	require.NoError(t, err)
	require.Equal(t, Markdown(), string(b), "run go generate ./settings")
	for _, f := range Fields() {
		require.NotEmpty(t, f.Doc, f.Key)
		require.False(t, f.HasRange && (f.Default < f.Min || f.Default > f.Max || f.Unit == ""), f.Key)
	}
}

// Guards against settings files that crash the parser, are rejected without an error
// message, or are accepted with values outside their limits.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{validSettings, "", "{", "[]", `{"tls":{"off":1}}`, `{"id":1}`, "{\n//\n\"x\":[{}]}", "{\"peers\":[1]}", `null`, `{"tls":null}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Parse(b)
		if err != nil {
			require.NotEmpty(t, err.Error())
			return
		}
		require.Empty(t, s.checkRanges())
		require.Len(t, s.CacheSecret, cacheSecretHexDigits)
	})
}
