package admission

// Estimator predicts the work of requests of one service from what earlier ones needed. It
// is not safe for concurrent use.
type Estimator struct {
	// missRatio is the fraction of shared prompt tokens that targets had to prefill.
	missRatio float64
	// secondsPerToken is the time per output token that a request may produce.
	secondsPerToken float64
}

const (
	// initialMissRatio and initialSecondsPerToken are assumed until there are samples.
	initialMissRatio       = 0.2
	initialSecondsPerToken = 0.01
	// sampleWeight is the smoothing weight of one sample.
	sampleWeight = 0.02
	// minSharedTokens is the size of the shared prompt from which a request is a sample of
	// the miss ratio.
	minSharedTokens = 100
)

// NewEstimator returns an estimator without samples.
func NewEstimator() *Estimator {
	return &Estimator{missRatio: initialMissRatio, secondsPerToken: initialSecondsPerToken}
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
	w.SlotSeconds = float64(p.MaxOutput) * e.secondsPerToken
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
	e.secondsPerToken += sampleWeight * (seconds/float64(p.MaxOutput) - e.secondsPerToken)
}
