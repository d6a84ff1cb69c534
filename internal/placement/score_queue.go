package placement

import "time"

// queueScorer adds the time for the work ahead of the request. Updates about work
// sent by other instances are delayed, so small differences between two queues have
// changed by the time the request arrives. If they counted, all instances would send
// to the target that looked idle last and build up a queue there. Only the part of a
// queue beyond the slack therefore counts.
type queueScorer struct {
	slack time.Duration
}

func (queueScorer) Name() string { return "queue" }

func (s queueScorer) Cost(now time.Duration, _ *Request, t *Target, _ *Candidate) time.Duration {
	rate := t.prefillRate()
	return max(0, processingTime(t.Load.Queued(now, rate), rate)-s.slack)
}
