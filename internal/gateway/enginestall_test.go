package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/connrelay"
)

// Guards against avoiding targets that are only overloaded: the others get their requests too and
// are overloaded next.
func TestOverloadedTargetsAreNotTakenForSilent(t *testing.T) {
	is := is.New(t)
	p := startTestGateway(&memoryStore{newest: 2, targets: targetsOnVersions(2, 2, 2)}, "a")
	service := p.engineServiceFor("engines")
	now := 10 * time.Second
	service.now = func() time.Duration { return now }
	cancelled := map[*enginePlacement]bool{}
	for range 24 { // all slots
		pl, refusal := service.acquire(t.Context(), &engineRequest{Account: "acc"})
		is.True(refusal == nil)
		service.startAttempt(pl, func() { cancelled[pl] = true }, cancelPolicy{repeatable: true})
	}
	now += 2100 * time.Millisecond // a queue of two seconds at each target
	stalled := service.stalledTargets()
	is.Equal(len(stalled), 3)
	is.Equal(len(service.stalledTargets()), 0) // a probe of each is under way
	service.recordProbe(stalled[0], connrelay.Open, p.peers.mayRelay)
	service.recordProbe(stalled[1], connrelay.Open, p.peers.mayRelay)
	service.recordProbe(stalled[2], connrelay.Unreached, p.peers.mayRelay)
	is.Equal(len(service.openBreakers()), 1)
	is.True(service.openBreakers()[stalled[2].id])
	is.Equal(service.recentlyStalled(), []string{stalled[2].id})
	for pl := range cancelled {
		is.Equal(pl.target.ID, stalled[2].id)
	}
	is.True(len(cancelled) > 0)
}
