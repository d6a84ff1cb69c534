package rate

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // registers the flag
)

// TestMain fixes the seed of the property tests unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
