package stricthttp

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// maxInterimResponses is the number of interim responses that may precede a response.
const maxInterimResponses = 5

var errTooManyInterim = fmt.Errorf("more than %d interim responses", maxInterimResponses)

// Transport is an http.Transport that returns no broken response as a whole one.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport with the settings of t. It replaces a nil DialContext.
func NewTransport(t *http.Transport) *Transport {
	if t.DialContext == nil {
		t.DialContext = new(Dialer).DialContext
	}
	return &Transport{t}
}

// RoundTrip implements http.RoundTripper. After a broken head it closes all idle connections: net/http
// may already have put the one of the response among them.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	interim := 0
	trace := &httptrace.ClientTrace{Got1xxResponse: func(status int, h textproto.MIMEHeader) error {
		if interim++; interim > maxInterimResponses {
			return errTooManyInterim
		}
		return checkHead(status, http.Header(h))
	}}
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(resp); err != nil {
		err = errors.Join(err, resp.Body.Close())
		t.CloseIdleConnections()
		return nil, err
	}
	return resp, nil
}
