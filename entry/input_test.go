package entry_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/prefix"
	"github.com/galenaweir/galenaweir/standin/engine"
)

// promptMarker is part of every prompt of these tests, as customerSecret is of every
// API key, so that both can be searched for in logs, errors and metrics.
const promptMarker = "prompt-marker"

// capturedLog holds the log of all tests of the package.
var capturedLog recordingBuffer

// TestMain guards against prompt text or API keys in the log of any test.
func TestMain(m *testing.M) {
	log.DefaultLogger = log.Logger{Level: log.TraceLevel, Writer: &log.IOWriter{Writer: &capturedLog}}
	code := m.Run()
	for _, s := range []string{promptMarker, customerSecret} {
		if strings.Contains(capturedLog.String(), s) {
			fmt.Fprintf(os.Stderr, "FAIL: the log contains %q\n", s)
			code = 1
		}
	}
	os.Exit(code)
}

// post sends a request and returns the response's status and body.
func (ts *testStack) post(path, body string, header ...string) (int, string) {
	r, err := http.NewRequestWithContext(ts.t.Context(), http.MethodPost, ts.url+path, strings.NewReader(body))
	require.NoError(ts.t, err)
	r.Header.Set("Authorization", "Bearer "+customerID+"."+customerSecret)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	require.NoError(ts.t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	require.NoError(ts.t, err)
	return resp.StatusCode, string(b)
}

// chatBody returns a valid chat request with additional fields.
func chatBody(fields string) string {
	return `{"model":"` + model + `","max_tokens":3,"messages":[{"role":"user","content":"` + promptMarker + `"}]` + fields + `}`
}

// Guards against invalid input that crashes the process, is accepted, or is answered
// with an error of the wrong kind or without a message.
func TestBadInput(t *testing.T) {
	const chat, completions = "/v1/chat/completions", "/v1/completions"
	ts := newTestStack(t, 1)
	for _, c := range []struct {
		name, path, body string
		header           []string
		status           int
		kind             string
	}{
		{"too large", chat, chatBody(`,"user":"` + strings.Repeat("x", 1<<16) + `"`), nil, 413, "too_large"},
		{"broken JSON", chat, `{"model":`, nil, 400, "invalid_request"},
		{"two bodies", chat, chatBody("") + chatBody(""), nil, 400, "invalid_request"},
		{"empty", chat, "", nil, 400, "invalid_request"},
		{"not an object", chat, "[1]", nil, 400, "invalid_request"},
		{"invalid UTF-8", chat, chatBody(`,"user":"` + "\xff" + `"`), nil, 400, "invalid_request"},
		{"unknown model", chat, `{"model":"x","messages":[{"role":"user","content":"` + promptMarker + `"}]}`, nil, 404, "unknown_model"},
		{"unknown customer", chat, chatBody(""), []string{"Authorization", "Bearer nobody." + customerSecret}, 401, "unauthenticated"},
		{"wrong key", chat, chatBody(""), []string{"Authorization", "Bearer " + customerID + ".x" + customerSecret}, 401, "unauthenticated"},
		{"key of another customer", chat, chatBody(""), []string{"Authorization", "Bearer " + otherCustomerID + "." + customerSecret}, 401, "unauthenticated"},
		{"no key", chat, chatBody(""), []string{"Authorization", ""}, 401, "unauthenticated"},
		{"large header", chat, chatBody(""), []string{"Galenaweir-Conversation", strings.Repeat("x", 40<<10)}, 413, "too_large"},
		{"max_tokens absurd", chat, chatBody(`,"max_completion_tokens":9223372036854775807`), nil, 413, "too_large"},
		{"max_tokens beyond integers", chat, chatBody(`,"max_completion_tokens":1e300`), nil, 400, "invalid_request"},
		{"max_tokens negative", chat, chatBody(`,"max_completion_tokens":-1`), nil, 400, "invalid_request"},
		{"max_tokens text", chat, chatBody(`,"max_completion_tokens":"many"`), nil, 400, "invalid_request"},
		{"no messages", chat, `{"model":"` + model + `","messages":[]}`, nil, 400, "invalid_request"},
		{"image part", chat, `{"model":"` + model + `","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, nil, 400, "invalid_request"},
		{"content a number", chat, `{"model":"` + model + `","messages":[{"role":"user","content":7}]}`, nil, 400, "invalid_request"},
		{"unknown role", chat, `{"model":"` + model + `","messages":[{"role":"|>` + promptMarker + `","content":"x"}]}`, nil, 400, "invalid_request"},
		{"two answers", chat, chatBody(`,"n":2`), nil, 400, "invalid_request"},
		{"tools", chat, chatBody(`,"tools":[{"type":"function"}]`), nil, 400, "invalid_request"},
		{"prompt list", completions, `{"model":"` + model + `","prompt":["` + promptMarker + `"]}`, nil, 400, "invalid_request"},
		{"no prompt", completions, `{"model":"` + model + `"}`, nil, 400, "invalid_request"},
		{"priority unknown", chat, chatBody(""), []string{"Galenaweir-Priority", "urgent"}, 400, "invalid_request"},
		{"priority too high", chat, chatBody(""), []string{"Galenaweir-Priority", "interactive"}, 403, "forbidden"},
		{"deadline malformed", chat, chatBody(""), []string{"Galenaweir-Deadline-Ms", "-5"}, 400, "invalid_request"},
		{"no such path", "/v1/embeddings", chatBody(""), nil, 404, "not_found"},
	} {
		t.Run(c.name, func(t *testing.T) {
			status, body := ts.post(c.path, c.body, c.header...)
			require.Equal(t, c.status, status, body)
			var e struct {
				Error struct{ Type, Ran, Message string }
			}
			require.NoError(t, json.Unmarshal([]byte(body), &e), body)
			require.Equal(t, c.kind, e.Error.Type, body)
			require.Equal(t, "not_run", e.Error.Ran)
			require.NotEmpty(t, e.Error.Message)
			require.NotContains(t, body, promptMarker)
			require.NotContains(t, body, customerSecret)
		})
	}
	ts.requireComplete(ts.streamChat(t.Context(), "after all that", 5, nil), "after all that", 5)
	require.Contains(t, capturedLog.String(), `"decision":"route"`, "the log is captured")
	require.NotContains(t, ts.metrics.String(), promptMarker)
	require.NotContains(t, ts.metrics.String(), customerSecret)
	require.Contains(t, ts.metrics.String(), `"first_token":{"standard":{"count":1,`)
}

// Guards against refusing requests of common clients because of fields that don't
// affect the format of the answer, or of content given in parts.
func TestAcceptedShapes(t *testing.T) {
	ts := newTestStack(t, 1)
	want := engine.Output(prefix.Render([]prefix.Message{{Role: "system", Content: ""}, {Role: "user", Content: "permit GJ"}}), 3)
	status, body := ts.post("/v1/chat/completions", `{"model":"`+model+`","max_tokens":3,"messages":[{"role":"system","content":null},
		{"role":"user","name":"clerk","content":[{"type":"text","text":"permit "},{"type":"text","text":"GJ"}]}],
		"temperature":0.2,"top_p":1,"stop":["\n"],"seed":4,"n":1,"presence_penalty":0,"frequency_penalty":0,"logit_bias":{},
		"user":"u","metadata":{"a":"b"},"response_format":{"type":"text"},"logprobs":false,"tools":[],"unheard_of":[]}`)
	require.Equal(t, 200, status, body)
	require.Contains(t, body, want)
}

// Guards against an incomplete request that occupies a connection forever.
func TestIncompleteRequest(t *testing.T) {
	ts := newTestStack(t, 1)
	c, err := net.Dial("tcp", strings.TrimPrefix(ts.url, "http://"))
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(waitTimeout)))
	_, err = fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s.%s\r\nContent-Length: 100\r\n\r\n{", customerID, customerSecret)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusBadRequest, resp.StatusCode)
	require.Contains(t, string(b), "did not arrive within")
}

// Guards against a client that doesn't read its answer and keeps the engine busy.
func TestCallerDoesNotRead(t *testing.T) {
	ts := newTestStack(t, 1)
	c, err := net.Dial("tcp", strings.TrimPrefix(ts.url, "http://"))
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.(*net.TCPConn).SetReadBuffer(1<<10))
	body := strings.Replace(chatBody(`,"stream":true`), `"max_tokens":3`, `"max_tokens":30000`, 1)
	_, err = fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s.%s\r\nContent-Length: %d\r\n\r\n%s", customerID, customerSecret, len(body), body)
	require.NoError(t, err)
	ts.eventually(func() bool { return !ts.enginesIdle() }, "the engine is running")
	ts.eventually(ts.enginesIdle, "the engine is idle")
	require.Contains(t, ts.metrics.LabeledCounter("requests").String(), "chat.cancelled")
}
