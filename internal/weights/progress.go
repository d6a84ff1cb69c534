package weights

import (
	"time"

	"github.com/mastictray/mastictray/internal/directory"
)

type phase int

const (
	idle phase = iota
	// querying: the number of accepted orders has to be known before an order
	// is sent.
	querying
	// ordered: an order was sent, and its receipt has not arrived or was lost.
	ordered
	// loading: the order was accepted.
	loading
)

// progress is the state of one target's load.
type progress struct {
	incarnation directory.Incarnation
	phase       phase
	// version is the version of the last order; 0 if none was sent.
	version   int64
	startedAt time.Duration
	// lastBusyAt is when the last query was sent whose answer showed that the
	// target carries out an order.
	lastBusyAt   time.Duration
	nextQueryAt  time.Duration
	queryPending bool
	sentAt       time.Duration
	observation  *Observation
	// unacceptedAt is when the last query was sent whose answer showed that the
	// target carries out no order, although one was sent to it. 0 once a
	// receipt shows that the order was accepted.
	unacceptedAt time.Duration
}

// unconfirmed reports whether an order was sent but the target carries out
// none: the order was lost or is delayed.
func (prog *progress) unconfirmed() bool { return prog.unacceptedAt > max(prog.lastBusyAt, 0) }

func (p *Planner) progressOf(t *directory.Registration) *progress {
	prog := p.targets[t.ID]
	if prog == nil || prog.incarnation != t.Incarnation() {
		prog = &progress{incarnation: t.Incarnation()}
		p.targets[t.ID] = prog
	}
	return prog
}

// advance does what is due for one target and updates its state.
func (p *Planner) advance(now time.Duration, g Goal, t *directory.Registration, prog *progress, out *Actions) {
	version, _ := p.servedVersion(t, g.Model)
	if prog.version != 0 && version >= prog.version {
		p.recordLoadTime(now - prog.startedAt)
		out.Completed = append(out.Completed, CompletedLoad{Target: *t, Version: version, Took: now - prog.sentAt})
		*prog = progress{incarnation: prog.incarnation, observation: prog.observation}
		return
	}
	if version >= g.Version {
		*prog = progress{incarnation: prog.incarnation, observation: prog.observation}
		return
	}
	if prog.phase == querying && prog.version == 0 && prog.observation == nil && now-prog.startedAt >= p.settings.SilenceTimeout {
		// Nothing was ordered, and other instances may reach the target though
		// this one does not.
		*prog = progress{incarnation: prog.incarnation, nextQueryAt: now + p.settings.RetryAfter}
		return
	}
	if prog.phase == querying && prog.observation != nil && !prog.observation.Busy && (p.excluded(g, t) || p.announced(now, g, prog)) && now-prog.observation.QueriedAt < p.settings.RetryAfter {
		p.sendOrder(now, g, t, prog, out)
		return
	}
	if prog.phase == ordered && now-prog.sentAt >= p.settings.ResendAfter {
		prog.phase = querying
		prog.observation = nil
	}
	if prog.phase == loading && now-prog.sentAt >= p.settings.LoadTimeout {
		prog.phase, prog.observation = querying, nil
	}
	if !prog.queryPending && now >= prog.nextQueryAt {
		prog.queryPending = true
		prog.nextQueryAt = now + p.settings.PollInterval
		out.Queries = append(out.Queries, StateQuery{Target: *t})
	}
}

// announced reports whether a target has been announced for long enough to be ordered. Requests
// that run there may need more time than others to learn of it: they move to other targets. A load
// waits for those that are left, so the order does not wait for them as well.
func (p *Planner) announced(now time.Duration, g Goal, prog *progress) bool {
	since := now - prog.startedAt
	if since < p.settings.LeadTime {
		return false
	}
	return g.MoveTime == 0 || prog.observation.RunningRequests == 0 || since >= p.settings.LeadTime+g.MoveTime
}

// recordLoadTime updates the mean load time with one that has ended.
func (p *Planner) recordLoadTime(took time.Duration) {
	p.loadTime += time.Duration(loadTimeWeight * float64(min(took, p.settings.LoadTimeout)-p.loadTime))
}

// loadTimeWeight is the weight of one load in the moving average of load times.
const loadTimeWeight = 0.2

func (p *Planner) sendOrder(now time.Duration, g Goal, t *directory.Registration, prog *progress, out *Actions) {
	prog.phase, prog.sentAt, prog.version = ordered, now, g.Version
	prog.nextQueryAt = now + p.settings.PollInterval
	out.Orders = append(out.Orders, OutgoingOrder{Target: *t, Order: Order{
		Model: g.Model, Version: g.Version, ExpectedAccepted: prog.observation.AcceptedOrders,
	}})
}

// HandleObservation handles the answer to a state query; o is nil when there
// was none.
func (p *Planner) HandleObservation(now time.Duration, t directory.Incarnation, o *Observation) {
	prog := p.targets[t.ID]
	if prog == nil || prog.incarnation != t {
		return
	}
	prog.queryPending = false
	if o == nil {
		prog.nextQueryAt = now + p.settings.RetryAfter
		return
	}
	// While an order is in flight, the answer to an older query would give the
	// count from before it.
	if prog.phase == ordered && o.QueriedAt < prog.sentAt {
		return
	}
	switch {
	case o.Busy:
		prog.lastBusyAt = o.QueriedAt
	case prog.phase == querying && prog.version != 0:
		prog.unacceptedAt = o.QueriedAt
	}
	if prog.phase == ordered && (o.Busy || prog.observation != nil && o.AcceptedOrders > prog.observation.AcceptedOrders) {
		prog.phase = loading
	}
	if prog.phase == loading && !o.Busy && o.Versions != nil && o.QueriedAt > prog.sentAt+p.settings.PollInterval {
		// The load is done or has failed; the next step compares versions.
		prog.phase = querying
	}
	prog.observation = o
}

// HandleReceipt handles the receipt of an order; r is empty when there was no
// answer.
func (p *Planner) HandleReceipt(now time.Duration, t directory.Incarnation, r Receipt) {
	prog := p.targets[t.ID]
	if prog == nil || prog.incarnation != t || prog.phase != ordered {
		return
	}
	switch r {
	case ReceiptAccepted:
		prog.phase, prog.unacceptedAt = loading, 0
	case ReceiptAlreadyLoaded, ReceiptConflict:
		prog.phase, prog.observation, prog.nextQueryAt = querying, nil, now
	case ReceiptRejected:
		prog.phase, prog.observation, prog.nextQueryAt = idle, nil, now+p.settings.RetryAfter
	}
}
