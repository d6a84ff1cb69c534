package slopes

import (
	"testing"

	"github.com/matryer/is"
)

func TestFitAndExtrapolation(t *testing.T) {
	is := is.New(t)
	s := measureSlope("x", "n", "y", []int{1, 2, 4, 8}, func(n int) float64 { return 3*float64(n) + 5 })
	is.Equal(s.PerUnit, 3.0)
	is.Equal(s.Fixed, 5.0)
	is.Equal(s.R2, 1.0)
	is.Equal(s.At(10), 35.0)
	is.Equal(s.At(0.5), 8.0) // below the smallest size: the cost measured there

	// If the cost grows faster than linearly, the line is below the first sample
	// at the smallest size. At returns the sample there.
	s = measureSlope("x", "n", "y", []int{1, 2, 4, 8}, func(n int) float64 { return float64(n * n * n) })
	is.True(s.PerUnit+s.Fixed < 0)
	is.Equal(s.At(1), 1.0)
}
