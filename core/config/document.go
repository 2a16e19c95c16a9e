// Package config holds the configuration document of a deployment, its
// validation, and the ordering of published versions.
package config

// Document is the whole configuration. Collections are maps by ID, so that a
// JSON merge patch (RFC 7386) of one change stays small.
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
// to the agents. Bytes per second is the limit for transfers of cache blocks.
type Link struct {
	From           string  `json:"from"` // failure domain or store
	To             string  `json:"to"`   // failure domain or "*"
	OneWayMs       float64 `json:"one_way_ms"`
	BytesPerSecond int64   `json:"bytes_per_second"`
}

// Customer is one subscriber.
type Customer struct {
	Keys            map[string]Key `json:"keys"`   // by key ID
	Weight          float64        `json:"weight"` // share under contention, 1 is usual
	TokensPerSecond float64        `json:"tokens_per_second"`
	BurstTokens     float64        `json:"burst_tokens"`
	Models          []string       `json:"models"`
	Services        []string       `json:"services"`
	MaxPriority     string         `json:"max_priority"` // highest class the customer may ask for
}

// Key is a caller's credential: SHA-256 of salt and secret, both in hex.
type Key struct {
	Salt   string `json:"salt"`
	SHA256 string `json:"sha256"`
}

// Priority is a class of requests.
type Priority struct {
	Rank              int     `json:"rank"`      // higher goes first
	MinShare          float64 `json:"min_share"` // of the engine's token rate, so that the class isn't starved
	ReservedSlots     int     `json:"reserved_slots"`
	DefaultDeadlineMs int64   `json:"default_deadline_ms"`
}

// Model is served by engines.
type Model struct {
	WeightVersion          string  `json:"weight_version"`
	Adapter                string  `json:"adapter"`
	MaxLoading             int     `json:"max_loading"` // servers that load weights at once
	MinServingShare        float64 `json:"min_serving_share"`
	KVBytesPerToken        int64   `json:"kv_bytes_per_token"`
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second"`
	DecodeMsPerToken       float64 `json:"decode_ms_per_token"`
	MaxContextTokens       int     `json:"max_context_tokens"`
}

// Service is a plain service beside the engines.
type Service struct {
	Rules []Rule `json:"rules"` // the first that matches counts
}

// Rule classifies the calls of a service.
type Rule struct {
	Method     string `json:"method"`      // HTTP method or "*"
	PathPrefix string `json:"path_prefix"` // without the service's own prefix
	Idempotent bool   `json:"idempotent"`
	Lookup     bool   `json:"lookup"` // answers carry Resource-Version
	TimeoutMs  int64  `json:"timeout_ms"`
}

// Endpoint is one server that an agent stands before.
type Endpoint struct {
	Host          string `json:"host"`
	FailureDomain string `json:"failure_domain"`
	Agent         string `json:"agent"`   // ID of the agent beside the host
	Address       string `json:"address"` // IP number and port
	Model         string `json:"model"`   // either a model
	Service       string `json:"service"` // or a plain service
	Slots         int    `json:"slots"`   // sequences that the engine batches at once
	Accelerators  int    `json:"accelerators"`
	KVTokens      int    `json:"kv_tokens"` // capacity of the engine's prefix cache
	ChecksFencing bool   `json:"checks_fencing"`
	Protocol      string `json:"protocol"` // plug-in ID of the endpoint protocol
}

// Store is a host that keeps cache blocks in memory and on disk.
type Store struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	MemoryBytes   int64  `json:"memory_bytes"`
	DiskBytes     int64  `json:"disk_bytes"`
}

// Policies names the plug-ins in use.
type Policies struct {
	Routing   string `json:"routing"`
	Admission string `json:"admission"`
	Placement string `json:"placement"`
}

// Claims sets the claim protocol.
type Claims struct {
	Partitions       int   `json:"partitions"`
	KeyWindowSeconds int64 `json:"key_window_seconds"`
	GroupIntervalMs  int64 `json:"group_interval_ms"`
	MaxAnswerBytes   int   `json:"max_answer_bytes"`
}
