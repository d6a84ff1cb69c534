// Package weights brings model servers to the newest weights version that
// operators named.
//
// The planner compares what targets report with what operators want, and tells
// which target to query and which to order next. It keeps no log of orders:
// targets report how many orders they have accepted, and each order carries the
// count that it expects, so that an older order that arrives late finds another
// count and is refused. Therefore a new holder of the lease can start from the
// targets' reports alone.
//
// The package does no I/O and reads no clock.
package weights

import (
	"cmp"
	"slices"
	"time"

	"github.com/mastictray/mastictray/internal/directory"
)

// Observation is a target's answer to a state query.
type Observation struct {
	// QueriedAt is when the query was sent.
	QueriedAt time.Duration
	// Versions maps each of the target's models to its weights version.
	Versions map[string]int64
	// Busy is set while the target carries out an order.
	Busy bool
	// AcceptedOrders is the number of orders accepted since the target started.
	AcceptedOrders int64
	// RunningRequests is the number of requests that the target runs.
	RunningRequests int
}

// Order tells a target to load a version.
type Order struct {
	Model   string
	Version int64
	// ExpectedAccepted is the number of accepted orders at which the target
	// carries this order out. At any other number it refuses.
	ExpectedAccepted int64
	// Holder and Token identify the lease under which the order is sent.
	Holder string
	Token  int64
}

// Receipt is a target's answer to an order.
type Receipt string

// The possible receipts. If no answer arrives, it is unknown whether the order
// was accepted.
const (
	// ReceiptAccepted: the target carries the order out.
	ReceiptAccepted Receipt = "taken"
	// ReceiptAlreadyLoaded: the target has the version already.
	ReceiptAlreadyLoaded Receipt = "in_force"
	// ReceiptConflict: another order is being carried out, or the number of
	// accepted orders differs from the expected one.
	ReceiptConflict Receipt = "conflict"
	// ReceiptRejected: the order is not valid, its fencing token is stale, or
	// another target has the address.
	ReceiptRejected Receipt = "rejected"
)

// Settings configure a planner.
type Settings struct {
	// ParallelDivisor sets the usual number of targets that load at the same
	// time: one in this many.
	ParallelDivisor int
	// LeadTime is how long a target is announced as about to load before it is
	// ordered. It is a little more than one exchange between instances:
	// requests sent to the target by instances that do not yet know of the load
	// would be refused.
	LeadTime time.Duration
	// PollInterval is the time between queries to a target that loads.
	PollInterval time.Duration
	// ResendAfter is the time after which an order without an answer is sent
	// again, if the target's count shows that it was not accepted.
	ResendAfter time.Duration
	// RetryAfter is the pause after a target rejected an order or could not be
	// queried.
	RetryAfter time.Duration
	// SilenceTimeout is the time after which a target that shows no sign of a
	// load no longer occupies a load slot.
	SilenceTimeout time.Duration
	// InitialLoadTime is the assumed time from the choice of a target until it
	// serves the new version, before any load was observed.
	InitialLoadTime time.Duration
	// LoadTimeout is the time after which a target that does not serve the
	// version is ordered again.
	LoadTimeout time.Duration
}

// DefaultSettings returns settings that suit loads of about a second.
func DefaultSettings() Settings {
	return Settings{
		ParallelDivisor: 5,
		LeadTime:        300 * time.Millisecond,
		PollInterval:    250 * time.Millisecond, // reports lag by 100 ms
		ResendAfter:     1200 * time.Millisecond,
		RetryAfter:      time.Second,
		SilenceTimeout:  2 * time.Second,
		InitialLoadTime: 2 * time.Second,
		LoadTimeout:     4 * time.Second,
	}
}

// Planner decides which model servers load when. It is not safe for concurrent
// use.
type Planner struct {
	settings Settings
	targets  map[string]*progress
	// loadTime is the mean time from the choice of a target until it serves the
	// new version, as observed.
	loadTime time.Duration
}

// New returns a planner that knows nothing of any target.
func New(s Settings) *Planner {
	return &Planner{settings: s, targets: map[string]*progress{}, loadTime: s.InitialLoadTime}
}

// Goal is the version that the targets of a service should serve.
type Goal struct {
	Service string
	Model   string
	Version int64
	// OldestServing is the oldest version that may serve. Targets with older
	// ones are excluded: they get no requests.
	OldestServing int64
	// Deadlines lists the deadlines that have not passed, in any order.
	Deadlines []Deadline
	// Unreachable holds the targets that currently answer no instance.
	Unreachable map[string]bool
	// MoveTime is how long the order to a target may wait, after the announcement, for running
	// requests to move to other targets; 0 if they can't be moved.
	MoveTime time.Duration
}

// Deadline is the time from which targets with weights older than Version get
// no requests.
type Deadline struct {
	Version int64
	At      time.Duration
}

// StateQuery is a query to send to a target.
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
	// Took is the time from the order until the new version was first seen.
	Took time.Duration
}

// Actions are the queries and orders to send now.
type Actions struct {
	Queries []StateQuery
	Orders  []OutgoingOrder
	// Completed lists the loads that have ended since the last call.
	Completed []CompletedLoad
}

// HasPending reports whether some target is known to serve an older version
// than its goal.
func (p *Planner) HasPending(g Goal, targets []directory.Registration) bool {
	return slices.ContainsFunc(targets, func(t directory.Registration) bool { return p.needsLoad(g, &t) })
}

// needsLoad reports whether a target is known to serve an older version than
// its goal.
func (p *Planner) needsLoad(g Goal, t *directory.Registration) bool {
	return p.servesOlder(t, g.Model, g.Version)
}

// servesOlder reports whether a target is known to serve a version of a model
// older than the given one.
func (p *Planner) servesOlder(t *directory.Registration, model string, than int64) bool {
	version, known := p.servedVersion(t, model)
	return known && version < than
}

// servedVersion returns the newer of the versions of a model that a target was
// observed to serve and has registered; known is false when there is neither.
func (p *Planner) servedVersion(t *directory.Registration, model string) (version int64, known bool) {
	version, known = t.Versions[model]
	if prog := p.targets[t.ID]; prog != nil && prog.incarnation == t.Incarnation() && prog.observation != nil {
		if v, ok := prog.observation.Versions[model]; ok {
			version, known = max(version, v), true
		}
	}
	return version, known
}

// TrackLoads tracks loads that were ordered before the lease was lost, and
// orders nothing. Without it these targets would count as loading until this
// instance holds the lease again.
func (p *Planner) TrackLoads(now time.Duration, g Goal, targets []directory.Registration) Actions {
	var out Actions
	for i := range targets {
		t := &targets[i]
		prog := p.progressOf(t)
		if prog.phase == querying || prog.phase == ordered && now-prog.sentAt >= p.settings.ResendAfter {
			prog.phase, prog.observation = idle, nil
		}
		if prog.phase != idle {
			p.advance(now, g, t, prog, &out)
		}
	}
	return out
}

// Tick decides what to do for one goal. Only the holder of the lease may call
// it.
func (p *Planner) Tick(now time.Duration, g Goal, targets []directory.Registration) Actions {
	var out Actions
	p.prune(targets)
	loads, mostExcluded, limit := 0, p.mostExcluded(g, targets), p.loadLimit(now, g, targets)
	for i := range targets {
		t := &targets[i]
		prog := p.progressOf(t)
		if prog.phase != idle {
			p.advance(now, g, t, prog, &out)
		}
		if p.holdsSlot(now, g, t, prog) && !(mostExcluded && p.excluded(g, t)) {
			loads++
		}
	}
	for _, t := range p.candidates(now, g, targets) {
		exempt := mostExcluded && p.excluded(g, &t) || g.Unreachable[t.ID]
		if !exempt && (loads >= limit || mostExcluded && p.canWait(now, g, &t)) {
			continue
		}
		prog := p.progressOf(&t)
		prog.phase, prog.startedAt, prog.nextQueryAt, prog.observation, prog.lastBusyAt = querying, now, now, nil, 0
		p.advance(now, g, &t, prog, &out)
		if !exempt {
			loads++
		}
	}
	return out
}

// mostExcluded reports whether most targets are excluded, as after a restart of
// all. These load at the same time: that takes nothing from callers, and with
// the usual number of loads the rollout would not end in time.
func (p *Planner) mostExcluded(g Goal, targets []directory.Registration) bool {
	return 2*p.countOlder(g, targets, g.OldestServing) > len(targets)
}

// canWait reports whether a target has the time to load after the targets that
// are excluded now. When most are excluded, callers have only the few that
// serve.
func (p *Planner) canWait(now time.Duration, g Goal, t *directory.Registration) bool {
	for _, d := range g.Deadlines {
		if p.servesOlder(t, g.Model, d.Version) && d.At-now < p.settings.LoadTimeout {
			return false
		}
	}
	return true
}

// loadLimit returns the maximum number of loads at the same time. Loads slow
// each other down, so more of them finish a rollout little sooner. The limit is
// raised when a deadline has passed for some targets or would pass with the
// usual number.
func (p *Planner) loadLimit(now time.Duration, g Goal, targets []directory.Registration) int {
	usual := usualLoadLimit(len(targets), p.settings.ParallelDivisor)
	raised := 1 + (len(targets)+p.settings.ParallelDivisor-1)/p.settings.ParallelDivisor
	if p.countOlder(g, targets, g.OldestServing) > 0 {
		return raised
	}
	expected := p.expectedLoadTime(now, targets)
	for _, d := range g.Deadlines {
		rounds := int((d.At - now) / expected)
		if p.countOlder(g, targets, d.Version) > usual*rounds {
			return raised
		}
	}
	return usual
}

// expectedLoadTime returns the time that a load takes: the mean of the loads
// that have ended, or of those under way if that is longer already.
func (p *Planner) expectedLoadTime(now time.Duration, targets []directory.Registration) time.Duration {
	elapsed, n := time.Duration(0), time.Duration(0)
	for i := range targets {
		if prog := p.progressOf(&targets[i]); prog.phase != idle && prog.version != 0 {
			elapsed, n = elapsed+now-prog.startedAt, n+1
		}
	}
	return max(p.loadTime, elapsed/max(n, 1))
}

// countOlder returns the number of targets known to serve an older version.
func (p *Planner) countOlder(g Goal, targets []directory.Registration, than int64) int {
	n := 0
	for i := range targets {
		if p.servesOlder(&targets[i], g.Model, than) {
			n++
		}
	}
	return n
}

// holdsSlot reports whether a target occupies a load slot, as far as there are
// signs that its load is under way. A silent target must not hold up the
// others. A slow load must: the source of the weights is shared, and loads slow
// each other down.
func (p *Planner) holdsSlot(now time.Duration, g Goal, t *directory.Registration, prog *progress) bool {
	if prog.phase == querying && prog.observation == nil && g.Unreachable[t.ID] || prog.unconfirmed() {
		return false
	}
	return prog.phase != idle && now-max(prog.startedAt, prog.lastBusyAt) < p.settings.SilenceTimeout
}

// excluded reports whether a target gets no requests because its weights are
// too old.
func (p *Planner) excluded(g Goal, t *directory.Registration) bool {
	return p.servesOlder(t, g.Model, g.OldestServing)
}

// candidates returns the targets to load next: those with the oldest weights
// first, since their deadlines pass first, and spread over failure domains so
// that no domain loses all its servers at once.
func (p *Planner) candidates(now time.Duration, g Goal, targets []directory.Registration) []directory.Registration {
	var out []directory.Registration
	for _, t := range targets {
		if prog := p.progressOf(&t); prog.phase != idle || now < prog.nextQueryAt || !p.needsLoad(g, &t) {
			continue
		}
		out = append(out, t)
	}
	sortByLoadOrder(out, func(t *directory.Registration) int64 {
		version, _ := p.servedVersion(t, g.Model)
		return version
	})
	return out
}

// sortByLoadOrder sorts targets, which are ordered by ID, by the order in which they load.
func sortByLoadOrder(targets []directory.Registration, version func(*directory.Registration) int64) {
	perDomain, rank := map[string]int{}, map[string]int{}
	for _, t := range targets {
		rank[t.ID] = perDomain[t.Domain]
		perDomain[t.Domain]++
	}
	slices.SortStableFunc(targets, func(a, b directory.Registration) int {
		return cmp.Or(cmp.Compare(version(&a), version(&b)), cmp.Compare(rank[a.ID], rank[b.ID]))
	})
}

// NextToLoad returns those of the targets of a service that a planner with default settings
// chooses next, as far as their registrations show. targets are ordered by ID.
func NextToLoad(targets []directory.Registration, model string, newest int64, loading map[string]bool) map[string]bool {
	var waiting []directory.Registration
	for _, t := range targets {
		if v, known := t.Versions[model]; known && v < newest && !loading[t.ID] {
			waiting = append(waiting, t)
		}
	}
	sortByLoadOrder(waiting, func(t *directory.Registration) int64 { return t.Versions[model] })
	next := map[string]bool{}
	for _, t := range waiting[:min(len(waiting), usualLoadLimit(len(targets), DefaultSettings().ParallelDivisor))] {
		next[t.ID] = true
	}
	return next
}

// usualLoadLimit returns the usual number of loads at the same time.
func usualLoadLimit(targets, parallelDivisor int) int { return max(1, targets/parallelDivisor) }

// prune drops targets that are gone once many are remembered. Since a call
// passes only the targets of one service, those of other services may be
// dropped too and are then queried again.
func (p *Planner) prune(targets []directory.Registration) {
	if len(p.targets) <= pruneFactor*len(targets)+pruneMinimum {
		return
	}
	present := map[string]bool{}
	for _, t := range targets {
		present[t.ID] = true
	}
	for id := range p.targets {
		if !present[id] {
			delete(p.targets, id)
		}
	}
}

// prune starts when more targets are remembered than pruneFactor times those of
// one service, plus pruneMinimum.
const (
	pruneFactor  = 4
	pruneMinimum = 64
)

// LoadingTargets lists the targets that are about to be ordered to load or have
// not finished loading: these refuse requests. It leaves out those that did not
// accept their order, since they go on serving.
func (p *Planner) LoadingTargets() []string {
	var ids []string
	for id, prog := range p.targets {
		if prog.phase != idle && !prog.unconfirmed() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
