package stricthttp

import "net/http"

// Transport is an http.Transport that returns no broken response as a whole one.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport with the settings of t. It replaces a nil DialContext.
func NewTransport(t *http.Transport) *Transport {
	if t.DialContext == nil {
		t.DialContext = new(Dialer).DialContext
	}
	return &Transport{t}
}
