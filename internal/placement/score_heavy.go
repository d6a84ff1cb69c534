package placement

import "time"

// heavyScorer keeps heavy prompts and light ones on different targets. A target
// prefills prompts in the order of arrival, whatever their urgency: a question
// of a few hundred tokens that comes behind a dossier of fifty thousand waits
// for its whole prefill, which is longer than its latency objective. Apart,
// light prompts wait only for each other. The penalty is soft, so that either
// kind spills over when its own targets are busy or few are left.
type heavyScorer struct {
	tokens  int
	penalty time.Duration
}

func (heavyScorer) Name() string { return "heavy" }

func (s heavyScorer) Cost(_ time.Duration, r *Request, t *Target, _ *Candidate) time.Duration {
	if s.tokens <= 0 || s.heavy(r) == t.takesHeavy {
		return 0
	}
	return s.penalty
}

// heavy tells by the part of the prompt that no cache can hold.
func (s heavyScorer) heavy(r *Request) bool {
	return r.PromptTokens-r.fullTokens() > s.tokens
}
