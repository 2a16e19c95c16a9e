package config_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the random tests; -rapid.seed sets another.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261203")
	flag.Parse()
	os.Exit(m.Run())
}
