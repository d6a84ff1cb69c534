package admission

import "time"

// Estimator predicts the work of requests of one service from what earlier ones needed. It
// is not safe for concurrent use.
type Estimator struct {
	// missRatio is the fraction of shared prompt tokens that targets had to prefill.
	missRatio float64
	// outputSeconds is the mean time from the first token to the end of an answer, by
	// urgency; 0 without samples. Answers of one urgency are alike, and may be far shorter
	// than the requests allow.
	outputSeconds [MaxUrgency + 1]float64
	// wait is the mean time for which requests waited at their targets.
	wait time.Duration
}

const (
	// initialMissRatio and initialSecondsPerToken are assumed until there are samples.
	initialMissRatio       = 0.2
	initialSecondsPerToken = 0.01
	// sampleWeight is the smoothing weight of one sample, waitWeight that of a wait, which
	// changes faster.
	sampleWeight = 0.02
	waitWeight   = 0.1
	// maxWaitSample bounds the effect of a target that hangs.
	maxWaitSample = time.Second
	// minSharedTokens is the size of the shared prompt from which a request is a sample of
	// the miss ratio.
	minSharedTokens = 100
)

// NewEstimator returns an estimator without samples.
func NewEstimator() *Estimator {
	return &Estimator{missRatio: initialMissRatio}
}

// Prompt describes a request's prompt and the maximum size of its answer, in tokens.
type Prompt struct {
	Tokens int
	// Unshared is the part of the prompt that no other request shares.
	Unshared  int
	MaxOutput int
}

func (p Prompt) shared() float64 { return float64(max(0, p.Tokens-p.Unshared)) }

// Work predicts the work of a request at targets with the given prefill rate, in tokens
// per second.
func (e *Estimator) Work(p Prompt, urgency int, prefillRate float64) Work {
	w := Work{Tokens: float64(p.Unshared) + e.missRatio*p.shared()}
	w.SlotSeconds = e.outputSeconds[clampUrgency(urgency)]
	if w.SlotSeconds == 0 {
		w.SlotSeconds = float64(p.MaxOutput) * initialSecondsPerToken
	}
	if prefillRate > 0 {
		w.SlotSeconds += w.Tokens / prefillRate
	}
	return w
}

// ObservePrefill records how many tokens a target had to prefill.
func (e *Estimator) ObservePrefill(p Prompt, uncachedTokens float64) {
	if p.shared() < minSharedTokens {
		return
	}
	missed := min(1, max(0, uncachedTokens-float64(p.Unshared))/p.shared())
	e.missRatio += sampleWeight * (missed - e.missRatio)
}

// ObserveOutput records how long a target has taken from the first token to the end of a
// complete answer.
func (e *Estimator) ObserveOutput(urgency int, seconds float64) {
	mean := &e.outputSeconds[clampUrgency(urgency)]
	if *mean == 0 {
		*mean = seconds
		return
	}
	*mean += sampleWeight * (seconds - *mean)
}

// ObserveWait records the time to a first token beyond the latency and the prefill: the
// request has waited at its target for a slot or for other requests.
func (e *Estimator) ObserveWait(wait time.Duration) {
	wait = min(max(wait, 0), maxWaitSample)
	e.wait += time.Duration(waitWeight * float64(wait-e.wait))
}

// Wait returns the mean time for which recent requests waited at their targets.
func (e *Estimator) Wait() time.Duration { return e.wait }
