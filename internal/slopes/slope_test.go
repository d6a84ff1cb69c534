package slopes

import (
	"testing"

	"github.com/matryer/is"
)

func TestFitFindsLine(t *testing.T) {
	is := is.New(t)
	s := measure("x", "n", "y", []int{1, 2, 4, 8}, func(n int) float64 { return 3*float64(n) + 5 })
	is.Equal(s.PerUnit, 3.0)
	is.Equal(s.Fixed, 5.0)
	is.Equal(s.R2, 1.0)
	is.Equal(s.At(10), 35.0)
	is.Equal(s.At(0.5), 8.0) // below the least size: what that took

	// A line that bends upwards is fitted below its least size there.
	s = measure("x", "n", "y", []int{1, 2, 4, 8}, func(n int) float64 { return float64(n * n * n) })
	is.True(s.PerUnit+s.Fixed < 0)
	is.Equal(s.At(1), 1.0)
}
