package placement

import "time"

// maxSent bounds the sends remembered since a report. Older ones are merged.
const maxSent = 64

// Load estimates a target's queue. Reports lag: a report alone makes every
// instance send to the same idle target until the next one (a herd). The work
// that this instance sent since the report was true is added to it, and what
// the target has prefilled meanwhile is taken off.
type Load struct {
	queued float64
	asOf   time.Duration
	sent   [maxSent]send
	n      int
	parked float64
	// unanswered is the own work whose first token has not come, peers that
	// of other instances as they last told.
	unanswered float64
	peers      float64
}

// send is prompt work given to the target.
type send struct {
	at     time.Duration
	tokens float64
}

// Report takes in a load report that was true at asOf, in this process's
// monotonic time. A report older than the last one is ignored.
func (l *Load) Report(asOf time.Duration, queuedTokens float64) {
	if asOf < l.asOf {
		return
	}
	l.asOf, l.queued = asOf, queuedTokens
	kept := 0
	for _, s := range l.sent[:l.n] {
		if s.at > asOf {
			l.sent[kept] = s
			kept++
		}
	}
	l.n = kept
}

// Sent records uncached prompt tokens that this instance gave the target.
func (l *Load) Sent(now time.Duration, tokens float64) {
	if l.n == maxSent {
		l.sent[0] = send{at: l.sent[1].at, tokens: l.sent[0].tokens + l.sent[1].tokens}
		copy(l.sent[1:], l.sent[2:])
		l.n--
	}
	l.sent[l.n] = send{at: now, tokens: tokens}
	l.n++
	l.unanswered += tokens
}

// Answered takes off own work, sent at sentAt, whose first token came. Targets
// prefill in the order of arrival, so what was given to the target before that
// is done as well. Without this a target faster than configured would count as
// busy, and requests would be held here while it is idle.
func (l *Load) Answered(sentAt time.Duration, tokens float64) {
	l.Failed(tokens)
	l.Report(sentAt, 0)
}

// Failed takes off own work that the target did not do.
func (l *Load) Failed(tokens float64) {
	l.unanswered = max(0, l.unanswered-tokens)
}

// Unanswered is the own work whose first token has not come, in prompt tokens.
func (l *Load) Unanswered() float64 { return l.unanswered }

// AddPending counts work that waits at this instance for the target. It lengthens
// the queue that later requests see, so that a hot prefix widens while its
// requests are still held here.
func (l *Load) AddPending(tokens float64) { l.parked += tokens }

// Reset forgets the load of a target that came back as a new incarnation.
func (l *Load) Reset(now time.Duration) {
	*l = Load{asOf: now}
}

// Queued estimates the prompt tokens that a new request would wait for, given
// the target's prefill rate in tokens a second.
func (l *Load) Queued(now time.Duration, rate float64) float64 {
	return l.QueuedAtTarget(now, rate) + l.parked
}

// QueuedAtTarget estimates the prompt tokens waiting at the target itself. Work counts
// until its first token came, also when it should have been prefilled by now:
// then other work, which no report has told of yet, is ahead of it.
func (l *Load) QueuedAtTarget(now time.Duration, rate float64) float64 {
	queue, at := l.queued, l.asOf
	for _, s := range l.sent[:l.n] {
		queue = drained(queue, s.at-at, rate) + s.tokens
		at = s.at
	}
	return max(drained(queue, now-at, rate), l.unanswered+l.peers)
}

// SetPeerUnanswered takes in the unanswered work of other instances at the target. It
// counts in full until they tell of less: taken for drained at the target's
// rate, each instance would fill up what another's work still takes.
func (l *Load) SetPeerUnanswered(tokens float64) { l.peers = tokens }

func drained(queue float64, d time.Duration, rate float64) float64 {
	if d <= 0 {
		return queue
	}
	return max(0, queue-rate*d.Seconds())
}
