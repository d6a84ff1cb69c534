// Package servicetime learns from answers how long the targets of a pool take
// to a first token: the latency that all prompts see, the rate at which each
// target prefills, and by how much long prompts take longer than in proportion.
//
// Other work at a target, of which nothing is known here, only makes an answer
// later. So all estimates follow fast answers quickly and slow ones slowly, and
// rates are learnt from prompts that found their target idle as far as known.
//
// The package is pure.
package servicetime

import "time"

const (
	// window is how long the shortest latency seen counts at least.
	window = 10 * time.Second
	// faster and slower are the weights of an answer that was faster or slower
	// than estimated.
	faster, slower = 0.3, 0.05
	// minTokens is the prefill from which an answer tells of a rate: shorter
	// ones take no longer than a step of the target, and tell of the latency.
	minTokens = 1500
	// longTokens is the prefill from which it tells of the curve.
	longTokens = 8000
	// maxFactor bounds a learnt rate, as a multiple of the configured one.
	maxFactor = 4
	// maxCurve bounds the curve: a prompt of ten thousand tokens takes twice
	// as long as in proportion.
	maxCurve = 1e-4
)

// Sample is one first token.
type Sample struct {
	// At is when it came, Elapsed the time since the request was sent.
	At, Elapsed time.Duration
	// PromptTokens is the tokens of the prompt, UncachedTokens those of them that the
	// target is expected to have prefilled.
	PromptTokens, UncachedTokens float64
	// NoOtherWork is set where nothing is known of other work at the target.
	NoOtherWork bool
}

// Estimator is what is known of one pool. It is not safe for concurrent use.
type Estimator struct {
	// rate is the configured prefill rate, in tokens a second.
	rate  float64
	rates map[string]float64
	// curve is the part by which each token of context lengthens the prefill
	// of a token.
	curve float64

	latency, last, current time.Duration
	windowEnd              time.Duration
}

// New makes an estimator that knows the configured prefill rate only.
func New(tokensPerSecond float64) *Estimator {
	return &Estimator{rate: tokensPerSecond, rates: map[string]float64{}}
}

// Latency is the time to a first token beyond the prefill; 0 while nothing was
// observed.
func (e *Estimator) Latency() time.Duration { return e.latency }

// Rate is the prefill rate of a target, in tokens a second of short prompts.
func (e *Estimator) Rate(target string) float64 {
	if r, known := e.rates[target]; known {
		return r
	}
	return e.rate
}

// EquivalentTokens is the tokens that a prefill counts as at the rate of short prompts.
func (e *Estimator) EquivalentTokens(prompt, uncached float64) float64 {
	return uncached * (1 + e.curve*context(prompt, uncached))
}

// context is the tokens before a prefilled one, on average.
func context(prompt, uncached float64) float64 { return max(0, prompt-uncached/2) }

// Retain drops what is known of targets that are gone.
func (e *Estimator) Retain(there func(target string) bool) {
	for t := range e.rates {
		if !there(t) {
			delete(e.rates, t)
		}
	}
}

// Observe takes in a first token of a target.
func (e *Estimator) Observe(target string, s Sample) {
	rate := e.Rate(target)
	if s.UncachedTokens < minTokens {
		prefill := time.Duration(e.EquivalentTokens(s.PromptTokens, s.UncachedTokens) / rate * float64(time.Second))
		e.observeLatency(s.At, max(time.Millisecond, s.Elapsed-prefill))
		return
	}
	took := (s.Elapsed - e.latency).Seconds()
	if !s.NoOtherWork || took <= 0 {
		return
	}
	if s.UncachedTokens >= longTokens {
		curve := (took*rate/s.UncachedTokens - 1) / context(s.PromptTokens, s.UncachedTokens)
		e.curve = min(maxCurve, follow(e.curve, max(0, curve), curve < e.curve))
		return
	}
	measured := e.EquivalentTokens(s.PromptTokens, s.UncachedTokens) / took
	e.rates[target] = min(maxFactor*e.rate, max(e.rate/maxFactor, follow(rate, measured, measured > rate)))
}

// follow moves an estimate towards a measured value.
func follow(estimate, measured float64, fast bool) float64 {
	weight := slower
	if fast {
		weight = faster
	}
	return estimate + weight*(measured-estimate)
}

func (e *Estimator) observeLatency(now, sample time.Duration) {
	if now >= e.windowEnd {
		e.last, e.current, e.windowEnd = e.current, 0, now+window
	}
	if e.current == 0 || sample < e.current {
		e.current = sample
	}
	e.latency = e.current
	if e.last > 0 {
		e.latency = min(e.last, e.current)
	}
}
