package placement

import "time"

// queueScorer counts the prompt tokens that are prefilled before this request.
type queueScorer struct{}

func (queueScorer) Name() string { return "queue" }

func (queueScorer) Cost(now time.Duration, _ *Request, t *Target, _ *Candidate) time.Duration {
	rate := t.rate()
	return seconds(t.Load.Queued(now, rate), rate)
}
