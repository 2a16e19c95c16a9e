package config

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
)

// Problem is one validation error of a document.
type Problem struct {
	Path    string // path of the field
	Message string // what is wrong
	Remedy  string // how to correct it
}

// String returns the problem as one line.
func (p Problem) String() string { return fmt.Sprintf("%s: %s; %s", p.Path, p.Message, p.Remedy) }

// ValidationError is the error for a document with problems.
type ValidationError struct{ Problems []Problem }

// Error returns a summary and one line for each problem.
func (e *ValidationError) Error() string {
	s := fmt.Sprintf("the configuration document has %d problem(s)", len(e.Problems))
	for _, p := range e.Problems {
		s += "\n  " + p.String()
	}
	return s
}

// Limits of the document.
const (
	maxClaimPartitions         = 64
	recommendedClaimPartitions = 16 // the log has capacity for 16 partitions with 25 appends/s each; the number can't be changed later
	minKeyWindowSeconds        = 60
	maxKeyWindowSeconds        = 7 * 24 * 3600
	maxAnswerBytesLimit        = 256 << 10
	keySaltHexDigits           = 32
	keySHA256HexDigits         = 64
	maxWeight                  = 1000
	maxGroupIntervalMs         = 1000
	maxDefaultDeadlineMs       = 3600_000
)

type validator struct {
	doc      *Document
	problems []Problem
}

func (v *validator) addProblem(path, message, remedy string) {
	v.problems = append(v.problems, Problem{path, message, remedy})
}

// check adds a problem if ok is false.
func (v *validator) check(ok bool, path, message, remedy string) {
	if !ok {
		v.addProblem(path, message, remedy)
	}
}

// Validate checks the whole document. If it has problems, Validate returns all of
// them in a fixed order as an error of type *ValidationError.
func (d *Document) Validate() error {
	v := &validator{doc: d}
	v.check(d.Deployment != "", "deployment", "is empty", "name the deployment")
	v.check(len(d.FailureDomains) > 0, "failure_domains", "is empty", "list at least one failure domain with its region")
	for _, id := range sortedKeys(d.FailureDomains) {
		v.check(d.FailureDomains[id].Region != "", "failure_domains."+id+".region", "is empty", "name the region")
	}
	v.links()
	v.priorities()
	v.models()
	v.services()
	v.endpoints()
	v.stores()
	v.customers()
	v.claims()
	if len(v.problems) > 0 {
		return &ValidationError{v.problems}
	}
	return nil
}

func (v *validator) failureDomain(path, id string) {
	_, ok := v.doc.FailureDomains[id]
	v.check(ok, path, fmt.Sprintf("names the unknown failure domain %q", id), "add it to failure_domains or correct the name")
}

func (v *validator) address(path, addr string) {
	_, err := netip.ParseAddrPort(addr)
	v.check(err == nil, path, fmt.Sprintf("%q is not an IP number and port", addr), "write it as 10.0.0.7:8000; host names are not used")
}

func (v *validator) links() {
	for _, id := range sortedKeys(v.doc.Links) {
		l, p := v.doc.Links[id], "links."+id
		_, fd := v.doc.FailureDomains[l.From]
		_, st := v.doc.Stores[l.From]
		v.check(fd || st, p+".from", fmt.Sprintf("names %q, which is neither a failure domain nor a store", l.From), "correct the name")
		if l.To != "*" {
			v.failureDomain(p+".to", l.To)
		}
		v.check(l.OneWayMs >= 0, p+".one_way_ms", "is negative", "give the one-way delay in milliseconds")
		v.check(l.BytesPerSecond > 0, p+".bytes_per_second", "is not positive", "give the link's limit in bytes per second")
	}
}

func (v *validator) priorities() {
	v.check(len(v.doc.Priorities) > 0, "priorities", "is empty", "define interactive, standard and batch")
	sum := 0.0
	for _, id := range sortedKeys(v.doc.Priorities) {
		c, p := v.doc.Priorities[id], "priorities."+id
		v.check(c.MinShare >= 0 && c.MinShare < 1, p+".min_share", "is outside 0 to 1", "give a share of the token rate below 1")
		v.check(c.ReservedSlots >= 0, p+".reserved_slots", "is negative", "give a number of engine slots")
		v.check(c.DefaultDeadlineMs > 0 && c.DefaultDeadlineMs <= maxDefaultDeadlineMs, p+".default_deadline_ms", "is outside 1 to 3600000", "give the deadline in milliseconds")
		sum += c.MinShare
	}
	v.check(sum < 1, "priorities", fmt.Sprintf("the minimum shares add up to %.2f", sum), "keep their sum below 1")
}

func (v *validator) models() {
	for _, id := range sortedKeys(v.doc.Models) {
		m, p := v.doc.Models[id], "models."+id
		v.check(m.WeightVersion != "", p+".weight_version", "is empty", "name the weight version for new requests")
		v.check(m.MaxLoading > 0, p+".max_loading", "is not positive", "give the number of servers that may load weights at once")
		v.check(m.MinServingShare >= 0 && m.MinServingShare < 1, p+".min_serving_share", "is outside 0 to 1", "give a share below 1")
		v.check(m.KVBytesPerToken > 0, p+".kv_bytes_per_token", "is not positive", "give the size of a token's KV cache in bytes")
		v.check(m.PrefillTokensPerSecond > 0, p+".prefill_tokens_per_second", "is not positive", "give the measured prefill rate of one server")
		v.check(m.DecodeMsPerToken > 0, p+".decode_ms_per_token", "is not positive", "give the measured time between tokens")
		v.check(m.MaxContextTokens > 0, p+".max_context_tokens", "is not positive", "give the model's context length")
	}
}

func (v *validator) services() {
	for _, id := range sortedKeys(v.doc.Services) {
		v.check(len(v.doc.Services[id].Rules) > 0, "services."+id+".rules", "is empty", "add a rule; calls without a rule are refused")
		for i, r := range v.doc.Services[id].Rules {
			p := fmt.Sprintf("services.%s.rules[%d]", id, i)
			v.check(r.Method != "", p+".method", "is empty", `give an HTTP method or "*"`)
			v.check(len(r.PathPrefix) > 0 && r.PathPrefix[0] == '/', p+".path_prefix", "does not begin with /", "begin the path with /")
			v.check(r.TimeoutMs > 0, p+".timeout_ms", "is not positive", "give the timeout of one attempt in milliseconds")
			v.check(!r.Lookup || r.Idempotent, p+".lookup", "is set on a rule that is not idempotent", "set idempotent, or clear lookup")
		}
	}
}

func (v *validator) endpoints() {
	for _, id := range sortedKeys(v.doc.Endpoints) {
		e, p := v.doc.Endpoints[id], "endpoints."+id
		v.failureDomain(p+".failure_domain", e.FailureDomain)
		v.address(p+".address", e.Address)
		v.check(e.Host != "", p+".host", "is empty", "name the host")
		v.check(e.Agent != "", p+".agent", "is empty", "give the ID of the agent in front of the endpoint")
		v.check((e.Model == "") != (e.Service == ""), p, "must have either a model or a service", "set one of model and service")
		if e.Model != "" {
			_, ok := v.doc.Models[e.Model]
			v.check(ok, p+".model", fmt.Sprintf("names the unknown model %q", e.Model), "add it to models or correct the name")
			v.check(e.Slots > 0, p+".slots", "is not positive", "give the number of sequences that the engine batches at once")
			v.check(e.KVTokens > 0, p+".kv_tokens", "is not positive", "give the capacity of the prefix cache in tokens")
		}
		if e.Service != "" {
			_, ok := v.doc.Services[e.Service]
			v.check(ok, p+".service", fmt.Sprintf("names the unknown service %q", e.Service), "add it to services or correct the name")
		}
	}
}

func (v *validator) stores() {
	for _, id := range sortedKeys(v.doc.Stores) {
		s, p := v.doc.Stores[id], "stores."+id
		v.failureDomain(p+".failure_domain", s.FailureDomain)
		v.address(p+".address", s.Address)
		v.check(s.MemoryBytes > 0, p+".memory_bytes", "is not positive", "give the size of the memory tier in bytes")
		v.check(s.DiskBytes >= 0, p+".disk_bytes", "is negative", "give the size of the disk tier in bytes")
	}
}

func (v *validator) customers() {
	for _, id := range sortedKeys(v.doc.Customers) {
		c, p := v.doc.Customers[id], "customers."+id
		v.check(len(c.Keys) > 0, p+".keys", "is empty", "add the salted hash of at least one key")
		for _, kid := range sortedKeys(c.Keys) {
			v.check(isHex(c.Keys[kid].Salt, keySaltHexDigits), p+".keys."+kid+".salt", "is not 32 hex digits", "generate the entry with galenaweir-agent operator key")
			v.check(isHex(c.Keys[kid].SHA256, keySHA256HexDigits), p+".keys."+kid+".sha256", "is not 64 hex digits", "generate the entry with galenaweir-agent operator key")
		}
		v.check(c.Weight > 0 && c.Weight <= maxWeight, p+".weight", "is outside 0 to 1000", "give a positive weight; 1 is usual")
		v.check(c.TokensPerSecond > 0, p+".tokens_per_second", "is not positive", "give the customer's limit in tokens per second")
		v.check(c.BurstTokens > 0, p+".burst_tokens", "is not positive", "give the burst size in tokens")
		for _, m := range c.Models {
			_, ok := v.doc.Models[m]
			v.check(ok, p+".models", fmt.Sprintf("names the unknown model %q", m), "correct the name")
		}
		for _, s := range c.Services {
			_, ok := v.doc.Services[s]
			v.check(ok, p+".services", fmt.Sprintf("names the unknown service %q", s), "correct the name")
		}
		_, ok := v.doc.Priorities[c.MaxPriority]
		v.check(ok, p+".max_priority", fmt.Sprintf("names the unknown priority class %q", c.MaxPriority), "use a class that priorities defines")
	}
}

func (v *validator) claims() {
	c := v.doc.Claims
	v.check(c.Partitions > 0 && c.Partitions <= maxClaimPartitions, "claims.partitions", "is outside 1 to 64", fmt.Sprintf("use %d", recommendedClaimPartitions))
	v.check(c.KeyWindowSeconds >= minKeyWindowSeconds && c.KeyWindowSeconds <= maxKeyWindowSeconds, "claims.key_window_seconds", "is outside 60 to 604800", "use 86400, and at least an hour less than the log's retention")
	v.check(c.GroupIntervalMs > 0 && c.GroupIntervalMs <= maxGroupIntervalMs, "claims.group_interval_ms", "is outside 1 to 1000", "use 40")
	v.check(c.MaxAnswerBytes > 0 && c.MaxAnswerBytes <= maxAnswerBytesLimit, "claims.max_answer_bytes", "is outside 1 to 262144", "use 65536")
}

func isHex(s string, digits int) bool {
	if len(s) != digits {
		return false
	}
	for _, c := range s {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
