package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/connrelay"
	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/overload"
	"github.com/mastictray/mastictray/internal/wire"
)

// departures are the ways in which an instance learns that a target leaves.
var departures = map[string]func(p *testGateway, target directory.Registration){
	"announced in a response": func(p *testGateway, target directory.Registration) {
		p.recordLeaving(&call{Request: &Request{}}, target.Incarnation())
	},
	"registered as draining": func(p *testGateway, target directory.Registration) {
		target.State, target.Seq = directory.Draining, target.Seq+1
		p.applyRegistrations(p.clock.Now(), 2, 3, []directory.Event{{ID: target.ID, Registration: &target}}, false)
	},
}

// Guards against a request that starts on weights replaced longer ago than the bound: it waits
// for its first token at a target that leaves, and is not cut because the target is no longer
// among the usable ones.
func TestWaitAtALeavingTargetIsCutAtTheWeightsBound(t *testing.T) {
	for name, depart := range departures {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := startTestGateway(&memoryStore{newest: 3, targets: targetsOnVersions(2, 2)}, "a")
			service := p.engineServiceFor("engines")
			pl, refusal := service.acquire(t.Context(), &engineRequest{Account: "acc"})
			is.True(refusal == nil)
			cut := false
			service.startAttempt(pl, func() { cut = true }, cancelPolicy{})
			depart(p, pl.target)
			p.applyExchangeResponse(p.clock.Now(), wire.Identity{}, 0, wire.ExchangeResponse{Weights: []wire.NamedWeights{{Model: "m", Version: 3, AgeMillis: 9600, Observed: true}}})
			p.excludedVersions()
			is.True(cut)
		})
	}
}

// Guards against a stream that waits for its deadline at a target that leaves and then falls
// silent.
func TestStallOfALeavingTargetIsDetected(t *testing.T) {
	for name, depart := range departures {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := startTestGateway(&memoryStore{newest: 2, targets: targetsOnVersions(2, 2)}, "a")
			service := p.engineServiceFor("engines")
			now := 10 * time.Second
			service.now = func() time.Duration { return now }
			pl, refusal := service.acquire(t.Context(), &engineRequest{Account: "acc"})
			is.True(refusal == nil)
			cancelled := false
			service.startAttempt(pl, func() { cancelled = true }, cancelPolicy{repeatable: true})
			service.recordProgress(pl)
			service.recordFirstToken(pl)
			depart(p, pl.target)
			for range 20 {
				now += time.Second
				for _, target := range service.stalledTargets() {
					service.recordProbe(target, connrelay.Unreached, p.peers.mayRelay)
				}
			}
			is.True(cancelled)
			service.endAttempt(pl, overload.Cancelled)
			_, kept := service.stallDetectors[pl.target.ID]
			is.True(!kept) // nothing is left of a target that has gone
		})
	}
}
