package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/overload"
	"github.com/mastictray/mastictray/internal/routing"
	"github.com/mastictray/mastictray/internal/wire"
)

// Callers get answers on weights replaced 10.1 s ago, in the middle of an
// ordinary rollout. Their requests were sent 2.2 s before, in time, to a target
// that had not loaded yet and made them wait for longer than usual.
func TestRequestsDoNotWaitPastTheBound(t *testing.T) {
	is := is.New(t)
	p := startTestGateway(&memoryStore{newest: 3, targets: targetsOnVersions(2)}, "a")
	pool := p.enginePoolFor("engines")
	send := func() (pl *placed, cut *bool) {
		pl, refusal := pool.acquire(t.Context(), &waiting{Account: "acc"})
		is.True(refusal == nil)
		cut = new(bool)
		pool.sent(pl, func() { *cut = true }, mobility{})
		return pl, cut
	}
	_, waits := send()
	answers, answered := send()
	pool.answered(answers)
	older := func(age time.Duration) {
		p.applyExchangeResponse(p.clock.Now(), wire.Identity{}, 0, wire.ExchangeResponse{Weights: []wire.NamedWeights{
			{Model: "m", Version: 3, AgeMillis: age.Milliseconds(), Observed: true},
		}})
		p.excludedVersions()
	}
	older(9 * time.Second)
	is.True(!*waits)
	older(9600 * time.Millisecond)
	is.True(*waits)
	is.True(!*answered) // it began in time
}

// A target keeps requests waiting until its weights are too old, and they are
// cut. It is not broken: it must get requests as soon as it has loaded.
func TestCutWaitsSayNothingAgainstTheirTarget(t *testing.T) {
	is := is.New(t)
	p := startTestGateway(&memoryStore{newest: 3, targets: targetsOnVersions(2)}, "a")
	pool := p.enginePoolFor("engines")
	var waits []*placed
	for range 8 {
		pl, refusal := pool.acquire(t.Context(), &waiting{Account: "acc"})
		is.True(refusal == nil)
		pool.sent(pl, func() {}, mobility{})
		waits = append(waits, pl)
	}
	p.applyExchangeResponse(p.clock.Now(), wire.Identity{}, 0, wire.ExchangeResponse{Weights: []wire.NamedWeights{{Model: "m", Version: 3, AgeMillis: 9600, Observed: true}}})
	p.excludedVersions()
	for _, pl := range waits {
		pool.ended(pl, overload.Failed)
	}
	is.Equal(pool.breaker("a").State(), overload.Closed)
}

// Guards against a load that waits for the long streams on its target.
func TestStreamsMoveBeforeALoad(t *testing.T) {
	is := is.New(t)
	p := startTestGateway(&memoryStore{newest: 3, targets: targetsOnVersions(2, 2)}, "a")
	pool := p.enginePoolFor("engines")
	now := time.Duration(0)
	pool.now = func() time.Duration { return now }
	start := func(resumable bool) (pl *placed, cut *bool) {
		pl, refusal := pool.acquire(t.Context(), &waiting{Account: "acc"})
		is.True(refusal == nil)
		cut = new(bool)
		pool.sent(pl, func() { *cut = true }, mobility{resumable: func() bool { return resumable }})
		pool.answered(pl)
		return pl, cut
	}
	pl, moved := start(true)
	_, stays := start(false)
	loading := map[string]bool{}
	for id := range pool.regs {
		loading[id] = true
	}
	pool.setRollout(versionBounds{}, loading)
	now += moveAfter
	pool.setRollout(versionBounds{}, loading)
	is.True(!*moved) // there is no other target
	loading = map[string]bool{pl.target.ID: true}
	pool.setRollout(versionBounds{}, loading)
	is.True(*moved)
	is.True(!*stays)
	pool.ended(pl, overload.Failed)
	is.Equal(pool.breaker(pl.target.ID).State(), overload.Closed)
}

// Guards against a stream that is refused its resumption because it began
// longer ago than callers wait for a first event.
func TestResumedStreamIsDueAfterItsLastEvent(t *testing.T) {
	is := is.New(t)
	c := &call{route: &routing.Route{Kind: routing.Stream, LatencyObjective: 400 * time.Millisecond, GapObjective: 250 * time.Millisecond}}
	c.Request, c.service = &Request{}, &routing.Service{}
	c.startedAt, c.deadline = time.Second, 16*time.Second
	is.Equal(c.nextEventDue(), 3*time.Second)
	c.lastEventAt = 5 * time.Second
	q := (&Gateway{}).queued(c)
	is.Equal(q.Deadline, 7*time.Second)
	is.Equal(q.Objective, 5250*time.Millisecond)
	c.lastEventAt = 15 * time.Second
	is.Equal(c.nextEventDue(), c.deadline)
}

// Guards against streams that move together on one attempt of the retry budget
// and break off for want of the others.
func TestMovedStreamsPayBeforeTheyAreEnded(t *testing.T) {
	is := is.New(t)
	p := startTestGateway(&memoryStore{newest: 3, targets: targetsOnVersions(2, 2)}, "a")
	p.settings.RetryReserve, p.settings.RetryRatio = 6, 1
	prompts := routing.Route{
		Name: "prompts", Host: "h", Prefix: "/", Kind: routing.Stream, Resumable: true, MaxAttempts: 2,
		Split: []routing.WeightedService{{Service: "engines", Weight: 1}},
	}
	config := *p.table.Load().Config()
	config.Routes = []routing.Route{prompts}
	p.table.Store(routing.NewTable(&config))
	newCall := func() *call {
		c := &call{route: &prompts, service: &routing.Service{Name: "engines"}}
		c.Request = &Request{Host: "h", Path: "/x"}
		c.sendCount = 1
		return c
	}
	budget := p.budget("engines")
	budget.SetReserve(6)
	for range 100 {
		budget.AddRequest()
	}
	moved := 0
	for range 20 {
		c := newCall()
		if p.mobility(c).resumable() {
			moved++
			is.True(p.mayRepeat(t.Context(), c))
		}
	}
	is.True(moved > 0)
	is.True(moved < 6)
	is.True(budget.Available() >= 1) // some are left for failures
	for range 100 {
		budget.AddRequest()
	}
	// Guards against a stream that is ended though its key or route is gone.
	config.Routes = nil
	p.table.Store(routing.NewTable(&config))
	is.True(!p.mobility(newCall()).resumable())
	is.Equal(budget.Available(), 6.0)
}
