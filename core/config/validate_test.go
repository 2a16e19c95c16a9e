package config_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/config"
)

// Guards against advice to start with a number of claim partitions that is too
// small for the target, since it can't be changed later.
func TestAdvisedClaimPartitions(t *testing.T) {
	var d config.Document
	var invalid *config.Invalid
	require.ErrorAs(t, d.Validate(), &invalid)
	require.Contains(t, invalid.Problems, config.Problem{"claims.partitions", "is outside 1 to 64", "use 16"})
}
