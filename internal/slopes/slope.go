package slopes

// Sample is a cost measured at one size.
type Sample struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Slope holds a cost measured at several sizes and the fitted line
// Y = PerUnit*X + Fixed.
type Slope struct {
	// Name is the key under which package capacity looks up the slope.
	Name string `json:"name"`
	// X and Y describe the varied size and the measured cost, with its unit.
	X       string   `json:"x"`
	Y       string   `json:"y"`
	Samples []Sample `json:"samples"`
	// Command is the test or benchmark that printed the samples, for slopes
	// that Measure doesn't produce.
	Command string  `json:"command,omitempty"`
	PerUnit float64 `json:"per_unit"`
	Fixed   float64 `json:"fixed"`
	// R2 is the coefficient of determination of the fit.
	R2 float64 `json:"r2"`
}

// At returns the cost at size x from the fitted line. Below the smallest measured
// size it returns the cost measured there. A rising line never yields less than
// that, since it may cross zero if the cost grows faster than linearly.
func (s Slope) At(x float64) float64 {
	first, line := s.Samples[0], s.PerUnit*x+s.Fixed
	if x < first.X || s.PerUnit > 0 && line < first.Y {
		return first.Y
	}
	return line
}

// Fit computes the least-squares line through the samples.
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
