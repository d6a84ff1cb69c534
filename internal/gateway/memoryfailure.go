package gateway

import (
	"time"

	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/placement"
)

// memoryFailureRetention is how long after it ran out of memory a target is expected back.
const memoryFailureRetention = 30 * time.Second

// memoryFailures holds the targets that ran out of memory, by address: they return there as new
// incarnations, with empty caches and possibly other IDs. The zero value holds none.
type memoryFailures struct {
	byAddress map[string]memoryFailure
}

type memoryFailure struct {
	failed directory.Incarnation
	at     time.Duration
	// returned is the incarnation that came next and returnedAt when it was first seen.
	returned   directory.Incarnation
	returnedAt time.Duration
}

// record records that an incarnation of a target ran out of memory, and reports whether that is
// new.
func (f *memoryFailures) record(now time.Duration, r *directory.Registration) bool {
	if f.byAddress[r.Address].failed == r.Incarnation() {
		return false
	}
	if f.byAddress == nil {
		f.byAddress = map[string]memoryFailure{}
	}
	f.expire(now)
	f.byAddress[r.Address] = memoryFailure{failed: r.Incarnation(), at: now}
	return true
}

func (f *memoryFailures) contains(r *directory.Registration) bool {
	failure, ok := f.byAddress[r.Address]
	return ok && failure.failed == r.Incarnation()
}

// expire removes the targets that ran out of memory long ago.
func (f *memoryFailures) expire(now time.Duration) {
	for address, failure := range f.byAddress {
		if now-failure.at > memoryFailureRetention {
			delete(f.byAddress, address)
		}
	}
}

// slowStartFactor returns the fraction of its rate at which a target is used after it has
// returned; 0 if it hasn't run out of memory.
func (f *memoryFailures) slowStartFactor(now time.Duration, r *directory.Registration) float64 {
	failure, ok := f.byAddress[r.Address]
	if !ok || failure.failed == r.Incarnation() {
		return 0
	}
	if failure.returned != r.Incarnation() {
		failure.returned, failure.returnedAt = r.Incarnation(), now
		f.byAddress[r.Address] = failure
	}
	return placement.SlowStartFactor(now - failure.returnedAt)
}

// recordLostConnection records that a target has lost the connection of an attempt, and reports
// whether that is because it ran out of memory: neither its requests nor the target are at fault.
func (s *engineService) recordLostConnection(r *directory.Registration) bool {
	if s.sharesMemoryAs == "" {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.memoryFailures.contains(r) {
		return true
	}
	i, ok := s.pool.Find(r.ID)
	if !ok || s.registrations[r.ID].Incarnation() != r.Incarnation() {
		return false
	}
	t := s.pool.Target(i)
	if !t.Memory.WasNearlyFull(s.now(), t.MemoryTokens) {
		return false
	}
	if s.memoryFailures.record(s.now(), r) {
		logline.Info("target_out_of_memory", "target", r.ID, "address", r.Address, "held", t.HeldTokens,
			"peers_held", t.PeersHeldTokens, "memory", t.MemoryTokens)
	}
	return true
}

// refreshSlowStarts updates the rates of the targets that return after they ran out of memory.
// The caller holds s.mu.
func (s *engineService) refreshSlowStarts() {
	if len(s.memoryFailures.byAddress) == 0 {
		return
	}
	s.memoryFailures.expire(s.now())
	for i := range s.pool.Len() {
		t := s.pool.Target(i)
		r := s.registrations[t.Name]
		t.SlowStartFactor = s.memoryFailures.slowStartFactor(s.now(), &r)
	}
}
