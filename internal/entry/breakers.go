package entry

import (
	"math/rand/v2"
	"time"

	"github.com/mastictray/mastictray/internal/config"
	"github.com/mastictray/mastictray/internal/overload"
)

// breakerSet holds the circuit breakers of a pool's targets. The pool's lock
// guards it.
type breakerSet struct {
	cfg      overload.BreakerConfig
	byTarget map[string]*targetBreaker
	// notClosed names the targets whose breakers are not closed. What these
	// breakers allow changes with time, so they are updated before each decision;
	// updating all targets for each request would cost too much.
	notClosed map[string]bool
}

func newBreakers(cfg overload.BreakerConfig) breakerSet {
	return breakerSet{cfg: cfg, byTarget: make(map[string]*targetBreaker), notClosed: make(map[string]bool)}
}

// targetBreaker is the circuit breaker of one target.
type targetBreaker struct {
	*overload.Breaker
	address string
	// unresponsive is set while the target does not answer load queries.
	unresponsive bool
}

// blocked reports whether the target may receive no request now, not even a
// probe.
func (b *targetBreaker) blocked(now time.Duration) bool {
	return b.State() == overload.Open && !b.Ready(now)
}

// breakerTicket records that one attempt was sent to a target. It refers to the
// breaker rather than the target's name, so that a breaker that has since
// replaced it does not count the result.
type breakerTicket struct {
	breaker *targetBreaker
	ticket  overload.Ticket
}

// configure sets the targets. Targets whose address is unchanged keep their
// breakers.
func (b *breakerSet) configure(targets []config.Target) {
	previous := b.byTarget
	b.byTarget = make(map[string]*targetBreaker, len(targets))
	for _, t := range targets {
		if kept, ok := previous[t.Name]; ok && kept.address == t.Address {
			b.byTarget[t.Name] = kept
			continue
		}
		b.byTarget[t.Name] = &targetBreaker{Breaker: overload.NewBreaker(b.cfg), address: t.Address}
	}
	clear(b.notClosed)
	for name, tb := range b.byTarget {
		b.updateNotClosed(name, tb)
	}
}

// updateNotClosed adds the target to notClosed or removes it, depending on the
// state of its breaker.
func (b *breakerSet) updateNotClosed(name string, tb *targetBreaker) {
	if tb.State() == overload.Closed {
		delete(b.notClosed, name)
	} else {
		b.notClosed[name] = true
	}
}

// begin records that an attempt is sent to the target.
func (b *breakerSet) begin(name string) breakerTicket {
	tb, ok := b.byTarget[name]
	if !ok {
		return breakerTicket{}
	}
	return breakerTicket{breaker: tb, ticket: tb.Begin()}
}

// end records the result of the attempt.
func (t breakerTicket) end(now time.Duration, r overload.Result, rng *rand.Rand) {
	if t.breaker != nil {
		t.breaker.End(now, t.ticket, r, rng)
	}
}

// beginAttempt records the start of an attempt at the chosen target. p.mu must
// be held.
func (p *enginePool) beginAttempt(s dispatchSend) placedAttempt {
	name := s.Identity.Target
	pl := placedAttempt{
		dispatchSend: s, target: name, address: p.addresses[name], version: s.Identity.Version,
		ticket: p.breakers.begin(name),
	}
	p.refreshBreaker(name)
	return pl
}

// endAttempt records the result of an attempt. p.mu must be held.
func (p *enginePool) endAttempt(pl placedAttempt, r overload.Result) {
	pl.ticket.end(p.clock.now(), r, p.rng)
	p.refreshBreaker(pl.target)
}

// refreshBreakers allows probes of targets whose wait is over. It must run
// before each decision. p.mu must be held.
func (p *enginePool) refreshBreakers() {
	for name := range p.breakers.notClosed {
		p.refreshBreaker(name)
	}
}

// refreshBreaker copies the state of a target's breaker to the pool. A target in
// slow start that has reached its limit is not rejected: otherwise, after all
// targets of a pool restarted, requests would be refused instead of waiting.
// p.mu must be held.
func (p *enginePool) refreshBreaker(name string) {
	i, found := p.pool.Find(name)
	b, ok := p.breakers.byTarget[name]
	if !ok || !found {
		return
	}
	p.breakers.updateNotClosed(name, b)
	t := p.pool.Target(i)
	t.Limit, t.InFlight = b.Limit(), b.InFlight()
	if blocked := b.blocked(p.clock.now()); blocked != t.BreakerOpen {
		t.BreakerOpen = blocked
		p.pool.ApplyFilters(i)
		p.updateActiveVersion()
	}
}

// markUnreachable opens the breaker of a target that refuses connections. It
// then receives only probes.
func (p *enginePool) markUnreachable(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.markUnreachableLocked(name)
}

// markUnreachableLocked is markUnreachable with p.mu held.
func (p *enginePool) markUnreachableLocked(name string) {
	if b, ok := p.breakers.byTarget[name]; ok {
		b.Unreachable(p.clock.now(), p.rng)
		p.refreshBreaker(name)
	}
}

// markProcessEnded opens the breaker of a target whose process has ended.
// Otherwise the target would count as available until load queries to it fail,
// and requests would wait for a version that only it served. It has no effect
// if the target already runs as another incarnation.
func (p *enginePool) markProcessEnded(name, incarnation string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i, ok := p.pool.Find(name); ok && p.pool.Target(i).Incarnation == incarnation {
		p.markUnreachableLocked(name)
	}
}

// markUnresponsiveLocked opens the breaker of a target that does not answer load
// queries. p.mu must be held.
func (p *enginePool) markUnresponsiveLocked(name string) {
	if b, ok := p.breakers.byTarget[name]; ok {
		b.unresponsive = true
	}
	p.markUnreachableLocked(name)
}

// markResponsiveLocked records that a target answered a load query. A target
// that restarted as a new incarnation or was unresponsive begins a slow start.
// The breaker of any other target does not change, as a target may answer load
// queries and still fail every request. p.mu must be held.
func (p *enginePool) markResponsiveLocked(name string, newIncarnation bool) {
	b, ok := p.breakers.byTarget[name]
	if !ok || (!newIncarnation && !b.unresponsive) {
		return
	}
	b.unresponsive = false
	b.Restarted()
	p.refreshBreaker(name)
}

// resultOfRejection returns what a target's rejection of a request means for its
// breaker.
func resultOfRejection(notRun bool) overload.Result {
	if notRun {
		return overload.Cancelled
	}
	return overload.Failed
}
