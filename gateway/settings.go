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

// Settings holds the settings of a forwarding entry, read from JSON with comments.
// Unknown fields are ignored so that a newer platform can start an older program.
type Settings struct {
	ID            string `json:"id"`            // identifies this host in logs and as the sender of load orders
	Host          string `json:"host"`          // IP address of this host
	FailureDomain string `json:"failureDomain"` // failure domain of this host
	CallerAddress string `json:"callerAddress"` // IP:PORT that callers connect to
	ReadyAddress  string `json:"readyAddress"`  // IP:PORT of the readiness check
	LogAddress    string `json:"logAddress"`    // IP:PORT of the platform's log
	PeerPorts     [2]int `json:"peerPorts"`     // first and last port for traffic between entries
	MetricsPort   int    `json:"metricsPort"`   // port that serves metrics, 0 to disable

	DrainMs           int64   `json:"drainMs"`           // maximum time from an endpoint's removal to the last request sent to it
	GraceS            float64 `json:"graceS"`            // time from SIGTERM to SIGKILL
	RevokeMs          int64   `json:"revokeMs"`          // maximum time from the removal of a key until it is rejected
	BudgetRatio       float64 `json:"budgetRatio"`       // share of requests that may be retried
	BudgetWindowS     float64 `json:"budgetWindowS"`     // time over which that share is computed
	VersionMs         int64   `json:"versionMs"`         // maximum time from naming a weight version to the last request on an older one
	OrderHandoverMs   int64   `json:"orderHandoverMs"`   // minimum time between the load orders of two owners of an endpoint
	LogWritesPerS     float64 `json:"logWritesPerS"`     // write calls a second that the log accepts from all entries together, 400 if absent
	MemoryMb          int64   `json:"memoryMb"`          // memory of this host, 0 for no memory limit in the Go runtime and no bound on buffered responses
	WarmUpRatio       float64 `json:"warmUpRatio"`       // a warming endpoint gets at most the rate that it takes x warmUpRatio + warmUpRequests requests in any one second; no bound if both are 0
	WarmUpRequests    float64 `json:"warmUpRequests"`    // see warmUpRatio
	SharedMemberLists bool    `json:"sharedMemberLists"` // few entries read the members of a new generation of the group from the log and tell the others
	OperatorPollMs    int64   `json:"operatorPollMs"`    // how long a read waits at the log for operators' records, 1000 if absent
	HeldBytesMb       float64 `json:"heldBytesMb"`       // bound on request bodies, buffered responses and unwritten events of all requests together, 0 for none
	SharedListReads   bool    `json:"sharedListReads"`   // a few entries read the endpoint list for the others

	Scheduling *Scheduling `json:"scheduling"` // nil turns all of it off

	// SecondAttemptShare is the share of a service's requests in budgetWindowS that may get a second
	// attempt while the first one is slow, 0 for none.
	SecondAttemptShare float64 `json:"secondAttemptShare"`
}

// maxSecondAttemptShare bounds the extra load on endpoints that are already slow.
const maxSecondAttemptShare = 0.1

// maxHeldDivisor is the divisor of memoryMb that gives the largest heldBytesMb: the rest is for
// everything else, and the garbage collector lets the heap grow beyond what is in use.
const maxHeldDivisor = 2

// defaultLogWritesPerS applies if the settings give no rate.
const defaultLogWritesPerS = 400.0

// LoadSettings reads and validates a settings file.
func LoadSettings(path string) (Settings, error) {
	var s Settings
	data, err := os.ReadFile(path)
	if err != nil {
		return s, fmt.Errorf("read settings: %w; set the path of a readable file", err)
	}
	plain, err := hujson.Standardize(data)
	if err != nil {
		return s, fmt.Errorf("settings %s: %w; the file must be JSON, comments are allowed", path, err)
	}
	d := json.NewDecoder(bytes.NewReader(plain))
	if err := d.Decode(&s); err != nil {
		return s, fmt.Errorf("settings %s: %w", path, withRemedy(err))
	}
	if err := s.validate(); err != nil {
		return s, fmt.Errorf("settings %s: %w", path, err)
	}
	return s, nil
}

func (s *Settings) validate() error {
	var errs []error
	required := func(name, v string) {
		if v == "" {
			errs = append(errs, fmt.Errorf("%s is missing", name))
		}
	}
	address := func(name, v string) {
		if _, err := netip.ParseAddrPort(v); err != nil {
			errs = append(errs, fmt.Errorf("%s is %q; want IP:PORT", name, v))
		}
	}
	positive := func(name string, v float64) {
		if v <= 0 {
			errs = append(errs, fmt.Errorf("%s is %v; want a number above 0", name, v))
		}
	}
	required("id", s.ID)
	required("failureDomain", s.FailureDomain)
	if _, err := netip.ParseAddr(s.Host); err != nil {
		errs = append(errs, fmt.Errorf("host is %q; want an IP address", s.Host))
	}
	address("callerAddress", s.CallerAddress)
	address("readyAddress", s.ReadyAddress)
	address("logAddress", s.LogAddress)
	if s.PeerPorts[0] <= 0 || s.PeerPorts[1] <= s.PeerPorts[0] || s.PeerPorts[1] > 65535 {
		errs = append(errs, fmt.Errorf("peerPorts is %v; want two ports in 1-65535, the lower one first", s.PeerPorts))
	}
	positive("drainMs", float64(s.DrainMs))
	positive("graceS", s.GraceS)
	positive("revokeMs", float64(s.RevokeMs))
	positive("budgetRatio", s.BudgetRatio)
	positive("budgetWindowS", s.BudgetWindowS)
	positive("versionMs", float64(s.VersionMs))
	positive("orderHandoverMs", float64(s.OrderHandoverMs))
	notNegative := func(name string, v float64) {
		if !(v >= 0) { // NaN too
			errs = append(errs, fmt.Errorf("%s is %v; want a number of at least 0, or leave it out", name, v))
		}
	}
	notNegative("warmUpRatio", s.WarmUpRatio)
	notNegative("warmUpRequests", s.WarmUpRequests)
	if !(s.SecondAttemptShare >= 0 && s.SecondAttemptShare <= maxSecondAttemptShare) {
		errs = append(errs, fmt.Errorf("secondAttemptShare is %v; want a share from 0 to %v, or leave it out for no second attempts", s.SecondAttemptShare, maxSecondAttemptShare))
	}
	if s.LogWritesPerS < 0 {
		errs = append(errs, fmt.Errorf("logWritesPerS is %v; want a number above 0, or leave it out", s.LogWritesPerS))
	}
	if s.OperatorPollMs != 0 && (s.OperatorPollMs < minOperatorPollMs || s.OperatorPollMs > maxOperatorPollMs) {
		errs = append(errs, fmt.Errorf("operatorPollMs is %d; want %d to %d, or leave it out", s.OperatorPollMs, minOperatorPollMs, maxOperatorPollMs))
	}
	errs = append(errs, s.Scheduling.validate()...)
	if s.HeldBytesMb < 0 || s.MemoryMb > 0 && s.HeldBytesMb > float64(s.MemoryMb)/maxHeldDivisor {
		limit := "up"
		if s.MemoryMb > 0 {
			limit = fmt.Sprintf("to %v, half of memoryMb", float64(s.MemoryMb)/maxHeldDivisor)
		}
		errs = append(errs, fmt.Errorf("heldBytesMb is %v; want a number from 0 %s, or leave it out for no bound", s.HeldBytesMb, limit))
	}
	return errors.Join(errs...)
}

// withRemedy adds to the error for a value of a wrong type which type its field has.
func withRemedy(err error) error {
	var wrong *json.UnmarshalTypeError
	if !errors.As(err, &wrong) || wrong.Field == "" {
		return err
	}
	return fmt.Errorf("%s is a %s; want a value of type %v: %w", wrong.Field, wrong.Value, wrong.Type, err)
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
