package gateway

import (
	"testing"

	"github.com/matryer/is"
)

// A target loses power in a fleet of sixty. Each instance would lose requests
// there until it had noticed by itself; two tell, and the others stop sending.
// A single instance that has lost its own link must not take a target from all.
func TestSilentTargetsNeedSeveralReports(t *testing.T) {
	is := is.New(t)
	is.Equal(confirmedSilent(map[string]int{"t": 1}, 5), []string(nil))
	is.Equal(confirmedSilent(map[string]int{"t": 2}, 5), []string{"t"})
	is.Equal(confirmedSilent(map[string]int{"t": 3}, 60), []string(nil))
	is.Equal(confirmedSilent(map[string]int{"t": 4}, 60), []string{"t"})
}
