package agent

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/hostlist"
	"github.com/galenaweir/galenaweir/logsvc"
	"github.com/galenaweir/galenaweir/protocol/streaming"
	"github.com/galenaweir/galenaweir/rpc"
	"github.com/galenaweir/galenaweir/storeclient"
)

// Guards against heads of megabytes, from any outside system, that use up an agent's memory.
func TestHeadsOfAnswersAreShort(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Long", strings.Repeat("a", 1<<20))
	}))
	defer srv.Close()
	for name, call := range outsideCalls(t, srv.Listener.Addr().String()) {
		require.ErrorContains(t, call(), "headers exceeded", name)
	}
}

// outsideCalls returns a call to each outside system, all at the same address.
func outsideCalls(t *testing.T, address string) map[string]func() error {
	return map[string]func() error{
		"engine": func() error { _, err := streaming.New().LoadReport(t.Context(), address); return err },
		"store": func() error {
			_, err := storeclient.New(storeclient.DefaultOptions()).Usage(t.Context(), address)
			return err
		},
		"log":       func() error { _, err := logsvc.New(address, time.Minute).Read(t.Context(), "s", 0, 0); return err },
		"host list": func() error { _, err := hostlist.New(address, time.Minute).Hosts(t.Context()); return err },
		"service": func() error {
			_, err := newServiceCalls().roundTrip(t.Context(), config.Endpoint{Address: address}, &rpc.CallRequest{Method: "GET", Path: "/"})
			return err
		},
	}
}
