package placement

import "time"

// maxTrackedSends bounds the requests tracked individually since the last load
// report. When it is exceeded, the two oldest are merged.
const maxTrackedSends = 64

// Load estimates the work queued at a target, in prompt tokens. Load reports are
// delayed: if only reports counted, every instance would send to the same idle
// target until the next report (a thundering herd). The estimate therefore adds the
// work that this instance sent after the report and subtracts what the target has
// prefilled since.
type Load struct {
	queued    float64
	asOf      time.Duration
	sent      [maxTrackedSends]send
	sentCount int
	// pending is the work that waits in this instance's queue for the target.
	pending float64
	// unanswered is the work sent by this instance whose first token has not
	// arrived; peerUnanswered is that of other instances as last reported.
	unanswered     float64
	peerUnanswered float64
}

// send is prompt work sent to the target at one time.
type send struct {
	at     time.Duration
	tokens float64
}

// Report applies a load report that describes the target at time asOf, on this
// process's monotonic clock. Reports older than the last one are ignored.
func (l *Load) Report(asOf time.Duration, queuedTokens float64) {
	if asOf < l.asOf {
		return
	}
	l.asOf, l.queued = asOf, queuedTokens
	kept := 0
	for _, s := range l.sent[:l.sentCount] {
		if s.at > asOf {
			l.sent[kept] = s
			kept++
		}
	}
	l.sentCount = kept
}

// Sent adds the uncached prompt tokens of a request that this instance sent to the
// target.
func (l *Load) Sent(now time.Duration, tokens float64) {
	if l.sentCount == maxTrackedSends {
		l.sent[0] = send{at: l.sent[1].at, tokens: l.sent[0].tokens + l.sent[1].tokens}
		copy(l.sent[1:], l.sent[2:])
		l.sentCount--
	}
	l.sent[l.sentCount] = send{at: now, tokens: tokens}
	l.sentCount++
	l.unanswered += tokens
}

// Answered removes the work of a request sent at sentAt whose first token has
// arrived. Targets prefill in order of arrival, so everything sent to the target
// earlier is finished too. Without this, a target that is faster than configured
// would count as busy, and requests would be held back while it is idle.
func (l *Load) Answered(sentAt time.Duration, tokens float64) {
	l.Failed(tokens)
	l.Report(sentAt, 0)
}

// Failed removes work that the target did not prefill.
func (l *Load) Failed(tokens float64) {
	l.unanswered = max(0, l.unanswered-tokens)
}

// Unanswered returns the prompt tokens sent by this instance whose first token has
// not arrived.
func (l *Load) Unanswered() float64 { return l.unanswered }

// AddPending counts work that waits in this instance's queue for the target. It
// lengthens the queue that later requests see, so that requests for a hot prefix
// spread to more targets while earlier ones are still held here.
func (l *Load) AddPending(tokens float64) { l.pending += tokens }

// Reset clears the load of a target that restarted as a new incarnation.
func (l *Load) Reset(now time.Duration) {
	*l = Load{asOf: now}
}

// Queued estimates the prompt tokens ahead of a new request, at the target and in
// this instance's queue. The rate is the target's prefill rate in tokens per second.
func (l *Load) Queued(now time.Duration, rate float64) float64 {
	return l.QueuedAtTarget(now, rate) + l.pending
}

// QueuedAtTarget estimates the prompt tokens waiting at the target itself. Work
// counts until its first token has arrived, even if at the prefill rate it should be
// finished: other work that no report has covered yet must then be ahead of it.
func (l *Load) QueuedAtTarget(now time.Duration, rate float64) float64 {
	queue, at := l.queued, l.asOf
	for _, s := range l.sent[:l.sentCount] {
		queue = drained(queue, s.at-at, rate) + s.tokens
		at = s.at
	}
	return max(drained(queue, now-at, rate), l.unanswered+l.peerUnanswered)
}

// SetPeerUnanswered sets the unanswered work of other instances at the target. It
// counts in full until the next update: if it were assumed to drain at the target's
// prefill rate, each instance would send more work while that of the others is
// still being processed.
func (l *Load) SetPeerUnanswered(tokens float64) { l.peerUnanswered = tokens }

// drained returns what is left of a queue after d at the given rate.
func drained(queue float64, d time.Duration, rate float64) float64 {
	if d <= 0 {
		return queue
	}
	return max(0, queue-rate*d.Seconds())
}
