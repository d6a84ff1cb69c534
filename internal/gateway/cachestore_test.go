package gateway

import (
	"testing"

	"github.com/matryer/is"
)

// Once new weights are named, every shared prefix is prefilled and saved again. Most are
// followed by an unshared part, and some of these are ten times as long as the others.
// Saved along with the prefixes, they would evict prefixes before these are requested
// again, and targets would compute those a second time.
func TestLongUnsharedPartsAreNotSaved(t *testing.T) {
	cases := map[string]struct {
		held, shared int
		tokens       []int
		want         bool
	}{
		"short unshared part":             {0, 2, []int{512, 4870, 2500}, true},
		"long unshared part":              {0, 2, []int{512, 4870, 20000}, false},
		"all shared pieces stored":        {2, 2, []int{512, 4870, 10}, false},
		"few shared tokens missing":       {1, 2, []int{341, 227, 1800}, false},
		"many shared tokens missing":      {1, 2, []int{341, 4000, 1800}, true},
		"single piece, counted as shared": {0, 1, []int{300}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(shouldSave(c.held, c.shared, c.tokens), c.want)
		})
	}
}
