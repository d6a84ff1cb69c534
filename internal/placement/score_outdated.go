package placement

import "time"

// outdatedScorer prefers targets with the newest weights during a rollout, unless
// their time to first token is longer by more than the penalty.
type outdatedScorer struct {
	penalty time.Duration
}

func (outdatedScorer) Name() string { return "outdated" }

func (s outdatedScorer) Cost(_ time.Duration, _ *Request, t *Target, _ *Candidate) time.Duration {
	if t.Outdated {
		return s.penalty
	}
	return 0
}
