package placement

import (
	"testing"

	"github.com/matryer/is"
)

// A pool is updated from version 1 to 2, one target at a time. Callers get answers
// from one version at a time: 1 until the minimum number of targets serves 2, then 2.
// An earlier switch would send every request to the first updated target.
func TestActiveVersionDuringRollout(t *testing.T) {
	tests := []struct {
		name       string
		served     map[string]int
		minTargets int
		want       string
	}{
		{"no target reported", nil, 4, "2"},
		{"not started", map[string]int{"1": 6}, 4, "1"},
		{"below the minimum", map[string]int{"1": 3, "2": 3}, 4, "1"},
		{"at the minimum", map[string]int{"1": 2, "2": 4}, 4, "2"},
		{"minimum above the pool size", map[string]int{"2": 3}, 9, "2"},
		{"no minimum set", map[string]int{"1": 5, "2": 1}, 0, "2"},
		{"rolled back to an older version", map[string]int{"0": 1, "1": 5}, 4, "1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(ActiveVersion(tt.served, "2", tt.minTargets), tt.want)
		})
	}
}
