package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against request smuggling: bytes that this process parses as a body and an endpoint
// as another request, or the reverse. The cases use contradicting lengths, malformed chunks,
// and line ends and headers that parsers interpret differently. The bytes after the first
// request name a hidden path and carry no key, so no endpoint may see that path.
func TestRequestsAreNotSmuggled(t *testing.T) {
	const hidden = "POST /unsafe/hidden HTTP/1.1\r\nHost: service.test\r\nContent-Length: 0\r\n\r\n"
	const head = "POST /unsafe/first HTTP/1.1\r\nHost: service.test\r\nTest-Key: key\r\nTest-Id: first\r\n"
	cases := map[string]struct {
		raw  string
		body string // expected at the endpoint, "-" if it must get no request
	}{
		"plain":                         {head + "Content-Length: 4\r\n\r\nbody" + hidden, "body"},
		"two lengths":                   {head + "Content-Length: 4\r\nContent-Length: 30\r\n\r\nbody" + hidden, "-"},
		"two equal lengths":             {head + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody" + hidden, "body"},
		"list of lengths":               {head + "Content-Length: 4, 30\r\n\r\nbody" + hidden, "-"},
		"length with a sign":            {head + "Content-Length: +4\r\n\r\nbody" + hidden, "-"},
		"negative length":               {head + "Content-Length: -4\r\n\r\nbody" + hidden, "-"},
		"length in hexadecimal":         {head + "Content-Length: 0x4\r\n\r\nbody" + hidden, "-"},
		"length with chunks":            {head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n" + hidden, "ab"},
		"chunks with length":            {head + "Transfer-Encoding: chunked\r\nContent-Length: 9\r\n\r\n2\r\nab\r\n0\r\n\r\n" + hidden, "ab"},
		"two codings":                   {head + "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n" + hidden, "-"},
		"chunked twice":                 {head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n" + hidden, "-"},
		"unknown coding":                {head + "Transfer-Encoding: xchunked\r\nContent-Length: 4\r\n\r\nbody" + hidden, "-"},
		"coding with a tab":             {head + "Transfer-Encoding:\tchunked\r\n\r\n2\r\nab\r\n0\r\n\r\n" + hidden, "ab"},
		"space before the colon":        {head + "Transfer-Encoding : chunked\r\nContent-Length: 4\r\n\r\nbody" + hidden, "-"},
		"space before the length":       {head + " Content-Length: 30\r\nContent-Length: 4\r\n\r\nbody" + hidden, "body"},
		"folded header":                 {head + "X-Folded: a\r\n Content-Length: 30\r\nContent-Length: 4\r\n\r\nbody" + hidden, "body"},
		"bare line feeds":               {strings.ReplaceAll(head, "\r\n", "\n") + "Content-Length: 4\n\nbody" + hidden, "body"},
		"bare carriage return":          {head + "X-A: b\rContent-Length: 30\r\nContent-Length: 4\r\n\r\nbody" + hidden, "-"},
		"line feed in a chunk":          {head + "Transfer-Encoding: chunked\r\n\r\n2\nab\n0\n\n" + hidden, "-"},
		"chunk size with a sign":        {head + "Transfer-Encoding: chunked\r\n\r\n+2\r\nab\r\n0\r\n\r\n" + hidden, "-"},
		"chunk size beyond 64 bits":     {head + "Transfer-Encoding: chunked\r\n\r\n10000000000000002\r\nab\r\n0\r\n\r\n" + hidden, "-"},
		"huge chunk extension":          {head + "Transfer-Encoding: chunked\r\n\r\n2;" + strings.Repeat("x", 1<<20) + "\r\nab\r\n0\r\n\r\n" + hidden, "-"},
		"many small chunk extensions":   {head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1;"+strings.Repeat("x", 2000)+"\r\na\r\n", 500) + "0\r\n\r\n" + hidden, "-"},
		"chunk without its end":         {head + "Transfer-Encoding: chunked\r\n\r\n2\r\nabcd\r\n0\r\n\r\n" + hidden, "-"},
		"length in the trailer":         {head + "Transfer-Encoding: chunked\r\nTrailer: Content-Length\r\n\r\n2\r\nab\r\n0\r\nContent-Length: 30\r\n\r\n" + hidden, "-"},
		"length as a hop header":        {head + "Connection: Content-Length\r\nContent-Length: 4\r\n\r\nbody" + hidden, "body"},
		"body of a GET":                 {strings.Replace(head, "POST", "GET", 1) + "Content-Length: 4\r\n\r\nbody" + hidden, "body"},
		"upgrade":                       {head + "Connection: Upgrade\r\nUpgrade: h2c\r\nContent-Length: 4\r\n\r\nbody" + hidden, "body"},
		"protocol of another version":   {strings.Replace(head, "HTTP/1.1", "HTTP/1.0", 1) + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n" + hidden, "-"},
		"zero byte in a header":         {head + "X-A: \x00\r\nContent-Length: 4\r\n\r\nbody" + hidden, "-"},
		"two hosts":                     {head + "Host: other.test\r\nContent-Length: 4\r\n\r\nbody" + hidden, "-"},
		"line break in the target":      {strings.Replace(head, "/unsafe/first", "/unsafe/first\n/x", 1) + "Content-Length: 4\r\n\r\nbody" + hidden, "-"},
		"absolute target with a length": {strings.Replace(head, "/unsafe/first", "http://service.test/unsafe/first", 1) + "Content-Length: 4\r\n\r\nbody" + hidden, "body"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			type seen struct{ target, body string }
			var mu sync.Mutex
			var got []seen
			e := serveRaw(t, func(r *http.Request, conn net.Conn) bool {
				b, err := io.ReadAll(r.Body)
				mu.Lock()
				got = append(got, seen{r.RequestURI, string(b)})
				mu.Unlock()
				if err != nil || len(r.TransferEncoding) > 0 && r.ContentLength > 0 {
					return false
				}
				_, err = io.WriteString(conn, okResponse(r, "answer"))
				return err == nil
			})
			f := newFixture(t, e)
			conn, err := net.Dial("tcp", f.srv.Listener.Addr().String())
			require.NoError(t, err)
			defer conn.Close()
			require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
			go func() { _, _ = io.WriteString(conn, c.raw) }() // the request may be refused before it is fully sent
			br := bufio.NewReader(conn)
			resp, err := http.ReadResponse(br, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
			require.Eventually(t, func() bool { return f.inFlight.Load() == 0 }, 2*time.Second, time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			for _, s := range got {
				require.NotContains(t, s.target, "hidden")
				require.NotContains(t, s.body, "hidden")
			}
			if c.body == "-" {
				require.Empty(t, got)
				return
			}
			require.NoError(t, err)
			require.Len(t, got, 1)
			require.Equal(t, c.body, got[0].body)
		})
	}
}

// Guards against response splitting: an endpoint's response that a caller parses differently
// from this process, by bytes that look like another response or headers that hide the end.
func TestResponsesAreNotSplit(t *testing.T) {
	const hidden = "HTTP/1.1 200 OK\r\nTest-Id: x\r\nTest-Seal: s\r\nContent-Length: 6\r\n\r\nhidden"
	head := func(r *http.Request) string {
		return "HTTP/1.1 200 OK\r\nTest-Id: " + r.Header.Get("Test-Id") + "\r\nTest-Seal: s\r\n"
	}
	for name, rest := range map[string]string{
		"two lengths":            "Content-Length: 2\r\nContent-Length: 90\r\n\r\nok" + hidden,
		"length with chunks":     "Content-Length: 90\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n" + hidden,
		"negative length":        "Content-Length: -2\r\n\r\nok" + hidden,
		"unknown coding":         "Transfer-Encoding: gzip\r\n\r\nok" + hidden,
		"length in the trailer":  "Transfer-Encoding: chunked\r\nTrailer: Content-Length\r\n\r\n2\r\nok\r\n0\r\nContent-Length: 90\r\n\r\n" + hidden,
		"folded header":          "X-A: b\r\n Content-Length: 90\r\nContent-Length: 2\r\n\r\nok" + hidden,
		"space before the colon": "Content-Length : 90\r\nContent-Length: 2\r\n\r\nok" + hidden,
		"huge chunk size":        "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nok\r\n0\r\n\r\n" + hidden,
	} {
		t.Run(name, func(t *testing.T) {
			e := serveRaw(t, func(r *http.Request, c net.Conn) bool {
				_, err := io.WriteString(c, head(r)+rest)
				return err == nil && name != "huge chunk size" // an open connection would be read until the timeout
			})
			f := newFixture(t, e)
			for range 3 {
				status, body, err := f.do(t, f.request(t, "POST", "/unsafe/x", "pay"))
				if err != nil {
					continue // the connection was closed, so the response does not look complete
				}
				require.NotContains(t, body, "hidden")
				if status == 200 {
					require.Equal(t, "ok", body)
				} else {
					require.Contains(t, []int{502, 504}, status)
				}
			}
		})
	}
}
