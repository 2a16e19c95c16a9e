// Package settings reads the settings of a process: JSON with comments.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"

	"github.com/tailscale/hujson"
)

// Settings of one process. Every field has its unit in its name or comment.
type Settings struct {
	ID            string `json:"id"`             // unique among all processes
	FailureDomain string `json:"failure_domain"` // as in the configuration document
	Region        string `json:"region"`

	RPCAddress      string `json:"rpc_address"`      // IP number and port for other processes
	CallerAddress   string `json:"caller_address"`   // entries only: IP number and port for callers
	OperatorAddress string `json:"operator_address"` // IP number and port for metrics and health

	LogAddress      string   `json:"log_address"`       // platform's log service
	HostListAddress string   `json:"host_list_address"` // platform's host list
	Peers           []string `json:"peers"`             // addresses to try when the host list is unavailable

	// CacheSecret is 32 bytes in hex, the same on all processes of a
	// deployment; all customer keys derive from it.
	CacheSecret string `json:"cache_secret"`

	SilenceLimitMs int64 `json:"silence_limit_ms"` // default 2000, 100 to 10000
	LogTimeoutMs   int64 `json:"log_timeout_ms"`   // default 1000, 50 to 30000
	LogRetentionS  int64 `json:"log_retention_s"`  // default 604800; how long the log keeps records
	DrainTimeoutMs int64 `json:"drain_timeout_ms"` // default 600000; how long running answers may take after SIGTERM

	MaxBodyBytes int64 `json:"max_body_bytes"` // entries only; default 4 MiB

	TLS TLS `json:"tls"`
}

// TLS names certificate files. Plain TCP is used only when Off is true.
type TLS struct {
	Off        bool   `json:"off"`
	CertFile   string `json:"cert_file"`
	KeyFile    string `json:"key_file"`
	CAFile     string `json:"ca_file"`     // for mutual TLS between own processes
	CallerCert string `json:"caller_cert"` // entries only; towards callers
	CallerKey  string `json:"caller_key"`
}

// Defaults returns settings with the defaults set.
func Defaults() Settings {
	return Settings{SilenceLimitMs: 2000, LogTimeoutMs: 1000, LogRetentionS: 604_800, DrainTimeoutMs: 600_000, MaxBodyBytes: 4 << 20}
}

// Load reads and checks the file.
func Load(path string) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read the settings: %w; give the file with --config", err)
	}
	s, err := Parse(b)
	if err != nil {
		return Settings{}, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Parse decodes and checks settings. Unknown keys and values of the wrong type
// are errors that name the key and the line.
func Parse(text []byte) (Settings, error) {
	s := Defaults()
	std, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return s, fmt.Errorf("not valid JSON with comments: %w", err)
	}
	d := json.NewDecoder(bytes.NewReader(std))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return s, describe(std, d.InputOffset(), err)
	}
	return s, s.check()
}

func describe(text []byte, offset int64, err error) error {
	var t *json.UnmarshalTypeError
	if errors.As(err, &t) {
		return fmt.Errorf("line %d: %s has the wrong type %s; give a %s", line(text, t.Offset), t.Field, t.Value, t.Type)
	}
	return fmt.Errorf("line %d: %w; remove the key or correct its name", line(text, offset), err)
}

func line(text []byte, offset int64) int {
	return 1 + bytes.Count(text[:min(int(offset), len(text))], []byte("\n"))
}

const cacheSecretHexDigits = 64

func (s *Settings) check() error {
	var errs []error
	need := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	need(s.ID != "", "id is empty; give this process a name of its own")
	need(s.FailureDomain != "", "failure_domain is empty; name this host's failure domain")
	for _, a := range []struct{ key, value string }{
		{"rpc_address", s.RPCAddress}, {"operator_address", s.OperatorAddress},
		{"log_address", s.LogAddress}, {"host_list_address", s.HostListAddress},
	} {
		_, err := netip.ParseAddrPort(a.value)
		need(err == nil, "%s %q is not an IP number and port; write it as 10.0.0.7:7000", a.key, a.value)
	}
	need(len(s.CacheSecret) == cacheSecretHexDigits, "cache_secret has not 64 hex digits; make one with openssl rand -hex 32")
	need(s.SilenceLimitMs >= 100 && s.SilenceLimitMs <= 10_000, "silence_limit_ms is outside 100 to 10000; use 2000")
	need(s.LogTimeoutMs >= 50 && s.LogTimeoutMs <= 30_000, "log_timeout_ms is outside 50 to 30000; use 1000")
	need(s.LogRetentionS > 0, "log_retention_s is not positive; use the retention of the platform's log")
	need(s.DrainTimeoutMs > 0, "drain_timeout_ms is not positive; use 600000")
	need(s.MaxBodyBytes > 0, "max_body_bytes is not positive; use 4194304")
	need(s.TLS.Off || (s.TLS.CertFile != "" && s.TLS.KeyFile != "" && s.TLS.CAFile != ""),
		"tls needs cert_file, key_file and ca_file; give them, or set tls.off to true on a trusted network")
	return errors.Join(errs...)
}
