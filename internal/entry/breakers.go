package entry

import (
	"math/rand/v2"
	"time"

	"github.com/mastictray/mastictray/internal/config"
	"github.com/mastictray/mastictray/internal/overload"
)

// breakers are the breakers of a pool's targets. The pool's lock guards them.
type breakerSet struct {
	cfg      overload.BreakerConfig
	byTarget map[string]*targetBreaker
	// limited are those that are not closed: what they let through changes with
	// time, and looking at all targets for each request would cost too much.
	notClosed map[string]bool
}

func newBreakers(cfg overload.BreakerConfig) breakerSet {
	return breakerSet{cfg: cfg, byTarget: make(map[string]*targetBreaker), notClosed: make(map[string]bool)}
}

// targetBreaker is a breaker with where its target is reached.
type targetBreaker struct {
	*overload.Breaker
	address string
	// silent is set while the target answers no load questions.
	unresponsive bool
}

// shut reports that the target gets no request at all now, not even a probe.
func (b *targetBreaker) blocked(now time.Duration) bool {
	return b.State() == overload.Open && !b.Ready(now)
}

// breakerTicket is one attempt at one target. It holds the breaker itself: one
// that was replaced since takes no results of another.
type breakerTicket struct {
	breaker *targetBreaker
	ticket  overload.Ticket
}

// configure keeps the breakers of targets that stay at their address.
func (b *breakerSet) configure(targets []config.Target) {
	was := b.byTarget
	b.byTarget = make(map[string]*targetBreaker, len(targets))
	for _, t := range targets {
		if kept, ok := was[t.Name]; ok && kept.address == t.Address {
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

// note keeps the list of those that are not closed.
func (b *breakerSet) updateNotClosed(name string, tb *targetBreaker) {
	if tb.State() == overload.Closed {
		delete(b.notClosed, name)
	} else {
		b.notClosed[name] = true
	}
}

// begin counts an attempt that is sent.
func (b *breakerSet) begin(name string) breakerTicket {
	tb, ok := b.byTarget[name]
	if !ok {
		return breakerTicket{}
	}
	return breakerTicket{breaker: tb, ticket: tb.Begin()}
}

// end takes what became of the attempt.
func (t breakerTicket) end(now time.Duration, r overload.Result, rng *rand.Rand) {
	if t.breaker != nil {
		t.breaker.End(now, t.ticket, r, rng)
	}
}

// begin makes the attempt on a target that was chosen. Callers hold mu.
func (p *enginePool) beginAttempt(s dispatchSend) placedAttempt {
	name := s.Identity.Target
	pl := placedAttempt{
		dispatchSend: s, target: name, address: p.addresses[name], version: s.Identity.Version,
		ticket: p.breakers.begin(name),
	}
	p.refreshBreaker(name)
	return pl
}

// end takes what became of an attempt. Callers hold mu.
func (p *enginePool) endAttempt(pl placedAttempt, r overload.Result) {
	pl.ticket.end(p.clock.now(), r, p.rng)
	p.refreshBreaker(pl.target)
}

// refreshBreakers lets probes through where the wait is over. It is to run
// before each decision. Callers hold mu.
func (p *enginePool) refreshBreakers() {
	for name := range p.breakers.notClosed {
		p.refreshBreaker(name)
	}
}

// refreshBreaker puts the present state of a target's breaker into force. A
// target that starts slowly stays in the pool while it is full: were it
// rejected, the requests to a pool that restarted as a whole would be refused,
// not wait. Callers hold mu.
func (p *enginePool) refreshBreaker(name string) {
	i, found := p.pool.Find(name)
	b, ok := p.breakers.byTarget[name]
	if !ok || !found {
		return
	}
	p.breakers.updateNotClosed(name, b)
	t := p.pool.Target(i)
	t.Limit, t.InFlight = b.Limit(), b.InFlight()
	if shut := b.blocked(p.clock.now()); shut != t.BreakerOpen {
		t.BreakerOpen = shut
		p.pool.ApplyFilters(i)
		p.updateActiveVersion()
	}
}

// open keeps new work off a target that can't be connected to, but for probes.
func (p *enginePool) markUnreachable(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.markUnreachableLocked(name)
}

// shut is open for callers that hold mu.
func (p *enginePool) markUnreachableLocked(name string) {
	if b, ok := p.breakers.byTarget[name]; ok {
		b.Unreachable(p.clock.now(), p.rng)
		p.refreshBreaker(name)
	}
}

// gone is open for a target whose process is known to be gone. Until a load
// question goes unanswered it would else count as taking work: requests would
// wait for the version that only it served. Another process that answers there
// by now is left alone.
func (p *enginePool) markProcessEnded(name, incarnation string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i, ok := p.pool.Find(name); ok && p.pool.Target(i).Incarnation == incarnation {
		p.markUnreachableLocked(name)
	}
}

// answersNoQuestions is open for a target whose load questions stay
// unanswered. Callers hold mu.
func (p *enginePool) markUnresponsiveLocked(name string) {
	if b, ok := p.breakers.byTarget[name]; ok {
		b.unresponsive = true
	}
	p.markUnreachableLocked(name)
}

// answersQuestions takes a load report in: a target that is back, as a new
// incarnation or after a silence, starts slowly. Whatever its requests do, one
// that never was away stays as it is: a target may answer load questions and
// fail every request. Callers hold mu.
func (p *enginePool) markResponsiveLocked(name string, newIncarnation bool) {
	b, ok := p.breakers.byTarget[name]
	if !ok || (!newIncarnation && !b.unresponsive) {
		return
	}
	b.unresponsive = false
	b.Restarted()
	p.refreshBreaker(name)
}

// resultOf is what a refusal tells of the target that gave it.
func resultOfRejection(notRun bool) overload.Result {
	if notRun {
		return overload.Cancelled
	}
	return overload.Failed
}
