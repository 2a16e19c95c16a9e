package config_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed default seed for rapid; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261203")
	flag.Parse()
	os.Exit(m.Run())
}
