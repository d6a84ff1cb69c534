package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/connrelay"
	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/overload"
	"github.com/mastictray/mastictray/internal/placement"
	"github.com/mastictray/mastictray/internal/routing"
)

// startMemoryGateway returns a gateway that bounds memory, with one target.
func startMemoryGateway(instance string) (*testGateway, *engineService) {
	p := startTestGateway(&memoryStore{newest: 2, targets: targetsOnVersions(2)}, instance)
	p.settings.Features.BoundedMemory = true
	p.engineServices = map[string]*engineService{}
	p.mu.Lock()
	p.updateServiceTargets()
	p.mu.Unlock()
	return p, p.engineServices["engines"]
}

func promptOf(tokens int) *engineRequest {
	return &engineRequest{Account: "acc", Placement: placement.Request{HeldTokens: tokens}}
}

// Guards against instances that together exceed a target's memory: what has no room with the
// peers' requests and claims waits, and is announced to them.
func TestPromptWithoutRoomIsClaimed(t *testing.T) {
	is := is.New(t)
	p, service := startMemoryGateway("b")
	p.applyMemoryClaims(time.Hour, map[string][]placement.MemoryClaim{"a": {{Instance: "a", Tokens: 50_000, Ticket: 4}}})
	pl, refusal := service.acquire(t.Context(), promptOf(5_000))
	is.True(pl != nil && refusal == nil)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	pl, refusal = service.acquire(ctx, promptOf(30_000))
	is.True(pl == nil && refusal == nil)
	state, _ := p.publishedState()
	is.Equal(len(state.MemoryClaims), 1)
	is.Equal(state.MemoryClaims[0].Tokens, 30_000)
	is.Equal(state.MemoryClaims[0].Ticket, uint64(5))
}

// Without the feature, nothing is claimed and peers' claims change nothing.
func TestMemoryIsNotSharedByDefault(t *testing.T) {
	is := is.New(t)
	p := startTestGateway(&memoryStore{newest: 2, targets: targetsOnVersions(2)}, "b")
	service := p.engineServiceFor("engines")
	p.applyMemoryClaims(time.Hour, map[string][]placement.MemoryClaim{"a": {{Instance: "a", Tokens: 90_000, Ticket: 4}}})
	for range 2 {
		pl, refusal := service.acquire(t.Context(), promptOf(70_000))
		is.True(pl != nil && refusal == nil)
	}
	state, _ := p.publishedState()
	is.Equal(len(state.MemoryClaims), 0)
}

// startStream returns an attempt that streams, at a service whose clock the test sets.
func startStream(t *testing.T, cancel func()) (service *engineService, pl *enginePlacement, now *time.Duration) {
	t.Helper()
	_, service = startMemoryGateway("a")
	now = new(time.Duration)
	*now = service.now()
	service.now = func() time.Duration { return *now }
	pl, _ = service.acquire(t.Context(), promptOf(100))
	service.startAttempt(pl, cancel, cancelPolicy{repeatable: true})
	service.recordProgress(pl)
	return service, pl, now
}

// Guards against a target that counts as stalled or failing because a caller reads slowly and its
// response is not read meanwhile.
func TestPauseOfCallerDoesNotCountAgainstTarget(t *testing.T) {
	is := is.New(t)
	service, pl, now := startStream(t, func() {})
	service.recordPause(pl, true)
	*now += 5 * time.Second
	is.Equal(len(service.stalledTargets()), 0)
	service.recordPause(pl, false)
	is.Equal(len(service.stalledTargets()), 0)
	*now += 5 * time.Second // now the target itself is silent
	is.Equal(len(service.stalledTargets()), 1)
	for range 20 { // it cuts off the unread responses
		service.endAttempt(pl, overload.Failed)
	}
	is.True(service.breaker(pl.target.ID).Ready(*now))
}

// Guards against the streams of slow callers that are repeated elsewhere when their target is
// found to be alive but silent.
func TestPausedStreamIsNotMoved(t *testing.T) {
	is := is.New(t)
	cancelled := false
	service, pl, now := startStream(t, func() { cancelled = true })
	pl.firstTokenSeen = true
	other, _ := service.acquire(t.Context(), promptOf(100))
	service.startAttempt(other, func() {}, cancelPolicy{})
	service.recordPause(pl, true)
	*now += 5 * time.Second
	stalled := service.stalledTargets()
	is.Equal(len(stalled), 1)
	service.recordProbe(stalled[0], connrelay.Open, func(string) bool { return true })
	is.True(!cancelled)
}

// Guards against a target that runs out of memory and then counts as failing, and against its
// requests that count as crashing targets. It returns with an empty cache and starts slowly.
func TestTargetOutOfMemory(t *testing.T) {
	is := is.New(t)
	p, service := startMemoryGateway("a")
	now := service.now()
	service.now = func() time.Duration { return now }
	old := p.targets[0]
	is.True(!service.recordLostConnection(&old)) // it was empty
	service.setPeerLoads(exchangeInterval, map[string]targetLoad{old.ID: {KVCacheTokens: 95_000}})
	p.applyMemoryClaims(time.Second, nil)
	now += time.Second
	service.setPeerLoads(exchangeInterval, nil) // the others have noticed first
	p.applyMemoryClaims(time.Second, nil)
	is.True(service.recordLostConnection(&old))

	back := old
	back.StartedMs, back.ID = 2, "returned"
	service.updateTargets([]directory.Registration{back}, nil, &routing.Engine{Slots: 8, MemoryTokens: 100_000})
	is.True(service.recordLostConnection(&old)) // the last of its requests
	is.True(!service.recordLostConnection(&back))
	is.True(service.pool.Target(0).SlowStartFactor < 0.5)
	now += 10 * time.Second
	service.refreshEligibility()
	is.Equal(service.pool.Target(0).SlowStartFactor, 1.0)
	now += memoryFailureRetention
	service.refreshEligibility()
	is.Equal(service.pool.Target(0).SlowStartFactor, 0.0)
}

// Guards against a target that restarts and still counts as full: what this instance had sent and
// claimed there is gone with the old incarnation.
func TestRestartedTargetStartsEmpty(t *testing.T) {
	is := is.New(t)
	p, service := startMemoryGateway("a")
	old := p.targets[0]
	service.setPeerLoads(exchangeInterval, map[string]targetLoad{old.ID: {KVCacheTokens: 30_000}})
	pl, _ := service.acquire(t.Context(), promptOf(28_000))
	is.True(pl != nil)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	service.acquire(ctx, promptOf(50_000))
	is.Equal(len(service.publishMemoryClaims()), 1)

	back := old
	back.StartedMs = 2
	service.updateTargets([]directory.Registration{back}, nil, &routing.Engine{Slots: 8, MemoryTokens: 100_000})
	is.Equal(len(service.publishMemoryClaims()), 0)
	service.setPeerLoads(exchangeInterval, nil) // the others have noticed too
	pl, _ = service.acquire(t.Context(), promptOf(50_000))
	is.True(pl != nil)
}
