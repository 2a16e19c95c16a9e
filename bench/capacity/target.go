// Package capacity measures, on one machine, how the cost of each role grows with
// the deployment, and extrapolates it to the target size of docs/design.md,
// section 1.4.
package capacity

import "github.com/galenaweir/galenaweir/core/claims"

// The target size; docs/design.md, section 1.4.
const (
	targetDaemons        = 330
	targetEndpoints      = 830
	targetRequestsPerSec = 5_100.0
	targetTokensPerSec   = 1_400_000.0
	targetContexts       = 1_300_000.0
	targetCustomers      = 2_900
	targetDomains        = 12
	targetRegions        = 3
	targetModels         = 5
	targetChangesPerDay  = 2_100.0
	targetRestartsPerDay = 110.0
	targetEntries        = 24 // as in section 5
	targetAgents         = targetDaemons - targetEntries
	targetBetweenTokens  = 0.032 // seconds
	secondsPerDay        = 86_400.0
)

// Limits of control for each daemon, and of the system; sections 1.4, 7 and 14.
const (
	limitControlCores    = 0.011
	limitControlMiB      = 128.0
	limitControlBytes    = 2_000.0 // per second, sent and received together
	limitConfigSeconds   = 5.0
	limitRoutingMicros   = 20.0
	limitAppendsPerSec   = 25.0 // of one claim partition
	limitDirectoryBytes  = 150.0
	limitOutOfContactSec = 60.0 // "within seconds" of section 5, taken as a minute
)

// Assumptions where the design states no figure.
const (
	// paymentShare is the share of the requests that claim a key.
	paymentShare = 0.01
	// answerBytes is the size of the answer that an outcome record keeps.
	answerBytes = 256
	// claimPartitions and keyWindow are the defaults of section 7.
	claimPartitions = 16
	keyWindowSec    = secondsPerDay
)

// Amounts of the target that follow from the figures above.
const (
	tokensPerRequest  = targetTokensPerSec / targetRequestsPerSec
	streamSeconds     = tokensPerRequest * targetBetweenTokens
	targetStreams     = targetRequestsPerSec * streamSeconds
	streamsPerEntry   = targetStreams / targetEntries
	streamsPerAgent   = targetStreams / targetAgents
	contextsPerAgent  = targetContexts / targetAgents
	claimsPerPart     = targetRequestsPerSec * paymentShare / claimPartitions
	keptClaimsPerPart = claimsPerPart * keyWindowSec
	// maxGroupClaims is the number of claims in a full group, with their outcomes
	// in the same stream.
	maxGroupClaims = claims.MaxGroupRecords / 2
)

// Units.
const (
	mebibyte  = 1 << 20
	microsSec = 1e6
)
