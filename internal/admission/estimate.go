package admission

import "time"

// Estimator predicts the work of requests of one service from what earlier ones needed. It
// is not safe for concurrent use.
type Estimator struct {
	// missRatio is the fraction of shared prompt tokens that targets had to prefill.
	missRatio float64
	// outputSeconds and outputTokens are decaying sums over complete answers. Their ratio is
	// the time per output token; a mean of ratios would follow the many short answers, whose
	// first event is their last.
	outputSeconds, outputTokens float64
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
	return &Estimator{missRatio: initialMissRatio, outputSeconds: initialSecondsPerToken, outputTokens: 1}
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
func (e *Estimator) Work(p Prompt, prefillRate float64) Work {
	w := Work{Tokens: float64(p.Unshared) + e.missRatio*p.shared()}
	w.SlotSeconds = float64(p.MaxOutput) * e.outputSeconds / e.outputTokens
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
func (e *Estimator) ObserveOutput(p Prompt, seconds float64) {
	if p.MaxOutput <= 0 {
		return
	}
	e.outputSeconds = (1-sampleWeight)*e.outputSeconds + seconds
	e.outputTokens = (1-sampleWeight)*e.outputTokens + float64(p.MaxOutput)
}

// ObserveWait records the time to a first token beyond the latency and the prefill: the
// request has waited at its target for a slot or for other requests.
func (e *Estimator) ObserveWait(wait time.Duration) {
	wait = min(max(wait, 0), maxWaitSample)
	e.wait += time.Duration(waitWeight * float64(wait-e.wait))
}

// Wait returns the mean time for which recent requests waited at their targets.
func (e *Estimator) Wait() time.Duration { return e.wait }
