package targetcapacity

import (
	"math"
	"slices"
	"time"
)

const (
	// unequalRatio is the ratio of the rates of fast to slow targets from which a service's
	// targets count as unequal, by cautious estimates: under overload, answers of equal targets
	// differ by as much. equalRatio is the one below which they no longer do, by the agreed
	// rates.
	unequalRatio, equalRatio = 1.5, 1.35
	// slowQuantile and fastQuantile define slow and fast targets. Fewer than a fifth of the
	// targets, which may be slow by a fault and for a while, make no service unequal.
	slowQuantile, fastQuantile = 0.2, 0.8
	// minKnownShare is the share of the targets whose rates must be agreed.
	minKnownShare = 0.5
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
	// ratio is that of the agreed rates.
	ratio float64
	known int
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
	// whose rate is agreed.
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
	rates := make([]Rate, 0, len(t.targets))
	out := make(map[string]Weighted, len(t.targets))
	for id, s := range t.targets {
		if r, ok := s.rate(now); ok {
			rates = append(rates, r)
			out[id] = Weighted{Rate: r, Weight: s.updateWeight(r.TokensPerSecond)}
		}
	}
	t.spread.update(now, rates, len(t.targets))
	if !t.spread.unequal || len(rates) == 0 {
		return nil
	}
	middle := quantileBy(rates, 0.5, agreedRate)
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

// quantileBy returns the q-quantile of an estimate over targets.
func quantileBy(rates []Rate, q float64, estimate func(*Rate) float64) float64 {
	list := make([]float64, len(rates))
	for i := range rates {
		list[i] = estimate(&rates[i])
	}
	slices.Sort(list)
	return list[int(math.Round(q*float64(len(list)-1)))]
}

func agreedRate(r *Rate) float64 { return r.TokensPerSecond }
func lowRate(r *Rate) float64    { return r.Low }
func highRate(r *Rate) float64   { return r.High }

// update takes the agreed rates of a service with the given number of targets.
func (s *spread) update(now time.Duration, rates []Rate, targets int) {
	s.known, s.ratio = len(rates), 0
	if len(rates) < 2 || float64(len(rates)) < minKnownShare*float64(targets) {
		s.pending = false // what was found before holds
		return
	}
	s.ratio = quantileBy(rates, fastQuantile, agreedRate) / quantileBy(rates, slowQuantile, agreedRate)
	differs := s.ratio >= equalRatio
	if !s.unequal {
		differs = quantileBy(rates, fastQuantile, lowRate)/quantileBy(rates, slowQuantile, highRate) > unequalRatio
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
