package propertytest

import (
	"flag"
	"os"
	"strconv"
	"testing"

	// Its flags have to be there before they are set.
	_ "pgregory.net/rapid"
)

// DefaultChecks is rapid's own number of checks for each property.
const DefaultChecks = 100

// Main is called from a package's TestMain. It writes no files for failing
// seeds: those are kept as named tests.
func Main(m *testing.M, checks int) {
	set("rapid.seed", "1")
	set("rapid.checks", strconv.Itoa(checks))
	set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err) // a flag that the library no longer has would unfix the seed
	}
}
