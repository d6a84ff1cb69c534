package prefix

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

func TestChainsShareOnlyCommonPrefix(t *testing.T) {
	is := is.New(t)
	seed := Scope{Account: "a", Model: "m", Version: "1"}.Seed()
	one := Chain(nil, seed, bytes.Repeat([]byte("x"), 40), 16)
	two := Chain(nil, seed, append(bytes.Repeat([]byte("x"), 16), bytes.Repeat([]byte("y"), 16)...), 16)
	is.Equal(len(one), 2) // the last 8 bytes are not a full piece
	is.Equal(one[0], two[0])
	is.True(one[1] != two[1])
}

// Two accounts send the same prompt. If their chains matched, a request of one account
// would be placed on, and could reuse, cached pieces of the other.
func TestScopesHaveDistinctSeeds(t *testing.T) {
	is := is.New(t)
	scopes := []Scope{
		{"a", "m", "1"},
		{"b", "m", "1"},
		{"a", "n", "1"},
		{"a", "m", "2"},
		{"am", "", "1"},
		{"", "am", "1"},
	}
	seen := map[Hash]Scope{}
	for _, s := range scopes {
		_, dup := seen[s.Seed()]
		is.True(!dup)
		seen[s.Seed()] = s
	}
}
