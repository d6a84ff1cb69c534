package placement

import "time"

// maxBacklogSample bounds the targets read for one estimate.
const maxBacklogSample = 64

// Backlog is the mean time that the prompt work already given to the live
// targets will take. Work is held in the fair queue while it is high: a
// target's own queue is first come first served, so whatever waits there can
// no longer be put in a fair order.
func (p *Pool) Backlog(now time.Duration) time.Duration {
	step := max(1, len(p.targets)/maxBacklogSample)
	var sum time.Duration
	n := 0
	for i := 0; i < len(p.targets); i += step {
		if p.rejected[i] != 0 {
			continue
		}
		t := &p.targets[i]
		rate := t.rate()
		sum += seconds(t.Load.Queued(now, rate), rate)
		n++
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}
