package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/connrelay"
	"github.com/mastictray/mastictray/internal/routing"
	"github.com/mastictray/mastictray/internal/runmove"
)

// movablePlacement returns an attempt at a target whose run can be moved.
func movablePlacement(t *testing.T, p *testGateway, target string) *enginePlacement {
	t.Helper()
	service := p.engineServiceFor("engines")
	for range 100 {
		pl, refusal := service.acquire(t.Context(), &engineRequest{Account: "acc"})
		is.New(t).True(refusal == nil)
		if pl.target.ID == target {
			c := &call{Request: &Request{Prompt: &Prompt{Model: "m", MaxOutputTokens: 400}}, route: &routing.Route{Kind: routing.Stream}, service: &routing.Service{Name: "engines"}}
			engine := &routing.Engine{MovesRuns: true, BacksUpRuns: true}
			pl.generation = &generation{g: p.Gateway, c: c, engine: engine, run: runmove.New(placeOf(&pl.target)), at: pl.target}
			return pl
		}
	}
	t.Fatalf("target %s was not chosen", target)
	return nil
}

// Guards against memory that is used with other weights than those that made it, and against
// moving a run to a target that loads next or takes no requests.
func TestRunsMoveToTargetsThatStayOnTheirVersion(t *testing.T) {
	is := is.New(t)
	p := startTestGateway(&memoryStore{newest: 3, targets: targetsOnVersions(2, 2, 3, 2, 2)}, "a")
	service := p.engineServiceFor("engines")
	pl := movablePlacement(t, p, "a")
	p.excludedVersions() // applies the version bounds
	service.applyRollout(service.bounds, map[string]bool{"a": true, "e": true})
	for range 50 {
		to, found := service.moveDestination(pl)
		is.True(found)
		is.Equal(to.ID, "d") // b loads next, c has loaded, e loads
	}
	pl.heldTokens = 70001 // of 100000
	_, found := service.moveDestination(pl)
	is.True(!found)
}

// Guards against runs that go on at a target with other weights, or at another target that has
// taken the address.
func TestRunsGoOnOnlyWhereTheirCopyIs(t *testing.T) {
	is := is.New(t)
	p := startTestGateway(&memoryStore{newest: 3, targets: targetsOnVersions(2, 2)}, "a")
	service := p.engineServiceFor("engines")
	startedAt, b := service.registrations["a"], service.registrations["b"]
	_, ok := service.placeRun(&engineRequest{}, placeOf(&b), startedAt)
	is.True(ok)
	_, ok = service.placeRun(&engineRequest{}, runmove.Place{ID: "b", Address: "127.0.0.1:2"}, startedAt)
	is.True(!ok)
	service.recordServedVersion(b.Incarnation(), "m", 3)
	_, ok = service.placeRun(&engineRequest{}, placeOf(&b), startedAt)
	is.True(!ok)
}

// Guards against backups that keep requests out of their target, or that peers don't know of.
func TestBackupsLeaveRoomAndCountAsHeldMemory(t *testing.T) {
	is := is.New(t)
	p := startTestGateway(&memoryStore{newest: 2, targets: targetsOnVersions(2, 2)}, "a")
	service := p.engineServiceFor("engines")
	begin := func(tokens int) *generation {
		pl := movablePlacement(t, p, "a")
		pl.heldTokens = tokens
		pl.generation.begin(&targetAttempt{placement: pl, target: pl.target})
		return pl.generation
	}
	first := begin(30000) // of 100000
	is.True(first.hasBackup())
	is.Equal(service.targetLoads()["b"].KVCacheTokens, 30000)
	is.True(!begin(30000).hasBackup())
	first.begin(&targetAttempt{target: service.registrations["a"]}) // sent again after a refusal
	is.Equal(service.targetLoads()["b"].KVCacheTokens, 0)
	second := begin(30000)
	is.True(second.hasBackup())
	second.end(true)
	second.end(true)
	is.Equal(service.targetLoads()["b"].KVCacheTokens, 0)
}

// Guards against waiting for the deadline at a target that nobody reaches, and against ending
// attempts there that can go on nowhere.
func TestOnlyRunsWithABackupLeaveAnUnreachedTarget(t *testing.T) {
	is := is.New(t)
	p := startTestGateway(&memoryStore{newest: 2, targets: targetsOnVersions(2, 2)}, "a")
	service := p.engineServiceFor("engines")
	now := 10 * time.Second
	service.now = func() time.Duration { return now }
	start := func(backup bool) (pl *enginePlacement, cancelled *bool) {
		pl = movablePlacement(t, p, "a")
		if backup {
			pl.generation.run.SetBackup(runmove.Place{ID: "b"})
		}
		cancelled = new(bool)
		service.startAttempt(pl, func() { *cancelled = true }, cancelPolicy{generation: pl.generation})
		return pl, cancelled
	}
	withBackup, cancelled := start(true)
	without, otherCancelled := start(false)
	now += 3 * time.Second
	for _, target := range service.stalledTargets() {
		service.recordProbe(target, connrelay.Unreached, p.peers.mayRelay)
	}
	is.True(*cancelled)
	is.True(service.wasFoundUnreached(withBackup))
	is.True(!*otherCancelled)
	is.True(!service.wasFoundUnreached(without))
}

// Guards against a large fleet in which no run ever moves, because each instance saves up less than
// the retries that moves leave for failures and one more.
func TestRunsMoveInALargeFleet(t *testing.T) {
	is := is.New(t)
	p := startTestGateway(&memoryStore{newest: 2, targets: targetsOnVersions(2, 2)}, "a")
	p.settings.RetryReserve, p.settings.RetryRatio = 1.7*unknownFleetSize, 1
	budget := p.newMoveBudget(&call{service: &routing.Service{Name: "engines"}})
	budget.retries.SetReserve(p.retryReserve(unknownFleetSize))
	is.True(!budget.available())
	for range 100 {
		budget.retries.AddRequest()
	}
	is.True(budget.available())
	is.True(budget.take())
	is.True(!budget.take())
}
