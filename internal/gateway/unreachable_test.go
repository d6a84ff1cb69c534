package gateway

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/overload"
)

// Guards against services that are refused for seconds after all links of an instance have
// recovered, because each target waits for the next probe of its breaker.
func TestUnreachableTargetsAreUsedOnceTheyAcceptConnections(t *testing.T) {
	is := is.New(t)
	p := startTestGateway(&memoryStore{newest: 2, targets: targetsOnVersions(2)}, "a")
	engines, desk := p.engineServiceFor("engines"), p.plainServiceFor("desk")
	now := 10 * time.Second
	clock := func() time.Duration { return now }
	engines.now, desk.now = clock, clock
	target := p.targets[0]
	desk.updateTargets(p.targets, nil)
	states := func() []overload.BreakerState {
		engines.mu.Lock()
		defer engines.mu.Unlock()
		desk.mu.Lock()
		defer desk.mu.Unlock()
		return []overload.BreakerState{engines.breaker(target.ID).State(), desk.targets[0].breaker.State()}
	}
	for range 10 { // each failure doubles the wait
		engines.recordUnreachable(&enginePlacement{target: target, breaker: engines.breaker(target.ID)}, syscall.ECONNREFUSED)
		desk.recordUnreachable(&serviceChoice{target: target, breaker: desk.targets[0].breaker}, syscall.ECONNREFUSED)
		now += time.Minute
	}
	engines.recordUnreachable(&enginePlacement{target: target, breaker: engines.breaker(target.ID)}, syscall.ECONNREFUSED)
	desk.recordUnreachable(&serviceChoice{target: target, breaker: desk.targets[0].breaker}, syscall.ECONNREFUSED)
	probes := 0
	p.dialDirect = func(context.Context, string, string) (net.Conn, error) {
		probes++
		return nil, syscall.ECONNREFUSED
	}
	for _, service := range []targetService{engines, desk} {
		for _, due := range service.unreachableTargets() {
			p.probeTarget(t.Context(), service, due)
		}
		is.Equal(len(service.unreachableTargets()), 0) // not due again yet
	}
	is.Equal(probes, 2)
	is.Equal(states(), []overload.BreakerState{overload.Open, overload.Open})
	p.dialDirect = func(context.Context, string, string) (net.Conn, error) {
		here, _ := net.Pipe()
		return here, nil
	}
	now += unreachableProbeInterval
	for _, service := range []targetService{engines, desk} {
		for _, due := range service.unreachableTargets() {
			p.probeTarget(t.Context(), service, due)
		}
	}
	is.Equal(states(), []overload.BreakerState{overload.SlowStart, overload.SlowStart})
}

// Guards against a large fleet in which each instance loses a request to the timeout of each
// target that has lost power.
func TestTargetsThatAcceptNoConnectionsAreReported(t *testing.T) {
	for _, c := range []struct {
		name     string
		features Features
		err      error
		domain   string
		reported int
	}{
		{name: "timeout", features: Features{LargePools: true}, err: timeoutError{}, reported: 1},
		{name: "not called for", err: timeoutError{}},
		{name: "the machine answers", features: Features{LargePools: true}, err: syscall.ECONNREFUSED},
		{name: "the domain is cut off", features: Features{LargePools: true}, err: timeoutError{}, domain: "d1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := startTestGateway(&memoryStore{newest: 2, targets: targetsOnVersions(2)}, "a")
			service := p.engineServiceFor("engines")
			service.reportsTimeouts = c.features.LargePools
			service.avoidedDomains = map[string]bool{c.domain: true}
			target := p.targets[0]
			target.Domain = "d1"
			service.recordUnreachable(&enginePlacement{target: target, breaker: service.breaker(target.ID)}, c.err)
			is.Equal(len(service.recentlyStalled()), c.reported)
		})
	}
}
