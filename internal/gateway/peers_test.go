package gateway

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against each instance of a fleet of sixty losing requests at a target without
// power until it notices by itself: two reports make the others stop sending. A single
// instance with a broken link must not exclude a target for all.
func TestSilentTargetsNeedSeveralReports(t *testing.T) {
	is := is.New(t)
	is.Equal(confirmedSilent(map[string]int{"t": 1}, 5), []string(nil))
	is.Equal(confirmedSilent(map[string]int{"t": 2}, 5), []string{"t"})
	is.Equal(confirmedSilent(map[string]int{"t": 3}, 60), []string(nil))
	is.Equal(confirmedSilent(map[string]int{"t": 4}, 60), []string{"t"})
}
