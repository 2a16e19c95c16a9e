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

// marker stands in every prompt of these tests, as secret does in every key.
const marker = "prompt-marker"

// logs keeps the log of the whole run.
var logs tap

// TestMain guards against prompt text or keys in the log of any test.
func TestMain(m *testing.M) {
	log.DefaultLogger = log.Logger{Level: log.TraceLevel, Writer: &log.IOWriter{Writer: &logs}}
	code := m.Run()
	for _, s := range []string{marker, secret} {
		if strings.Contains(logs.String(), s) {
			fmt.Fprintf(os.Stderr, "FAIL: the log contains %q\n", s)
			code = 1
		}
	}
	os.Exit(code)
}

// post sends a body and returns the status and the answer.
func (p *path) post(path, body string, header ...string) (int, string) {
	r, err := http.NewRequestWithContext(p.t.Context(), http.MethodPost, p.url+path, strings.NewReader(body))
	require.NoError(p.t, err)
	r.Header.Set("Authorization", "Bearer "+customerID+"."+secret)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	require.NoError(p.t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	require.NoError(p.t, err)
	return resp.StatusCode, string(b)
}

// chatBody returns a body whose fields are those given and a valid rest.
func chatBody(fields string) string {
	return `{"model":"` + model + `","max_tokens":3,"messages":[{"role":"user","content":"` + marker + `"}]` + fields + `}`
}

// Guards against input that ends the process, is taken for something else, or
// is answered with an error that names nothing.
func TestBadInput(t *testing.T) {
	const chat, completions = "/v1/chat/completions", "/v1/completions"
	p := newPath(t, 1)
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
		{"unknown model", chat, `{"model":"x","messages":[{"role":"user","content":"` + marker + `"}]}`, nil, 404, "unknown_model"},
		{"unknown customer", chat, chatBody(""), []string{"Authorization", "Bearer nobody." + secret}, 401, "unauthenticated"},
		{"wrong key", chat, chatBody(""), []string{"Authorization", "Bearer " + customerID + ".x" + secret}, 401, "unauthenticated"},
		{"key of another customer", chat, chatBody(""), []string{"Authorization", "Bearer " + otherID + "." + secret}, 401, "unauthenticated"},
		{"no key", chat, chatBody(""), []string{"Authorization", ""}, 401, "unauthenticated"},
		{"large header", chat, chatBody(""), []string{"Galenaweir-Conversation", strings.Repeat("x", 40<<10)}, 413, "too_large"},
		{"max_tokens absurd", chat, chatBody(`,"max_completion_tokens":9223372036854775807`), nil, 413, "too_large"},
		{"max_tokens beyond integers", chat, chatBody(`,"max_completion_tokens":1e300`), nil, 400, "invalid_request"},
		{"max_tokens negative", chat, chatBody(`,"max_completion_tokens":-1`), nil, 400, "invalid_request"},
		{"max_tokens text", chat, chatBody(`,"max_completion_tokens":"many"`), nil, 400, "invalid_request"},
		{"no messages", chat, `{"model":"` + model + `","messages":[]}`, nil, 400, "invalid_request"},
		{"image part", chat, `{"model":"` + model + `","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, nil, 400, "invalid_request"},
		{"content a number", chat, `{"model":"` + model + `","messages":[{"role":"user","content":7}]}`, nil, 400, "invalid_request"},
		{"unknown role", chat, `{"model":"` + model + `","messages":[{"role":"|>` + marker + `","content":"x"}]}`, nil, 400, "invalid_request"},
		{"two answers", chat, chatBody(`,"n":2`), nil, 400, "invalid_request"},
		{"tools", chat, chatBody(`,"tools":[{"type":"function"}]`), nil, 400, "invalid_request"},
		{"prompt list", completions, `{"model":"` + model + `","prompt":["` + marker + `"]}`, nil, 400, "invalid_request"},
		{"no prompt", completions, `{"model":"` + model + `"}`, nil, 400, "invalid_request"},
		{"priority unknown", chat, chatBody(""), []string{"Galenaweir-Priority", "urgent"}, 400, "invalid_request"},
		{"priority too high", chat, chatBody(""), []string{"Galenaweir-Priority", "interactive"}, 403, "forbidden"},
		{"deadline malformed", chat, chatBody(""), []string{"Galenaweir-Deadline-Ms", "-5"}, 400, "invalid_request"},
		{"no such path", "/v1/embeddings", chatBody(""), nil, 404, "not_found"},
	} {
		t.Run(c.name, func(t *testing.T) {
			status, body := p.post(c.path, c.body, c.header...)
			require.Equal(t, c.status, status, body)
			var e struct {
				Error struct{ Type, Ran, Message string }
			}
			require.NoError(t, json.Unmarshal([]byte(body), &e), body)
			require.Equal(t, c.kind, e.Error.Type, body)
			require.Equal(t, "not_run", e.Error.Ran)
			require.NotEmpty(t, e.Error.Message)
			require.NotContains(t, body, marker)
			require.NotContains(t, body, secret)
		})
	}
	p.requireWhole(p.ask(t.Context(), "after all that", 5, nil), "after all that", 5)
	require.Contains(t, logs.String(), `"decision":"route"`, "the log is captured")
	require.NotContains(t, p.figures.String(), marker)
	require.NotContains(t, p.figures.String(), secret)
	require.Contains(t, p.figures.String(), `"first_token":{"standard":{"count":1,`)
}

// Guards against requests of usual clients being refused for fields that don't
// change the answer's shape, or for text given in parts.
func TestAcceptedShapes(t *testing.T) {
	p := newPath(t, 1)
	want := engine.Answer(prefix.Render([]prefix.Message{{Role: "system", Content: ""}, {Role: "user", Content: "permit GJ"}}), 3)
	status, body := p.post("/v1/chat/completions", `{"model":"`+model+`","max_tokens":3,"messages":[{"role":"system","content":null},
		{"role":"user","name":"clerk","content":[{"type":"text","text":"permit "},{"type":"text","text":"GJ"}]}],
		"temperature":0.2,"top_p":1,"stop":["\n"],"seed":4,"n":1,"presence_penalty":0,"frequency_penalty":0,"logit_bias":{},
		"user":"u","metadata":{"a":"b"},"response_format":{"type":"text"},"logprobs":false,"tools":[],"unheard_of":[]}`)
	require.Equal(t, 200, status, body)
	require.Contains(t, body, want)
}

// Guards against a caller that sends half of a request holding it for ever.
func TestHalfRequest(t *testing.T) {
	p := newPath(t, 1)
	c, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(waitLimit)))
	_, err = fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s.%s\r\nContent-Length: 100\r\n\r\n{", customerID, secret)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusBadRequest, resp.StatusCode)
	require.Contains(t, string(b), "did not arrive within")
}

// Guards against a caller that takes nothing of its answer holding the engine.
func TestCallerDoesNotRead(t *testing.T) {
	p := newPath(t, 1)
	c, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.(*net.TCPConn).SetReadBuffer(1<<10))
	body := strings.Replace(chatBody(`,"stream":true`), `"max_tokens":3`, `"max_tokens":30000`, 1)
	_, err = fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s.%s\r\nContent-Length: %d\r\n\r\n%s", customerID, secret, len(body), body)
	require.NoError(t, err)
	p.eventually(func() bool { return !p.enginesIdle() }, "the engine runs")
	p.eventually(p.enginesIdle, "the engine is free")
	require.Contains(t, p.figures.CountBy("requests").String(), "chat.cancelled")
}
