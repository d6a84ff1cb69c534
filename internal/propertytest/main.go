package propertytest

import (
	"flag"
	"os"
	"strconv"
	"testing"

	// Registers the flags that Main sets.
	_ "pgregory.net/rapid"
)

// DefaultChecks is rapid's default number of checks per property.
const DefaultChecks = 100

// Main runs the tests of a package; its TestMain calls it. Files for failing
// seeds are turned off, since such seeds are kept as named tests.
func Main(m *testing.M, checks int) {
	setFlag("rapid.seed", "1")
	setFlag("rapid.checks", strconv.Itoa(checks))
	setFlag("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err) // without the flag the seed would not be fixed
	}
}
