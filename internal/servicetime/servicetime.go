// Package servicetime estimates, from the answers of a pool's targets, how long they
// take to return a first token: the latency common to all prompts, the prefill rate of
// each target, and how much longer than proportional the prefill of a long prompt is.
//
// Other work at a target, which may be unknown here, can only delay an answer.
// Estimates therefore follow faster answers quickly and slower ones slowly, and rates
// are learnt only from prompts whose target had no other known work.
//
// The package performs no I/O: callers pass in the time.
package servicetime

import "time"

const (
	// latencyWindow is the shortest time for which the lowest latency sample is kept.
	latencyWindow = 10 * time.Second
	// fasterWeight and slowerWeight are the smoothing weights of an answer that was
	// faster or slower than estimated.
	fasterWeight, slowerWeight = 0.3, 0.05
	// minRateTokens is the prefill size from which an answer is a sample of the rate.
	// Shorter prefills take no longer than one engine step and are samples of the
	// latency.
	minRateTokens = 1500
	// minMeasuredTokens is the prefill size from which MeasuredRate returns a rate. It is
	// lower than minRateTokens, since an agreed rate is a quantile of many samples.
	minMeasuredTokens = 500
	// minSlopeTokens is the prefill size from which an answer is a sample of the
	// context slope.
	minSlopeTokens = 8000
	// maxRateRatio bounds a learnt rate, as a multiple or fraction of the configured
	// one.
	maxRateRatio = 4
	// maxContextSlope bounds the context slope: with it, a token after 10,000 tokens of
	// context takes twice as long to prefill as the first one.
	maxContextSlope = 1e-4
)

// Sample is the measurement of one first token.
type Sample struct {
	// At is when the first token arrived, Elapsed the time since the request was sent.
	At, Elapsed time.Duration
	// PromptTokens is the length of the prompt, UncachedTokens the part that the target
	// is expected to have prefilled.
	PromptTokens, UncachedTokens float64
	// NoOtherWork is set if no other work at the target is known.
	NoOtherWork bool
}

// Estimator holds the estimates of one pool. It is not safe for concurrent use.
type Estimator struct {
	// configuredRate is the configured prefill rate in tokens per second.
	configuredRate float64
	rates          map[string]float64
	// agreed are the rates that all instances have agreed on; they outweigh rates.
	agreed map[string]float64
	// contextSlope is the fraction by which each token of context lengthens the prefill
	// of a token.
	contextSlope float64

	latency, previousMin, currentMin time.Duration
	windowEnd                        time.Duration
}

// New returns an estimator that starts from the configured prefill rate.
func New(tokensPerSecond float64) *Estimator {
	return &Estimator{configuredRate: tokensPerSecond, rates: map[string]float64{}}
}

// Latency returns the time to first token beyond the prefill; 0 until there is a
// sample.
func (e *Estimator) Latency() time.Duration { return e.latency }

// Rate returns the prefill rate of a target for short prompts, in tokens per second.
func (e *Estimator) Rate(target string) float64 {
	if r, known := e.agreed[target]; known {
		return r
	}
	if r, known := e.rates[target]; known {
		return r
	}
	return e.configuredRate
}

// SetAgreedRates sets the rates that all instances have agreed on, in tokens per second.
// Targets without one keep the rate that this estimator has learnt.
func (e *Estimator) SetAgreedRates(rates map[string]float64) { e.agreed = rates }

// MeasuredRate returns the prefill rate of a target as measured by one answer. It returns
// false for answers that say little about it.
func (e *Estimator) MeasuredRate(s Sample) (tokensPerSecond float64, ok bool) {
	prefillTime := (s.Elapsed - e.latency).Seconds()
	if !s.NoOtherWork || e.latency == 0 || prefillTime <= 0 || s.UncachedTokens < minMeasuredTokens || s.UncachedTokens >= minSlopeTokens {
		return 0, false
	}
	return e.EquivalentTokens(s.PromptTokens, s.UncachedTokens) / prefillTime, true
}

// EquivalentTokens returns the number of tokens of a short prompt that take as long to
// prefill as the uncached tokens of this prompt.
func (e *Estimator) EquivalentTokens(prompt, uncached float64) float64 {
	return uncached * (1 + e.contextSlope*meanContext(prompt, uncached))
}

// meanContext returns the average number of tokens before a prefilled one.
func meanContext(prompt, uncached float64) float64 { return max(0, prompt-uncached/2) }

// Retain removes the estimates of targets for which exists returns false.
func (e *Estimator) Retain(exists func(target string) bool) {
	for t := range e.rates {
		if !exists(t) {
			delete(e.rates, t)
		}
	}
	for t := range e.agreed {
		if !exists(t) {
			delete(e.agreed, t)
		}
	}
}

// Observe updates the estimates with the first token of an answer from the target.
func (e *Estimator) Observe(target string, s Sample) {
	rate := e.Rate(target)
	if s.UncachedTokens < minRateTokens {
		prefill := time.Duration(e.EquivalentTokens(s.PromptTokens, s.UncachedTokens) / rate * float64(time.Second))
		e.observeLatency(s.At, max(time.Millisecond, s.Elapsed-prefill))
		return
	}
	prefillTime := (s.Elapsed - e.latency).Seconds()
	if !s.NoOtherWork || prefillTime <= 0 {
		return
	}
	if s.UncachedTokens >= minSlopeTokens {
		slope := (prefillTime*rate/s.UncachedTokens - 1) / meanContext(s.PromptTokens, s.UncachedTokens)
		e.contextSlope = min(maxContextSlope, smooth(e.contextSlope, max(0, slope), slope < e.contextSlope))
		return
	}
	measured := e.EquivalentTokens(s.PromptTokens, s.UncachedTokens) / prefillTime
	e.rates[target] = min(maxRateRatio*e.configuredRate, max(e.configuredRate/maxRateRatio, smooth(rate, measured, measured > rate)))
}

// smooth moves an estimate towards a measured value.
func smooth(estimate, measured float64, faster bool) float64 {
	weight := slowerWeight
	if faster {
		weight = fasterWeight
	}
	return estimate + weight*(measured-estimate)
}

func (e *Estimator) observeLatency(now, sample time.Duration) {
	if now >= e.windowEnd {
		e.previousMin, e.currentMin, e.windowEnd = e.currentMin, 0, now+latencyWindow
	}
	if e.currentMin == 0 || sample < e.currentMin {
		e.currentMin = sample
	}
	e.latency = e.currentMin
	if e.previousMin > 0 {
		e.latency = min(e.previousMin, e.currentMin)
	}
}
