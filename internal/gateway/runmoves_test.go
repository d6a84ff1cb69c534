package gateway

import (
	"testing"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/overload"
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
			engine := &routing.Engine{MovesRuns: true}
			pl.generation = &generation{g: p.Gateway, c: c, engine: engine, run: runmove.New(placeOf(&pl.target)), at: pl.target}
			return pl
		}
		defer service.endAttempt(pl, overload.Cancelled) // the other targets are free again then
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

// Guards against runs that are copied to a target with another software version, or go on there.
func TestRunsMoveToTargetsWithTheirSoftware(t *testing.T) {
	is := is.New(t)
	targets := targetsOnVersions(2, 2, 2)
	targets[0].SoftwareVersion, targets[1].SoftwareVersion, targets[2].SoftwareVersion = "v1", "v2", "v1"
	p := startTestGateway(&memoryStore{newest: 2, targets: targets}, "a")
	p.useAllVersions()
	service := p.engineServiceFor("engines")
	pl := movablePlacement(t, p, "a")
	for range 50 {
		to, found := service.moveDestination(pl)
		is.True(found)
		is.Equal(to.ID, "c")
	}
	b, c := service.registrations["b"], service.registrations["c"]
	_, ok := service.placeRun(&engineRequest{}, placeOf(&b), pl.target)
	is.True(!ok)
	_, ok = service.placeRun(&engineRequest{}, placeOf(&c), pl.target)
	is.True(ok)
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

// Guards against a large fleet in which no run ever moves, because each instance saves up less than
// the retries that moves leave for failures and one more.
func TestRunsMoveInALargeFleet(t *testing.T) {
	is := is.New(t)
	p := startTestGateway(&memoryStore{newest: 2, targets: targetsOnVersions(2, 2)}, "a")
	p.settings.RetryReserve, p.settings.RetryRatio = 1.7*unknownFleetSize, 1
	budget := p.newMoveBudget(&call{service: &routing.Service{Name: "engines"}})
	budget.retries.SetReserve(p.retryReserve(unknownFleetSize))
	is.True(!budget.take())
	for range 100 {
		budget.retries.AddRequest()
	}
	is.True(budget.take())
	is.True(!budget.take())
}
