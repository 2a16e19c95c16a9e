package stricthttp

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

var (
	errSwitchesProtocols = errors.New("the response switches to another protocol, which no request asks for")
	errInterimWithBody   = errors.New("an interim response has a body")
)

// CheckHead returns an error if http.ReadResponse has accepted a response, final or interim, whose
// head is broken. Where its body ends is then unknown, so that the connection must not be read on.
func CheckHead(resp *http.Response) error {
	if len(resp.TransferEncoding) > 0 && isInterim(resp.StatusCode) {
		return errInterimWithBody
	}
	return checkHead(resp.StatusCode, resp.Header)
}

func checkHead(status int, h http.Header) error {
	switch {
	case status < http.StatusContinue:
		return fmt.Errorf("the response has the status %03d, which does not exist", status)
	case status == http.StatusSwitchingProtocols:
		return errSwitchesProtocols
	case isInterim(status) && h.Get("Content-Length") != "" && h.Get("Content-Length") != "0":
		return errInterimWithBody
	}
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) { // net/http accepts blanks
			return fmt.Errorf("the response has a header with the name %.40q, which is none", name)
		}
	}
	return nil
}

func isInterim(status int) bool { return status < http.StatusOK }
