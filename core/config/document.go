// Package config defines the configuration document of a deployment, its validation
// and the order of its published versions.
package config

// Document is the configuration of a deployment. Collections are maps by ID, so that
// the JSON merge patch (RFC 7386) of a single change is small.
type Document struct {
	Deployment     string                   `json:"deployment"`
	FailureDomains map[string]FailureDomain `json:"failure_domains"`
	Links          map[string]Link          `json:"links"`
	Customers      map[string]Customer      `json:"customers"`
	Priorities     map[string]Priority      `json:"priorities"`
	Models         map[string]Model         `json:"models"`
	Services       map[string]Service       `json:"services"`
	Endpoints      map[string]Endpoint      `json:"endpoints"`
	Stores         map[string]Store         `json:"stores"`
	Policies       Policies                 `json:"policies"`
	Claims         Claims                   `json:"claims"`
}

// FailureDomain is a set of hosts that fail together.
type FailureDomain struct {
	Region string `json:"region"`
}

// Link is the network path between two failure domains, or from a store's host
// to the agents.
type Link struct {
	From           string  `json:"from"`             // failure domain or store
	To             string  `json:"to"`               // failure domain, or "*" for all
	OneWayMs       float64 `json:"one_way_ms"`       // one-way delay
	BytesPerSecond int64   `json:"bytes_per_second"` // limit for transfers of cache blocks
}

// Customer is a customer of the deployment with its limits and permissions.
type Customer struct {
	Keys            map[string]Key `json:"keys"`   // by key ID
	Weight          float64        `json:"weight"` // relative share under contention; usually 1
	TokensPerSecond float64        `json:"tokens_per_second"`
	BurstTokens     float64        `json:"burst_tokens"`
	Models          []string       `json:"models"`
	Services        []string       `json:"services"`
	MaxPriority     string         `json:"max_priority"` // highest priority class that the customer may request
}

// Key is a credential of a customer: a salt and the SHA-256 of salt and secret, both
// in hexadecimal.
type Key struct {
	Salt   string `json:"salt"`
	SHA256 string `json:"sha256"`
}

// Priority is a priority class of requests.
type Priority struct {
	Rank              int     `json:"rank"`           // a class of higher rank is served first
	MinShare          float64 `json:"min_share"`      // guaranteed share of the engine's token rate, against starvation
	ReservedSlots     int     `json:"reserved_slots"` // engine slots that only this class may use
	DefaultDeadlineMs int64   `json:"default_deadline_ms"`
}

// Model is a model that the engines serve.
type Model struct {
	WeightVersion          string  `json:"weight_version"`
	Adapter                string  `json:"adapter"`
	MaxLoading             int     `json:"max_loading"`       // maximum number of servers that load weights concurrently
	MinServingShare        float64 `json:"min_serving_share"` // share of the endpoints that must keep serving during a rollout
	KVBytesPerToken        int64   `json:"kv_bytes_per_token"`
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second"`
	DecodeMsPerToken       float64 `json:"decode_ms_per_token"`
	MaxContextTokens       int     `json:"max_context_tokens"`
}

// Service is an HTTP service other than a model engine.
type Service struct {
	Rules []Rule `json:"rules"` // the first matching rule applies
}

// Rule sets the properties of the service calls that it matches.
type Rule struct {
	Method     string `json:"method"`      // HTTP method, or "*" for all
	PathPrefix string `json:"path_prefix"` // relative to the service's own prefix
	Idempotent bool   `json:"idempotent"`
	Lookup     bool   `json:"lookup"` // responses have a Resource-Version header
	TimeoutMs  int64  `json:"timeout_ms"`
}

// Endpoint is a server that is reached through an agent.
type Endpoint struct {
	Host          string `json:"host"`
	FailureDomain string `json:"failure_domain"`
	Agent         string `json:"agent"`   // ID of the agent in front of the endpoint
	Address       string `json:"address"` // IP address and port
	Model         string `json:"model"`   // the model that it serves; empty for a service
	Service       string `json:"service"` // the service that it serves; empty for a model
	Slots         int    `json:"slots"`   // maximum batch size of the engine in sequences
	Accelerators  int    `json:"accelerators"`
	KVTokens      int    `json:"kv_tokens"` // capacity of the engine's prefix cache in tokens
	ChecksFencing bool   `json:"checks_fencing"`
	Protocol      string `json:"protocol"` // plug-in ID of the endpoint protocol
}

// Store is a host that stores cache blocks in memory and on disk.
type Store struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	MemoryBytes   int64  `json:"memory_bytes"`
	DiskBytes     int64  `json:"disk_bytes"`
}

// Policies selects the policy plug-ins by ID.
type Policies struct {
	Routing   string `json:"routing"`
	Admission string `json:"admission"`
	Placement string `json:"placement"`
}

// Claims configures the claim protocol.
type Claims struct {
	Partitions       int   `json:"partitions"`
	KeyWindowSeconds int64 `json:"key_window_seconds"` // maximum age of an idempotency key
	GroupIntervalMs  int64 `json:"group_interval_ms"`  // minimum time between the starts of two appends of a partition
	MaxAnswerBytes   int   `json:"max_answer_bytes"`   // maximum size of an answer body that is recorded
}
