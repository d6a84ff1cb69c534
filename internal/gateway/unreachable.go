package gateway

import (
	"context"
	"time"

	"github.com/mastictray/mastictray/internal/connrelay"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/overload"
)

const (
	// unreachableProbeInterval is the interval between attempts to connect to a target that
	// could not be reached.
	unreachableProbeInterval = 500 * time.Millisecond
	// maxUnreachableProbes bounds the probes of one service that start at a time.
	maxUnreachableProbes = 16
)

// unreachableProbes chooses the unreachable targets of one service to probe. Its zero value is
// ready for use.
type unreachableProbes struct{ probedAt map[string]time.Duration }

// due returns whether a target has to be probed now.
func (u *unreachableProbes) due(now time.Duration, id string) bool {
	if at, probed := u.probedAt[id]; probed && now-at < unreachableProbeInterval {
		return false
	}
	if u.probedAt == nil {
		u.probedAt = map[string]time.Duration{}
	}
	u.probedAt[id] = now
	return true
}

// retain drops the targets for which unreachable returns false.
func (u *unreachableProbes) retain(unreachable func(id string) bool) {
	for id := range u.probedAt {
		if !unreachable(id) {
			delete(u.probedAt, id)
		}
	}
}

// probeTarget is a target to probe.
type probeTarget struct{ id, address string }

// unreachableTargets returns the unreachable targets that have to be probed now.
func (s *engineService) unreachableTargets() []probeTarget {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachable.retain(func(id string) bool { return s.breakers[id] != nil && s.breakers[id].IsUnreachable() })
	var due []probeTarget
	for id, b := range s.breakers {
		if r, usable := s.registrations[id]; usable && len(due) < maxUnreachableProbes && b.IsUnreachable() && s.unreachable.due(s.now(), id) {
			due = append(due, probeTarget{id: id, address: r.Address})
		}
	}
	return due
}

// unreachableCount returns the number of targets that can't be reached.
func (s *engineService) unreachableCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for id, b := range s.breakers {
		if _, usable := s.registrations[id]; usable && b.IsUnreachable() {
			n++
		}
	}
	return n
}

// recordReachable records that an unreachable target accepts connections again.
func (s *engineService) recordReachable(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.breakers[id]; b != nil {
		b.Reachable()
		s.step()
	}
}

// unreachableTargets returns the unreachable targets that have to be probed now.
func (s *plainService) unreachableTargets() []probeTarget {
	s.mu.Lock()
	defer s.mu.Unlock()
	breakers := make(map[string]*overload.Breaker, len(s.targets))
	var due []probeTarget
	for i := range s.targets {
		t := &s.targets[i]
		breakers[t.registration.ID] = t.breaker
		if len(due) < maxUnreachableProbes && t.breaker.IsUnreachable() && s.unreachable.due(s.now(), t.registration.ID) {
			due = append(due, probeTarget{id: t.registration.ID, address: t.registration.Address})
		}
	}
	s.unreachable.retain(func(id string) bool { return breakers[id] != nil && breakers[id].IsUnreachable() })
	return due
}

// unreachableCount returns the number of targets that can't be reached.
func (s *plainService) unreachableCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for i := range s.targets {
		if s.targets[i].breaker.IsUnreachable() {
			n++
		}
	}
	return n
}

// recordReachable records that an unreachable target accepts connections again.
func (s *plainService) recordReachable(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.targets {
		if s.targets[i].registration.ID == id {
			s.targets[i].breaker.Reachable()
		}
	}
}

// targetService is what both kinds of service have in common.
type targetService interface {
	unreachableTargets() []probeTarget
	unreachableCount() int
	recordReachable(id string)
}

// listServices returns all services, for calls that are made without g.mu.
func (g *Gateway) listServices() []targetService {
	g.mu.Lock()
	defer g.mu.Unlock()
	var services []targetService
	for _, s := range g.engineServices {
		services = append(services, s)
	}
	for _, s := range g.plainServices {
		services = append(services, s)
	}
	return services
}

// probeUnreachable tries to connect to the targets that could not be reached. Peers are asked only
// if they reach clearly more targets; otherwise each target that is down would have all instances
// ask their peers twice a second.
func (g *Gateway) probeUnreachable(ctx context.Context) {
	services, unreached := g.listServices(), 0
	for _, s := range services {
		unreached += s.unreachableCount()
	}
	askPeers := g.peers.reachMore(unreached)
	for _, s := range services {
		for _, t := range s.unreachableTargets() {
			if askPeers {
				go g.probeThroughPeers(ctx, s, t)
			} else {
				go g.probeTarget(ctx, s, t)
			}
		}
	}
}

func (g *Gateway) probeThroughPeers(ctx context.Context, s targetService, t probeTarget) {
	if g.dialer.Check(ctx, t.address) != connrelay.Unreached {
		g.recordReachable(s, t)
	}
}

func (g *Gateway) recordReachable(s targetService, t probeTarget) {
	logline.Info("target_reachable", "target", t.id, "address", t.address)
	s.recordReachable(t.id)
}

func (g *Gateway) probeTarget(ctx context.Context, s targetService, t probeTarget) {
	ctx, cancel := context.WithTimeout(ctx, connrelay.CheckTimeout)
	defer cancel()
	conn, err := g.dialDirect(ctx, "tcp", t.address)
	if err != nil {
		return // still unreachable
	}
	g.targets.Put(g.targets.Wrap(t.address, conn))
	g.recordReachable(s, t)
}
