package placement

import "time"

// outdatedScorer prefers targets with the newest weights while a rollout is
// under way, as long as their queue is not longer by more than the penalty.
type outdatedScorer struct {
	penalty time.Duration
}

func (outdatedScorer) Name() string { return "outdated" }

func (s outdatedScorer) Cost(_ time.Duration, r *Request, t *Target, _ *Candidate) time.Duration {
	switch {
	case t.LoadsSoon && r.Long:
		return loadsSoonPenalties * s.penalty
	case t.Outdated:
		return s.penalty
	}
	return 0
}

// loadsSoonPenalties is the penalties for a long request on a target that
// takes new weights soon: it would keep the whole target waiting for seconds,
// as long as there is any other place for it.
const loadsSoonPenalties = 4
