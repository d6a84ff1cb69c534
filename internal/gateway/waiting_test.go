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
	p := startOn(&memoryStore{newest: 3, targets: onVersions(2)}, "a")
	pool := p.engine("engines")
	send := func() (pl *enginePlacement, cut *bool) {
		pl, refusal := pool.acquire(t.Context(), &engineRequest{Account: "acc"})
		is.True(refusal == nil)
		cut = new(bool)
		pool.startAttempt(pl, func() { *cut = true }, cancelPolicy{})
		return pl, cut
	}
	_, waits := send()
	answers, answered := send()
	pool.recordFirstToken(answers)
	older := func(age time.Duration) {
		p.takeAnswer(p.clock.Now(), wire.Identity{}, 0, wire.ExchangeResponse{Weights: []wire.NamedWeights{
			{Model: "m", Version: 3, AgeMillis: age.Milliseconds(), Observed: true},
		}})
		p.excluded()
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
	p := startOn(&memoryStore{newest: 3, targets: onVersions(2)}, "a")
	pool := p.engine("engines")
	var waits []*enginePlacement
	for range 8 {
		pl, refusal := pool.acquire(t.Context(), &engineRequest{Account: "acc"})
		is.True(refusal == nil)
		pool.startAttempt(pl, func() {}, cancelPolicy{})
		waits = append(waits, pl)
	}
	p.takeAnswer(p.clock.Now(), wire.Identity{}, 0, wire.ExchangeResponse{Weights: []wire.NamedWeights{{Model: "m", Version: 3, AgeMillis: 9600, Observed: true}}})
	p.excluded()
	for _, pl := range waits {
		pool.endAttempt(pl, overload.Failed)
	}
	is.Equal(pool.breaker("a").State(), overload.Closed)
}

// Guards against a load that waits for the long streams on its target.
func TestStreamsMoveBeforeALoad(t *testing.T) {
	is := is.New(t)
	p := startOn(&memoryStore{newest: 3, targets: onVersions(2, 2)}, "a")
	pool := p.engine("engines")
	now := time.Duration(0)
	pool.now = func() time.Duration { return now }
	start := func(resumable bool) (pl *enginePlacement, cut *bool) {
		pl, refusal := pool.acquire(t.Context(), &engineRequest{Account: "acc"})
		is.True(refusal == nil)
		cut = new(bool)
		pool.startAttempt(pl, func() { *cut = true }, cancelPolicy{reserveResume: func() bool { return resumable }})
		pool.recordFirstToken(pl)
		return pl, cut
	}
	pl, moved := start(true)
	_, stays := start(false)
	loading := map[string]bool{}
	for id := range pool.registrations {
		loading[id] = true
	}
	pool.applyRollout(versionBounds{}, loading)
	now += streamMoveDelay
	pool.applyRollout(versionBounds{}, loading)
	is.True(!*moved) // there is no other target
	loading = map[string]bool{pl.target.ID: true}
	pool.applyRollout(versionBounds{}, loading)
	is.True(*moved)
	is.True(!*stays)
	pool.endAttempt(pl, overload.Failed)
	is.Equal(pool.breaker(pl.target.ID).State(), overload.Closed)
}

// Guards against a stream that is refused its resumption because it began
// longer ago than callers wait for a first event.
func TestResumedStreamIsDueAfterItsLastEvent(t *testing.T) {
	is := is.New(t)
	c := &call{route: &routing.Route{Kind: routing.Stream, LatencyObjective: 400 * time.Millisecond, GapObjective: 250 * time.Millisecond}}
	c.Request, c.service = &Request{}, &routing.Service{}
	c.began, c.due = time.Second, 16*time.Second
	is.Equal(c.nextEventDeadline(), 3*time.Second)
	c.lastEventAt = 5 * time.Second
	q := (&Gateway{}).newEngineRequest(c)
	is.Equal(q.Deadline, 7*time.Second)
	is.Equal(q.Objective, 5250*time.Millisecond)
	c.lastEventAt = 15 * time.Second
	is.Equal(c.nextEventDeadline(), c.due)
}

// Guards against streams that move together on one attempt of the retry budget
// and break off for want of the others.
func TestMovedStreamsPayBeforeTheyAreEnded(t *testing.T) {
	is := is.New(t)
	p := startOn(&memoryStore{newest: 3, targets: onVersions(2, 2)}, "a")
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
		c.sent = 1
		return c
	}
	budget := p.retryBudget("engines")
	budget.SetReserve(6)
	for range 100 {
		budget.AddRequest()
	}
	moved := 0
	for range 20 {
		c := newCall()
		if p.cancelPolicyFor(c).reserveResume() {
			moved++
			is.True(p.takeRetry(t.Context(), c))
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
	is.True(!p.cancelPolicyFor(newCall()).reserveResume())
	is.Equal(budget.Available(), 6.0)
}
