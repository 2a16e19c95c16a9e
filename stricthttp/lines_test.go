package stricthttp

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against lines that are missed as they arrive in pieces, and against lines of a body that count.
func TestHeadLinesInPieces(t *testing.T) {
	for head, want := range map[string]error{
		"HTTP/1.0 200 OK\r\nA: b\r\n c\r\n\r\n":                         errFolded,
		"HTTP/1.0 200 OK\nA: b\n\tc\n\n":                                errFolded,
		"HTTP/1.0 200 OK\r\nTRANSFER-Encoding:chunked\r\n\r\n":          errEncodingUnknown,
		"HTTP/1.0 200 OK\r\nTransfer-Encodings: a\r\nA: b\r\n\r\n":      nil,
		"HTTP/1.0 200 OK\r\nA: b\r\n\r\n c\r\nTransfer-Encoding: a\r\n": nil,
		"HTTP/1.0 200 OK\n\n c\nTransfer-Encoding: a\n":                 nil,
	} {
		for size := 1; size <= len(head); size++ {
			var l HeadLines
			for i := 0; i < len(head); i += size {
				l.Scan([]byte(head[i:min(i+size, len(head))]))
			}
			require.Equal(t, want, l.Check(&http.Response{ProtoMajor: 1}), "%q in pieces of %d", head, size)
		}
		var l HeadLines
		l.Scan([]byte(head))
		if want == errEncodingUnknown {
			require.NoError(t, l.Check(&http.Response{ProtoMajor: 1, ProtoMinor: 1}))
		}
	}
}
