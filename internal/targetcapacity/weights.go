package targetcapacity

import (
	"math"
	"slices"
	"time"
)

const (
	// unequalRatio is the ratio of the rates of fast to slow targets from which a service's
	// targets count as unequal, equalRatio the one below which they no longer do. While targets
	// are overloaded, a ratio of 1.3 is measured as up to 1.5.
	unequalRatio, equalRatio = 1.65, 1.35
	// slowQuantile and fastQuantile define slow and fast targets. Fewer than a fifth of the
	// targets, which may be slow by a fault and for a while, make no service unequal.
	slowQuantile, fastQuantile = 0.2, 0.8
	// minKnownShare is the share of the targets that must have been measured well for this: by
	// minSpreadSamples samples.
	minKnownShare, minSpreadSamples = 0.5, 8
	// unequalAfter is how long the ratio must have been reached or left.
	unequalAfter = 2 * time.Second
	// weightStepRatio is the ratio of neighbouring weights. Instances whose rates differ by
	// less use the same weights, or neighbouring ones near the border of two steps.
	weightStepRatio = 1.25
	// weightHysteresis is the distance, in steps, of a rate from the weight in use from
	// which another weight is used.
	weightHysteresis = 0.8
)

// spread tracks by how much the rates of a service's targets differ.
type spread struct {
	unequal bool
	ratio   float64
	known   int
	// since is when the ratio began to call for a change of unequal; pending is set while
	// it does.
	since   time.Duration
	pending bool
}

// Spread describes the agreed rates of a service's targets.
type Spread struct {
	// Unequal is set if targets differ by so much that requests are distributed by weight.
	Unequal bool
	// Ratio is that of the rates of fast to slow targets; 0 if unknown. Known is the number of targets
	// that have been measured well.
	Ratio float64
	Known int
}

// Spread returns the result of the last Update.
func (t *Table) Spread() Spread {
	return Spread{Unequal: t.spread.unequal, Ratio: t.spread.ratio, Known: t.spread.known}
}

// Update evaluates the reports and returns the rates and weights by target. It returns nil unless
// targets are unequal. A target whose rate isn't agreed gets the median weight.
func (t *Table) Update(now time.Duration) map[string]Weighted {
	rates, wellKnown := make([]float64, 0, len(t.targets)), make([]float64, 0, len(t.targets))
	out := make(map[string]Weighted, len(t.targets))
	for id, s := range t.targets {
		if r, ok := s.rate(now); ok {
			rates = append(rates, r.TokensPerSecond)
			if r.Samples >= minSpreadSamples {
				wellKnown = append(wellKnown, r.TokensPerSecond)
			}
			out[id] = Weighted{Rate: r, Weight: s.updateWeight(r.TokensPerSecond)}
		}
	}
	slices.Sort(rates)
	slices.Sort(wellKnown)
	t.spread.update(now, wellKnown, len(t.targets))
	if !t.spread.unequal || len(rates) == 0 {
		return nil
	}
	middle := rates[len(rates)/2]
	for id, s := range t.targets {
		if _, known := out[id]; !known {
			s.weightStep = 0
			out[id] = Weighted{Rate: Rate{TokensPerSecond: middle}, Weight: weightOfStep(math.Round(stepOf(middle)))}
		}
	}
	return out
}

// Weighted is a target's rate, and its weight in the choice of targets. Weights change in steps.
type Weighted struct {
	Rate   Rate
	Weight float64
}

// updateWeight returns the weight for a rate, which is the one in use unless the rate has moved
// away from it.
func (s *target) updateWeight(rate float64) float64 {
	if step := stepOf(rate); s.weightStep == 0 || math.Abs(step-s.weightStep) > weightHysteresis {
		s.weightStep = math.Round(step)
	}
	return weightOfStep(s.weightStep)
}

func stepOf(rate float64) float64       { return math.Log(rate) / math.Log(weightStepRatio) }
func weightOfStep(step float64) float64 { return math.Pow(weightStepRatio, step) }

// update takes the sorted rates of the well measured targets of a service with the given number
// of targets.
func (s *spread) update(now time.Duration, rates []float64, targets int) {
	s.known, s.ratio = len(rates), 0
	if len(rates) < 2 || float64(len(rates)) < minKnownShare*float64(targets) {
		s.pending = false // what was found before holds
		return
	}
	last := float64(len(rates) - 1)
	s.ratio = rates[int(math.Round(fastQuantile*last))] / rates[int(math.Round(slowQuantile*last))]
	differs := s.ratio > unequalRatio
	if s.unequal {
		differs = s.ratio >= equalRatio
	}
	switch {
	case differs == s.unequal:
		s.pending = false
	case !s.pending:
		s.pending, s.since = true, now
	case now-s.since >= unequalAfter:
		s.unequal, s.pending = differs, false
	}
}
