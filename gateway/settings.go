package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/tailscale/hujson"
)

// Settings of a forwarding entry: JSON with comments. Unknown fields are ignored,
// so that a newer platform can start an older program.
type Settings struct {
	ID            string `json:"id"`            // of this host, in logs and as the holder of orders
	Host          string `json:"host"`          // IP number of this host
	FailureDomain string `json:"failureDomain"` // of this host
	CallerAddress string `json:"callerAddress"` // IP:PORT that callers connect to
	ReadyAddress  string `json:"readyAddress"`  // IP:PORT of the readiness check
	LogAddress    string `json:"logAddress"`    // IP:PORT of the platform's log
	PeerPorts     [2]int `json:"peerPorts"`     // first and last port between processes
	MetricsPort   int    `json:"metricsPort"`   // of the metrics, 0 for none

	DrainMs         int64   `json:"drainMs"`     // from an endpoint's leaving to the last request sent to it
	GraceS          float64 `json:"graceS"`      // from SIGTERM to SIGKILL
	RevokeMs        int64   `json:"revokeMs"`    // from a key's removal to its refusal
	BudgetRatio     float64 `json:"budgetRatio"` // share of requests that may be sent again
	BudgetWindowS   float64 `json:"budgetWindowS"`
	VersionMs       int64   `json:"versionMs"`       // from a named version to the last request on an older one
	OrderHandoverMs int64   `json:"orderHandoverMs"` // between the orders of two holders
	MemoryMb        int64   `json:"memoryMb"`
}

// LoadSettings reads and checks a settings file.
func LoadSettings(path string) (Settings, error) {
	var s Settings
	data, err := os.ReadFile(path)
	if err != nil {
		return s, fmt.Errorf("read the settings: %w; set the path of a readable file", err)
	}
	plain, err := hujson.Standardize(data)
	if err != nil {
		return s, fmt.Errorf("settings %s: %w; write JSON, comments are allowed", path, err)
	}
	d := json.NewDecoder(bytes.NewReader(plain))
	if err := d.Decode(&s); err != nil {
		return s, fmt.Errorf("settings %s: %w", path, err)
	}
	if err := s.check(); err != nil {
		return s, fmt.Errorf("settings %s: %w", path, err)
	}
	return s, nil
}

func (s *Settings) check() error {
	var errs []error
	required := func(name, v string) {
		if v == "" {
			errs = append(errs, fmt.Errorf("%s is missing", name))
		}
	}
	address := func(name, v string) {
		if _, err := netip.ParseAddrPort(v); err != nil {
			errs = append(errs, fmt.Errorf("%s is %q, not IP:PORT", name, v))
		}
	}
	positive := func(name string, v float64) {
		if v <= 0 {
			errs = append(errs, fmt.Errorf("%s is %v; give a number above 0", name, v))
		}
	}
	required("id", s.ID)
	required("failureDomain", s.FailureDomain)
	if _, err := netip.ParseAddr(s.Host); err != nil {
		errs = append(errs, fmt.Errorf("host is %q, not an IP number", s.Host))
	}
	address("callerAddress", s.CallerAddress)
	address("readyAddress", s.ReadyAddress)
	address("logAddress", s.LogAddress)
	if s.PeerPorts[0] <= 0 || s.PeerPorts[1] <= s.PeerPorts[0] || s.PeerPorts[1] > 65535 {
		errs = append(errs, fmt.Errorf("peerPorts is %v; give two ports, the lower one first", s.PeerPorts))
	}
	positive("drainMs", float64(s.DrainMs))
	positive("graceS", s.GraceS)
	positive("revokeMs", float64(s.RevokeMs))
	positive("budgetRatio", s.BudgetRatio)
	positive("budgetWindowS", s.BudgetWindowS)
	positive("versionMs", float64(s.VersionMs))
	positive("orderHandoverMs", float64(s.OrderHandoverMs))
	return errors.Join(errs...)
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
