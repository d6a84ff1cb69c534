package slopes

// Sample is one measured point.
type Sample struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Slope is a cost measured at several sizes and the fitted line
// Y = PerUnit*X + Fixed.
type Slope struct {
	// Name is the stable word by which the arithmetic finds the slope.
	Name string `json:"name"`
	// X and Y say what was varied and what was measured, with the unit.
	X       string   `json:"x"`
	Y       string   `json:"y"`
	Samples []Sample `json:"samples"`
	// Command is the test or benchmark that gave the samples, for slopes
	// that Measure does not take itself.
	Command string  `json:"command,omitempty"`
	PerUnit float64 `json:"per_unit"`
	Fixed   float64 `json:"fixed"`
	// R2 is the part of the variance that the line explains.
	R2 float64 `json:"r2"`
}

// At is the cost at a size: on the fitted line, or what the least size took
// for sizes below it. A rising line is not followed below that either.
func (s Slope) At(x float64) float64 {
	first, line := s.Samples[0], s.PerUnit*x+s.Fixed
	if x < first.X || s.PerUnit > 0 && line < first.Y {
		return first.Y
	}
	return line
}

// Fit sets the line of least squares.
func (s *Slope) Fit() {
	n := float64(len(s.Samples))
	var sx, sy, sxx, sxy, syy float64
	for _, p := range s.Samples {
		sx, sy = sx+p.X, sy+p.Y
		sxx, sxy, syy = sxx+p.X*p.X, sxy+p.X*p.Y, syy+p.Y*p.Y
	}
	vx, vy, cov := n*sxx-sx*sx, n*syy-sy*sy, n*sxy-sx*sy
	s.PerUnit = cov / vx
	s.Fixed = (sy - s.PerUnit*sx) / n
	if vy > 0 {
		s.R2 = cov * cov / (vx * vy)
	}
}
