package config_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/config"
)

// TestAdvisedClaimPartitions guards against a remedy that suggests too few claim
// partitions for the target load, since their number can't be changed later.
func TestAdvisedClaimPartitions(t *testing.T) {
	var d config.Document
	var invalid *config.ValidationError
	require.ErrorAs(t, d.Validate(), &invalid)
	require.Contains(t, invalid.Problems, config.Problem{"claims.partitions", "is outside 1 to 64", "use 16"})
}
