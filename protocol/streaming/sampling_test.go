package streaming

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/protocol"
)

// Guards against sampling parameters that don't reach the engine or that overwrite the
// request's own fields.
func TestSamplingParametersForwarded(t *testing.T) {
	var got map[string]any
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(r.Body)
		require.NoError(t, err)
		require.NoError(t, json.Unmarshal(b, &got))
	}))
	defer srv.Close()
	for _, c := range []struct {
		sampling string
		want     any
	}{{`{"temperature":0.2,"prompt":"other"}`, 0.2}, {"", nil}, {"{}", nil}, {"[1]", nil}} {
		got = nil
		r := &protocol.Request{AttemptID: "a", Prompt: "levy", Sampling: []byte(c.sampling)}
		require.ErrorIs(t, New().Generate(t.Context(), strings.TrimPrefix(srv.URL, "http://"), r, nil), protocol.ErrStreamTruncated)
		require.Equal(t, c.want, got["temperature"])
		require.Equal(t, "levy", got["prompt"])
	}
}
