// Package capacity measures on one host how the cost of each role grows with the
// size of the deployment, and extrapolates it to the target size given in
// docs/design.md, section 1.4.
package capacity

import "github.com/galenaweir/galenaweir/core/claims"

// Target size of a deployment; see docs/design.md, section 1.4.
const (
	targetDaemons          = 330
	targetEndpoints        = 830
	targetRequestsPerSec   = 5_100.0
	targetTokensPerSec     = 1_400_000.0
	targetContexts         = 1_300_000.0
	targetCustomers        = 2_900
	targetDomains          = 12
	targetRegions          = 3
	targetModels           = 5
	targetChangesPerDay    = 2_100.0
	targetRestartsPerDay   = 110.0
	targetEntries          = 24 // see docs/design.md, section 5
	targetAgents           = targetDaemons - targetEntries
	targetTokenIntervalSec = 0.032
	secondsPerDay          = 86_400.0
)

// Limits per daemon for control work, and limits of the system; see docs/design.md,
// sections 1.4, 7 and 14.
const (
	limitControlCores     = 0.011
	limitControlMiB       = 128.0
	limitControlBytes     = 2_000.0 // per second, sent and received together
	limitConfigSeconds    = 5.0
	limitRoutingMicros    = 20.0
	limitAppendsPerSec    = 25.0 // per claim partition
	limitDirectoryBytes   = 150.0
	limitReconvergenceSec = 60.0 // section 5 requires "within seconds", interpreted as one minute
)

// Assumptions for quantities that the design doesn't specify.
const (
	// paymentShare is the share of requests that claim an idempotency key.
	paymentShare = 0.01
	// answerBytes is the size of the answer stored in an outcome record.
	answerBytes = 256
	// claimPartitions and keyWindowSec are the defaults from docs/design.md, section 7.
	claimPartitions = 16
	keyWindowSec    = secondsPerDay
)

// Quantities at the target size, derived from the figures above.
const (
	tokensPerRequest       = targetTokensPerSec / targetRequestsPerSec
	streamSeconds          = tokensPerRequest * targetTokenIntervalSec
	targetStreams          = targetRequestsPerSec * streamSeconds
	streamsPerEntry        = targetStreams / targetEntries
	streamsPerAgent        = targetStreams / targetAgents
	contextsPerAgent       = targetContexts / targetAgents
	claimsPerPartition     = targetRequestsPerSec * paymentShare / claimPartitions
	claimsKeptPerPartition = claimsPerPartition * keyWindowSec
	// maxGroupClaims is the number of claims in a full append group, half of whose
	// records are outcomes.
	maxGroupClaims = claims.MaxGroupRecords / 2
)

// Units of conversion.
const (
	mebibyte     = 1 << 20
	microsPerSec = 1e6
)
