package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/forward"
	"github.com/galenaweir/galenaweir/gateway"
)

// Guards against queries that lose what names the request, and answers of which a part is not shown.
func TestExplainCommand(t *testing.T) {
	choice := gateway.Explanation{
		Entry: "entry-1", Route: "chat", Service: "s",
		Candidates: []gateway.ExplainedEndpoint{{Endpoint: "i-1", CostMs: 12.5, ExpectedMs: 8, Parts: []forward.CostShare{{Name: "queue", Ms: 8}, {Name: "prefill", Ms: 4.5}}}},
		LeftOut:    []gateway.LeftOutEndpoint{{Endpoint: "i-2", Reason: "draining"}},
		Choice:     &gateway.ExplainedChoice{Endpoint: "i-1", ExpectedMs: 8, RefusedFromMs: 400},
	}
	refusal := choice
	refusal.Choice, refusal.Refusal = nil, &gateway.ExplainedRefusal{Kind: apierr.Overloaded, Message: "the latency target can't be met", RetryAfterMs: 250}
	head := filepath.Join(t.TempDir(), "head")
	require.NoError(t, os.WriteFile(head, []byte("POST /p/x?y=1 HTTP/1.1\r\nHost: h.test\r\nX-Prompt: a\r\nContent-Length: 9\r\n"), 0o600))
	for name, c := range map[string]struct {
		command  explainCommand
		answer   gateway.Explanation
		status   int
		query    string
		contains []string
	}{
		"by name": {explainCommand{Route: "chat", Customer: "c", Parts: "a:9,b:1", Tokens: "10,5"}, choice, 200, "customer=c&parts=a%3A9%2Cb%3A1&route=chat&tokens=10%2C5",
			[]string{"queue 8.0, prefill 4.5", "left out: draining", "placed on i-1: expected wait 8.0 ms", "refused from 400.0 ms"}},
		"by head":   {explainCommand{Head: head}, refusal, 200, "host=h.test&path=%2Fp%2Fx", []string{"refused: overloaded, the latency target can't be met; return after 250 ms"}},
		"as JSON":   {explainCommand{Route: "chat", JSON: true}, choice, 200, "route=chat", []string{`"endpoint":"i-1"`}},
		"not ready": {explainCommand{Route: "chat"}, choice, 503, "route=chat", nil},
	} {
		t.Run(name, func(t *testing.T) {
			var got *http.Request
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				got = r
				if c.status != 200 {
					http.Error(w, "the entry is not ready", c.status)
					return
				}
				require.NoError(t, json.NewEncoder(w).Encode(c.answer))
			}))
			defer srv.Close()
			var out strings.Builder
			err := c.command.ask(t.Context(), &out, strings.TrimPrefix(srv.URL, "http://"))
			require.Equal(t, c.query, got.URL.RawQuery)
			if c.status != 200 {
				require.EqualError(t, err, "the entry is not ready")
				return
			}
			require.NoError(t, err)
			for _, text := range c.contains {
				require.Contains(t, out.String(), text)
			}
			if c.command.Head != "" {
				require.Equal(t, "a", got.Header.Get("X-Prompt"))
			}
		})
	}
	both := explainCommand{Head: head, Route: "chat"}
	require.ErrorContains(t, both.ask(t.Context(), &strings.Builder{}, "127.0.0.1:1"), "leave out --route")
	missing := explainCommand{Head: head + "x"}
	require.ErrorContains(t, missing.ask(t.Context(), &strings.Builder{}, "127.0.0.1:1"), "readable file")
}
