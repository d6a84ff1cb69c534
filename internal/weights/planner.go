// Package weights brings model servers to the newest weights that operators
// named.
//
// The planner compares what targets report with what is wanted and says which
// target to ask and which to order next. It keeps no ledger: targets report
// the orders that they have accepted, an order carries the count at which it
// is to be carried out, and an older one that arrives late finds another
// count. So a new holder of the lease starts from the targets' own word.
//
// The package is pure.
package weights

import (
	"cmp"
	"slices"
	"time"

	"github.com/mastictray/mastictray/internal/directory"
)

// Observation is what a target answered to a question about its state.
type Observation struct {
	// QueriedAt is when the question was sent.
	QueriedAt time.Duration
	// Versions are the weights versions of its models.
	Versions map[string]int64
	// Busy is set while it carries out an order.
	Busy bool
	// AcceptedOrders counts the orders accepted since its start.
	AcceptedOrders int64
}

// Order makes a target load a version.
type Order struct {
	Model   string
	Version int64
	// ExpectedAccepted is the count at which the order is to be carried out.
	ExpectedAccepted int64
	// Holder and Token name the lease under which it is given.
	Holder string
	Token  int64
}

// Receipt is a target's answer to an order.
type Receipt string

// The receipts. No answer at all leaves open whether the order was accepted.
const (
	// ReceiptAccepted: the target carries it out.
	ReceiptAccepted Receipt = "taken"
	// ReceiptAlreadyLoaded: the target has the version already.
	ReceiptAlreadyLoaded Receipt = "in_force"
	// ReceiptConflict: another order is under way, or the count is another.
	ReceiptConflict Receipt = "conflict"
	// ReceiptRejected: the order is not valid, its token is stale, or another target
	// has the address.
	ReceiptRejected Receipt = "rejected"
)

// Settings of a planner.
type Settings struct {
	// ParallelDivisor: one in so many of the targets may load at once.
	ParallelDivisor int
	// LeadTime is how long a target is announced as about to load before it
	// is ordered: one exchange between instances and a bit. A request sent
	// meanwhile would be refused.
	LeadTime time.Duration
	// PollInterval is the pause between questions to a target that loads.
	PollInterval time.Duration
	// ResendAfter is when an order without an answer is sent again, if the
	// target's count shows that it was not accepted.
	ResendAfter time.Duration
	// RetryAfter is the pause after a target rejected an order or could not
	// be asked.
	RetryAfter time.Duration
	// SilenceTimeout is when a target without a sign of a load no longer holds up
	// the others.
	SilenceTimeout time.Duration
	// InitialLoadTime is the time from the choice of a target until it serves the new
	// version, before any was observed.
	InitialLoadTime time.Duration
	// LoadTimeout is when a target that does not come back with the version is
	// ordered again.
	LoadTimeout time.Duration
}

// DefaultSettings suit loads of about a second.
func DefaultSettings() Settings {
	return Settings{
		ParallelDivisor: 5,
		LeadTime:        300 * time.Millisecond,
		PollInterval:       250 * time.Millisecond, // reports lag by 100 ms
		ResendAfter:     1200 * time.Millisecond,
		RetryAfter:      time.Second,
		SilenceTimeout:     2 * time.Second,
		InitialLoadTime:        2 * time.Second,
		LoadTimeout:     4 * time.Second,
	}
}

// Planner decides for all model servers. It is not safe for concurrent use.
type Planner struct {
	settings Settings
	targets  map[string]*progress
	// loadTime is the time from the choice of a target until it serves the new
	// version, as observed.
	loadTime time.Duration
}

// New makes a planner that knows nothing of any target.
func New(s Settings) *Planner {
	return &Planner{settings: s, targets: map[string]*progress{}, loadTime: s.InitialLoadTime}
}

// Goal is a version that targets of a service should serve.
type Goal struct {
	Service string
	Model   string
	Version int64
	// OldestServing is the oldest version that may serve. Targets behind it get no
	// requests.
	OldestServing int64
	// Deadlines are those still to come, in any order.
	Deadlines []Deadline
	// Unreachable are the targets that answer nobody at present.
	Unreachable map[string]bool
}

// Deadline is when targets with older weights than a version get no requests
// any more.
type Deadline struct {
	Version int64
	At      time.Duration
}

// StateQuery is a question to send to a target.
type StateQuery struct{ Target directory.Registration }

// OutgoingOrder is an order to send to a target.
type OutgoingOrder struct {
	Target directory.Registration
	Order  Order
}

// CompletedLoad is a load that has ended.
type CompletedLoad struct {
	Target  directory.Registration
	Version int64
	// Took is the time from the order to the first sight of the new version.
	Took time.Duration
}

// Actions are what to do now.
type Actions struct {
	Queries  []StateQuery
	Orders []OutgoingOrder
	// Completed lists the loads that have ended since the last call.
	Completed []CompletedLoad
}

// HasPending says whether some target does not serve its goal, as far as known.
func (p *Planner) HasPending(g Goal, targets []directory.Registration) bool {
	return slices.ContainsFunc(targets, func(t directory.Registration) bool { return p.behind(g, &t) })
}

// behind compares the newest word on a target's version with the goal.
func (p *Planner) behind(g Goal, t *directory.Registration) bool {
	return p.older(t, g.Model, g.Version)
}

// older says that a target is known to serve an older version of a model.
func (p *Planner) older(t *directory.Registration, model string, than int64) bool {
	version, known := p.served(t, model)
	return known && version < than
}

// served is the version of a model that a target was seen to serve or has
// registered, the newer of the two; false when neither tells.
func (p *Planner) served(t *directory.Registration, model string) (version int64, known bool) {
	version, known = t.Versions[model]
	if q := p.targets[t.ID]; q != nil && q.incarnation == t.Incarnation() && q.seen != nil {
		if v, ok := q.seen.Versions[model]; ok {
			version, known = max(version, v), true
		}
	}
	return version, known
}

// TrackLoads watches the loads that were ordered under a lease that is lost. It
// orders nothing. Without it the targets would count as loading until this
// instance holds the lease again.
func (p *Planner) TrackLoads(now time.Duration, g Goal, targets []directory.Registration) Actions {
	var out Actions
	for i := range targets {
		t := &targets[i]
		q := p.of(t)
		if q.phase == asking || q.phase == ordered && now-q.sentAt >= p.settings.ResendAfter {
			q.phase, q.seen = idle, nil
		}
		if q.phase != idle {
			p.step(now, g, t, q, &out)
		}
	}
	return out
}

// Tick decides for one goal. Only the holder of the lease may call it.
func (p *Planner) Tick(now time.Duration, g Goal, targets []directory.Registration) Actions {
	var out Actions
	p.forget(targets)
	underWay, late, limit := 0, p.late(g, targets), p.limit(now, g, targets)
	for i := range targets {
		t := &targets[i]
		q := p.of(t)
		if q.phase != idle {
			p.step(now, g, t, q, &out)
		}
		if p.holdsSlot(now, g, t, q) && !(late && p.excluded(g, t)) {
			underWay++
		}
	}
	for _, t := range p.candidates(now, g, targets) {
		free := late && p.excluded(g, &t) || g.Unreachable[t.ID]
		if !free && (underWay >= limit || late && p.mayWait(now, g, &t)) {
			continue
		}
		q := p.of(&t)
		q.phase, q.began, q.askAt, q.seen, q.busyAt = asking, now, now, nil, 0
		p.step(now, g, &t, q, &out)
		if !free {
			underWay++
		}
	}
	return out
}

// late says that most targets are excluded, as after a restart of all. These
// load together: that takes nothing from callers, and in turns the rollout would
// not end in time.
func (p *Planner) late(g Goal, targets []directory.Registration) bool {
	return 2*p.countOlder(g, targets, g.OldestServing) > len(targets)
}

// mayWait says that a target has the time to load after those that are excluded
// now. Most are, so the few that serve are all that callers have.
func (p *Planner) mayWait(now time.Duration, g Goal, t *directory.Registration) bool {
	for _, d := range g.Deadlines {
		if p.older(t, g.Model, d.Version) && d.At-now < p.settings.LoadTimeout {
			return false
		}
	}
	return true
}

// limit is the number of loads under way up to which a target may begin one.
// Loads slow each other down, so a rollout gains little by many of them. Where
// the usual number would miss a deadline, or has missed one, some more load.
func (p *Planner) limit(now time.Duration, g Goal, targets []directory.Registration) int {
	usual := max(1, len(targets)/p.settings.ParallelDivisor)
	hurried := 1 + (len(targets)+p.settings.ParallelDivisor-1)/p.settings.ParallelDivisor
	if p.countOlder(g, targets, g.OldestServing) > 0 {
		return hurried
	}
	expected := p.expectedLoad(now, targets)
	for _, d := range g.Deadlines {
		rounds := int((d.At - now) / expected)
		if p.countOlder(g, targets, d.Version) > usual*rounds {
			return hurried
		}
	}
	return usual
}

// expectedLoad is the time that a load takes: the mean of those that have ended,
// or of those under way if that is longer already.
func (p *Planner) expectedLoad(now time.Duration, targets []directory.Registration) time.Duration {
	elapsed, n := time.Duration(0), time.Duration(0)
	for i := range targets {
		if q := p.of(&targets[i]); q.phase != idle && q.version != 0 {
			elapsed, n = elapsed+now-q.began, n+1
		}
	}
	return max(p.loadTime, elapsed/max(n, 1))
}

// countOlder counts the targets that are known to serve an older version.
func (p *Planner) countOlder(g Goal, targets []directory.Registration, than int64) int {
	n := 0
	for i := range targets {
		if p.older(&targets[i], g.Model, than) {
			n++
		}
	}
	return n
}

// holdsSlot says that a target's load is under way, as far as there are signs
// of it. A silent target must not hold up the others, and a slow load must: the
// weight source is shared, and loads slow each other down.
func (p *Planner) holdsSlot(now time.Duration, g Goal, t *directory.Registration, q *progress) bool {
	if q.phase == asking && q.seen == nil && g.Unreachable[t.ID] || q.unconfirmed() {
		return false
	}
	return q.phase != idle && now-max(q.began, q.busyAt) < p.settings.SilenceTimeout
}

// excluded says that a target gets no requests, since its weights are too old.
func (p *Planner) excluded(g Goal, t *directory.Registration) bool {
	return p.older(t, g.Model, g.OldestServing)
}

// candidates are the targets to start on: those with the oldest weights first,
// since their time runs out first, and spread over failure domains so that none
// loses all its servers at once.
func (p *Planner) candidates(now time.Duration, g Goal, targets []directory.Registration) []directory.Registration {
	var out []directory.Registration
	perDomain := map[string]int{}
	rank := map[string]int{}
	for _, t := range targets {
		if q := p.of(&t); q.phase != idle || now < q.askAt || !p.behind(g, &t) {
			continue
		}
		rank[t.ID] = perDomain[t.Domain]
		perDomain[t.Domain]++
		out = append(out, t)
	}
	slices.SortStableFunc(out, func(a, b directory.Registration) int {
		oldA, _ := p.served(&a, g.Model)
		oldB, _ := p.served(&b, g.Model)
		return cmp.Or(cmp.Compare(oldA, oldB), cmp.Compare(rank[a.ID], rank[b.ID]))
	})
	return out
}

// forget drops targets that are gone once there are many of them. A call knows
// one service's targets only; those of others are then asked anew.
func (p *Planner) forget(targets []directory.Registration) {
	if len(p.targets) <= forgetFactor*len(targets)+forgetFloor {
		return
	}
	there := map[string]bool{}
	for _, t := range targets {
		there[t.ID] = true
	}
	for id := range p.targets {
		if !there[id] {
			delete(p.targets, id)
		}
	}
}

// The targets remembered beyond those of one service, before some are dropped.
const (
	forgetFactor = 4
	forgetFloor  = 64
)

// LoadingTargets lists the targets that are about to be ordered, or were and are not
// done yet: they refuse requests. One that took no order goes on serving.
func (p *Planner) LoadingTargets() []string {
	var ids []string
	for id, q := range p.targets {
		if q.phase != idle && !q.unconfirmed() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
