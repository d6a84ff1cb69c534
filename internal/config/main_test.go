package config

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests, so that a run repeats.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
