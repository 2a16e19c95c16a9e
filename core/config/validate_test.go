package config_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/config"
)

// TestRecommendedClaimPartitions guards against a remedy that recommends too few claim
// partitions for the target load, since their number can't be changed later.
func TestRecommendedClaimPartitions(t *testing.T) {
	var d config.Document
	var invalid *config.ValidationError
	require.ErrorAs(t, d.Validate(), &invalid)
	require.Contains(t, invalid.Problems, config.Problem{"claims.partitions", "is outside 1 to 64", "use 16"})
}
