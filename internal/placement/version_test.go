package placement

import (
	"testing"

	"github.com/matryer/is"
)

// A pool is moved from version 1 to 2, one target after the other. Callers
// see answers from one version at a time: 1 until the floor of the pool serves
// 2, then 2. Switching earlier would put every request on the first loaded
// target.
func TestActiveVersionDuringRollout(t *testing.T) {
	tests := []struct {
		name   string
		served map[string]int
		floor  int
		want   string
	}{
		{"nothing heard yet", nil, 4, "2"},
		{"not begun", map[string]int{"1": 6}, 4, "1"},
		{"below the floor", map[string]int{"1": 3, "2": 3}, 4, "1"},
		{"at the floor", map[string]int{"1": 2, "2": 4}, 4, "2"},
		{"floor above the pool", map[string]int{"2": 3}, 9, "2"},
		{"no floor set", map[string]int{"1": 5, "2": 1}, 0, "2"},
		{"rolled back to an older one", map[string]int{"0": 1, "1": 5}, 4, "1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(ActiveVersion(tt.served, "2", tt.floor), tt.want)
		})
	}
}
