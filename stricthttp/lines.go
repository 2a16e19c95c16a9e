package stricthttp

import (
	"errors"
	"net/http"
	"strings"
)

var (
	errFolded          = errors.New("the head of the response has a folded line")
	errEncodingUnknown = errors.New("the response has a Transfer-Encoding, which its version of HTTP doesn't know")
)

const transferEncoding = "transfer-encoding:"

// HeadLines looks at the lines of a head for what net/http changes before its users see the head: it
// joins folded lines, and drops the Transfer-Encoding of HTTP/1.0. Others may read another length.
type HeadLines struct {
	start       [len(transferEncoding)]byte // of the current line
	startBytes  int
	lines       int  // that have ended
	ended       bool // the rest is the body
	folded      bool
	hasEncoding bool
}

// Scan takes the next bytes of the head, and of what follows it.
func (l *HeadLines) Scan(p []byte) {
	for _, b := range p {
		switch {
		case l.ended:
			return
		case b == '\n':
			l.endLine()
		case l.startBytes < len(l.start):
			l.start[l.startBytes] = b
			l.startBytes++
		}
	}
}

func (l *HeadLines) endLine() {
	start := string(l.start[:l.startBytes])
	l.startBytes = 0
	l.lines++
	l.ended = start == "" || start == "\r"
	l.folded = l.folded || l.lines > 1 && (strings.HasPrefix(start, " ") || strings.HasPrefix(start, "\t"))
	l.hasEncoding = l.hasEncoding || strings.EqualFold(start, transferEncoding)
}

// Check returns an error if another reader may take the response for another one.
func (l *HeadLines) Check(resp *http.Response) error {
	switch {
	case l.folded:
		return errFolded
	case l.hasEncoding && !resp.ProtoAtLeast(1, 1):
		return errEncodingUnknown
	}
	return nil
}
