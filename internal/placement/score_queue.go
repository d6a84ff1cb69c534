package placement

import "time"

// queueScorer counts the prompt tokens that are prefilled before this request.
// What other instances have sent is told late: small differences between two
// queues are past by the time the request arrives. Were they counted, all
// instances would send to the target that looked idle last, and make a queue
// there. So a queue counts only beyond the slack.
type queueScorer struct {
	slack time.Duration
}

func (queueScorer) Name() string { return "queue" }

func (s queueScorer) Cost(now time.Duration, _ *Request, t *Target, _ *Candidate) time.Duration {
	rate := t.rate()
	return max(0, seconds(t.Load.Queued(now, rate), rate)-s.slack)
}
