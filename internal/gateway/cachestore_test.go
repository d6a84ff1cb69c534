package gateway

import (
	"testing"

	"github.com/matryer/is"
)

// New weights are named, and every dossier's opening is read and saved anew.
// Behind most openings stands an own part, and some are ten times as long: saved
// with them, these would push the openings out before they are asked for again,
// and targets would compute them a second time.
func TestLongOwnPartsAreNotSaved(t *testing.T) {
	cases := map[string]struct {
		held, shared int
		tokens       []int
		want         bool
	}{
		"opening with a short own part":     {0, 2, []int{512, 4870, 2500}, true},
		"opening with a long own part":      {0, 2, []int{512, 4870, 20000}, false},
		"the store holds all of it":         {2, 2, []int{512, 4870, 10}, false},
		"little is missing":                 {1, 2, []int{341, 227, 1800}, false},
		"a part is missing":                 {1, 2, []int{341, 4000, 1800}, true},
		"one piece, which counts as shared": {0, 1, []int{300}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(shouldSave(c.held, c.shared, c.tokens), c.want)
		})
	}
}
