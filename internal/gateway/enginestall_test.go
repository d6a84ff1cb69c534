package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/connrelay"
	"github.com/mastictray/mastictray/internal/placement"
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

// Guards against streams that are cancelled at a silent target, which may recover, although no
// target with the same software can take them over.
func TestStreamsWithoutReplacementStayAtSilentTarget(t *testing.T) {
	for name, c := range map[string]struct {
		software  []string // of the targets; the first is silent
		started   bool
		cancelled bool
	}{
		"same software":          {software: []string{"v1", "v1", "v2"}, started: true, cancelled: true},
		"other software":         {software: []string{"v1", "v2", "v2"}, started: true},
		"not started":            {software: []string{"v1", "v2", "v2"}, cancelled: true},
		"states none, as it":     {software: []string{"", ""}, started: true, cancelled: true},
		"states none, unlike it": {software: []string{"v1", ""}, started: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			targets := targetsOnVersions(2, 2, 2)[:len(c.software)]
			for i, software := range c.software {
				targets[i].SoftwareVersion = software
			}
			p := startTestGateway(&memoryStore{newest: 2, targets: targets}, "a")
			p.useAllVersions()
			service := p.engineServiceFor("engines")
			pl, refusal := service.acquire(t.Context(), &engineRequest{Account: "acc", Placement: placement.Request{Software: placement.SoftwareRequirement{Required: true, Version: c.software[0]}}})
			is.True(refusal == nil)
			pl.send.Request.Placement.Software = placement.SoftwareRequirement{}
			cancelled := false
			service.startAttempt(pl, func() { cancelled = true }, cancelPolicy{repeatable: true})
			if c.started {
				service.recordFirstToken(pl)
			}
			service.cancelInDomain(pl.target.Domain)
			is.Equal(cancelled, c.cancelled)
		})
	}
}

// useAllVersions makes the targets of all software versions usable, as they are once the orders of
// operators are known.
func (p *testGateway) useAllVersions() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, versions := range p.canaries.versions {
		for version := range versions {
			versions[version] = never
		}
	}
	p.updateServiceTargets()
}
