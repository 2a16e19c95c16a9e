// Package settings reads the settings of a process, which are JSON with comments. The
// struct tags are the only source of units, defaults and limits: Parse enforces them,
// and docs/settings.md is generated from them.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"

	"github.com/tailscale/hujson"
)

//go:generate go run ./gendoc ../docs/settings.md

// Settings holds the settings of one process.
type Settings struct {
	ID            string `json:"id" doc:"name of this process, unique in the deployment"`
	FailureDomain string `json:"failure_domain" doc:"failure domain of this host, as in the configuration document"`
	Region        string `json:"region" doc:"region of the failure domain" optional:"true"`

	RPCAddress      string `json:"rpc_address" unit:"IP number and port" doc:"gRPC server towards the other processes"`
	CallerAddress   string `json:"caller_address" unit:"IP number and port" optional:"true" doc:"entries only: HTTP server towards callers"`
	OperatorAddress string `json:"operator_address" unit:"IP number and port" doc:"HTTP server with /debug/vars, /healthz and /readyz; not for callers"`

	LogAddress      string   `json:"log_address" unit:"IP number and port" doc:"the platform's log service"`
	HostListAddress string   `json:"host_list_address" unit:"IP number and port" doc:"the platform's host list"`
	Peers           []string `json:"peers" unit:"IP numbers and ports" optional:"true" doc:"processes to try when the host list is unavailable"`

	// CacheSecret is the secret from which all customer keys are derived.
	CacheSecret string `json:"cache_secret" unit:"64 hex digits" doc:"the same secret on all processes of a deployment; made with openssl rand -hex 32"`

	SilenceLimitMs int64 `json:"silence_limit_ms" unit:"ms" default:"2000" min:"100" max:"10000" doc:"how long an open stream may send nothing before it is resumed on a new connection"`
	LogTimeoutMs   int64 `json:"log_timeout_ms" unit:"ms" default:"1000" min:"50" max:"30000" doc:"for one call of the log service"`
	LogRetentionS  int64 `json:"log_retention_s" unit:"s" default:"604800" min:"7200" max:"31536000" doc:"how long the log keeps records"`
	DrainDelayMs   int64 `json:"drain_delay_ms" unit:"ms" default:"3000" min:"0" max:"60000" doc:"entries only: how long requests are still taken after the readiness has failed, until the balancer has noticed"`
	DrainTimeoutMs int64 `json:"drain_timeout_ms" unit:"ms" default:"600000" min:"1" max:"3600000" doc:"how long running answers may take after SIGTERM"`

	MaxBodyBytes    int64 `json:"max_body_bytes" unit:"bytes" default:"4194304" min:"1024" max:"14680064" doc:"entries only: largest body of a request; below the 16 MiB of a message between processes"`
	CallerTimeoutMs int64 `json:"caller_timeout_ms" unit:"ms" default:"30000" min:"100" max:"600000" doc:"entries only: for a caller to send its body, and to take each piece of its answer"`

	TLS TLS `json:"tls" doc:"certificate files"`
}

// TLS holds the paths of PEM files, which are reloaded when they change.
type TLS struct {
	Off        bool   `json:"off" optional:"true" doc:"plain TCP, for a trusted network; without it the files below are needed"`
	CertFile   string `json:"cert_file" unit:"path" optional:"true" doc:"certificate of this process, for its IP number"`
	KeyFile    string `json:"key_file" unit:"path" optional:"true" doc:"key of the certificate"`
	CAFile     string `json:"ca_file" unit:"path" optional:"true" doc:"CA of all processes of the deployment"`
	CallerCert string `json:"caller_cert" unit:"path" optional:"true" doc:"entries only: certificate towards callers"`
	CallerKey  string `json:"caller_key" unit:"path" optional:"true" doc:"entries only: key of caller_cert"`
}

// Load reads and validates the settings file at path.
func Load(path string) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings file: %w; set its path with --config", err)
	}
	s, err := Parse(b)
	if err != nil {
		return Settings{}, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Parse decodes and validates settings. Errors about unknown keys and values of the
// wrong type name the key and the line.
func Parse(text []byte) (Settings, error) {
	s := Defaults()
	v, err := hujson.Parse(text)
	if err != nil {
		return s, fmt.Errorf("not valid JSON with comments: %w", err)
	}
	root, ok := v.Value.(*hujson.Object)
	if !ok {
		return s, errors.New("line 1: settings are not a JSON object; write them as { \"id\": … }")
	}
	if err := checkKeys(text, root, "", Fields()); err != nil {
		return s, err
	}
	v.Standardize()
	if err := json.Unmarshal(v.Pack(), &s); err != nil {
		return s, typeError(v.Pack(), err)
	}
	return s, s.validate()
}

// checkKeys returns errors for the unknown and duplicate keys of an object.
func checkKeys(text []byte, o *hujson.Object, prefix string, known []Field) error {
	var errs []error
	seen := map[string]bool{}
	for _, m := range o.Members {
		key := prefix + m.Name.Value.(hujson.Literal).String()
		lineNo := lineNumber(text, m.Name.StartOffset)
		switch {
		case !isKnownKey(known, key):
			errs = append(errs, fmt.Errorf("line %d: unknown key %q; remove it or correct its name, see docs/settings.md", lineNo, key))
		case seen[key]:
			errs = append(errs, fmt.Errorf("line %d: key %q is given twice; remove one", lineNo, key))
		}
		seen[key] = true
		if nested, ok := m.Value.Value.(*hujson.Object); ok {
			errs = append(errs, checkKeys(text, nested, key+".", known))
		}
	}
	return errors.Join(errs...)
}

func isKnownKey(known []Field, key string) bool {
	for _, f := range known {
		if f.Key == key {
			return true
		}
	}
	return false
}

// typeError returns the error for settings that can't be decoded, with the key and its
// line if a value has the wrong type.
func typeError(text []byte, err error) error {
	var t *json.UnmarshalTypeError
	if errors.As(err, &t) {
		return fmt.Errorf("line %d: %s has the wrong type: got %s, want %s", lineNumber(text, int(t.Offset)), t.Field, t.Value, t.Type)
	}
	return fmt.Errorf("decode settings: %w", err)
}

func lineNumber(text []byte, offset int) int {
	n := 1
	for _, c := range text[:min(offset, len(text))] {
		if c == '\n' {
			n++
		}
	}
	return n
}

const cacheSecretHexDigits = 64

func (s *Settings) validate() error {
	errs := s.checkRanges()
	require := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	require(s.ID != "", "id is empty; set a name that is unique in the deployment")
	require(s.FailureDomain != "", "failure_domain is empty; set the failure domain of this host")
	for _, a := range []struct{ key, value string }{
		{"rpc_address", s.RPCAddress}, {"operator_address", s.OperatorAddress},
		{"log_address", s.LogAddress}, {"host_list_address", s.HostListAddress},
		{"caller_address", s.CallerAddress},
	} {
		_, err := netip.ParseAddrPort(a.value)
		require(err == nil || (a.value == "" && a.key == "caller_address"), "%s %q is not an IP address and port, such as 10.0.0.7:7000", a.key, a.value)
	}
	require(isHex(s.CacheSecret, cacheSecretHexDigits), "cache_secret does not consist of 64 hex digits; generate one with openssl rand -hex 32")
	require(s.TLS.Off || (s.TLS.CertFile != "" && s.TLS.KeyFile != "" && s.TLS.CAFile != ""),
		"tls requires cert_file, key_file and ca_file; set them, or set tls.off to true on a trusted network")
	require(s.TLS.Off || s.CallerAddress == "" || (s.TLS.CallerCert != "" && s.TLS.CallerKey != ""),
		"tls requires caller_cert and caller_key on an entry; set them, or set tls.off to true on a trusted network")
	return errors.Join(errs...)
}

func isHex(s string, digits int) bool {
	for _, c := range s {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return len(s) == digits
}
