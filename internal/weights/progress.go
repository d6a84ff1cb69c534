package weights

import (
	"time"

	"github.com/mastictray/mastictray/internal/directory"
)

type phase int

const (
	idle phase = iota
	// asking: the count of accepted orders is needed first.
	asking
	// ordered: an order is out, its answer is not here or was lost.
	ordered
	// loading: the order was accepted.
	loading
)

// progress is how far the load of one target has come.
type progress struct {
	incarnation directory.Incarnation
	phase       phase
	// version is what the last order asked for.
	version int64
	began   time.Duration
	// busyAt is when the target last said that it carries out an order.
	busyAt time.Duration
	askAt  time.Duration
	asking bool
	sentAt time.Duration
	seen   *Observation
	// idleAt is when the target last answered that it carries out no order,
	// after one was sent to it and no receipt came.
	idleAt time.Duration
}

// unconfirmed says that an order was sent, and that the target carries out none:
// the order was lost, or waits somewhere.
func (q *progress) unconfirmed() bool { return q.idleAt > max(q.busyAt, 0) }

func (p *Planner) of(t *directory.Registration) *progress {
	q := p.targets[t.ID]
	if q == nil || q.incarnation != t.Incarnation() {
		q = &progress{incarnation: t.Incarnation()}
		p.targets[t.ID] = q
	}
	return q
}

// step moves one target on.
func (p *Planner) step(now time.Duration, g Goal, t *directory.Registration, q *progress, out *Actions) {
	version, _ := p.served(t, g.Model)
	if q.version != 0 && version >= q.version {
		p.observeLoad(now - q.began)
		out.Completed = append(out.Completed, CompletedLoad{Target: *t, Version: version, Took: now - q.sentAt})
		*q = progress{incarnation: q.incarnation, seen: q.seen}
		return
	}
	if version >= g.Version {
		*q = progress{incarnation: q.incarnation, seen: q.seen}
		return
	}
	if q.phase == asking && q.version == 0 && q.seen == nil && now-q.began >= p.settings.SilenceTimeout {
		// Nothing was ordered, and callers may reach it though this instance
		// does not.
		*q = progress{incarnation: q.incarnation, askAt: now + p.settings.RetryAfter}
		return
	}
	if q.phase == asking && q.seen != nil && !q.seen.Busy && (p.excluded(g, t) || now-q.began >= p.settings.LeadTime) && now-q.seen.QueriedAt < p.settings.RetryAfter {
		p.send(now, g, t, q, out)
		return
	}
	if q.phase == ordered && now-q.sentAt >= p.settings.ResendAfter {
		q.phase = asking
		q.seen = nil
	}
	if q.phase == loading && now-q.sentAt >= p.settings.LoadTimeout {
		q.phase, q.seen = asking, nil
	}
	if !q.asking && now >= q.askAt {
		q.asking = true
		q.askAt = now + p.settings.PollInterval
		out.Queries = append(out.Queries, StateQuery{Target: *t})
	}
}

// observeLoad takes in the time from the choice of a target until it serves the
// new version.
func (p *Planner) observeLoad(took time.Duration) {
	p.loadTime += time.Duration(loadTimeWeight * float64(min(took, p.settings.LoadTimeout)-p.loadTime))
}

// loadTimeWeight is the weight of one load in the mean time of loads.
const loadTimeWeight = 0.2

func (p *Planner) send(now time.Duration, g Goal, t *directory.Registration, q *progress, out *Actions) {
	q.phase, q.sentAt, q.version = ordered, now, g.Version
	q.askAt = now + p.settings.PollInterval
	out.Orders = append(out.Orders, OutgoingOrder{Target: *t, Order: Order{
		Model: g.Model, Version: g.Version, ExpectedAccepted: q.seen.AcceptedOrders,
	}})
}

// HandleObservation takes in the answer to a question; nil for none.
func (p *Planner) HandleObservation(now time.Duration, t directory.Incarnation, o *Observation) {
	q := p.targets[t.ID]
	if q == nil || q.incarnation != t {
		return
	}
	q.asking = false
	if o == nil {
		q.askAt = now + p.settings.RetryAfter
		return
	}
	// While an order is under way, an answer to an older question would give
	// the count from before it.
	if q.phase == ordered && o.QueriedAt < q.sentAt {
		return
	}
	switch {
	case o.Busy:
		q.busyAt = o.QueriedAt
	case q.phase == asking && q.version != 0:
		q.idleAt = o.QueriedAt
	}
	if q.phase == ordered && (o.Busy || q.seen != nil && o.AcceptedOrders > q.seen.AcceptedOrders) {
		q.phase = loading
	}
	if q.phase == loading && !o.Busy && o.Versions != nil && o.QueriedAt > q.sentAt+p.settings.PollInterval {
		// Done, or failed: the next step compares versions.
		q.phase = asking
	}
	q.seen = o
}

// HandleReceipt takes in the receipt of an order; empty when there was no answer.
func (p *Planner) HandleReceipt(now time.Duration, t directory.Incarnation, r Receipt) {
	q := p.targets[t.ID]
	if q == nil || q.incarnation != t || q.phase != ordered {
		return
	}
	switch r {
	case ReceiptAccepted:
		q.phase, q.idleAt = loading, 0
	case ReceiptAlreadyLoaded, ReceiptConflict:
		q.phase, q.seen, q.askAt = asking, nil, now
	case ReceiptRejected:
		q.phase, q.seen, q.askAt = idle, nil, now+p.settings.RetryAfter
	}
}
