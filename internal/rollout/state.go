package rollout

import (
	"time"

	"github.com/mastictray/mastictray/internal/logrec"
)

// Order is the newest order of a target according to the log.
type Order struct {
	Issued
	// Open is set until the order is settled. While it is set the target may
	// start to load at any moment.
	Open bool
	// AppliedAt is when this process applied the order's last record, by its
	// own clock.
	AppliedAt time.Duration
	Failed    bool
}

// State is the rollout state of all pools and targets. It is built by applying
// the rollout records of the control stream. Apart from the times it is equal
// on every instance.
type State struct {
	// token is the highest fencing token seen. Records with lower ones are
	// invalid.
	token  int64
	pools  map[string]PoolState
	orders map[string]Order
	// results lists, for each pool's version, the targets that tried it and
	// whether it failed there.
	results map[string]map[string]bool
}

// NewState returns a state that has applied no record.
func NewState() *State {
	return &State{
		pools: map[string]PoolState{}, orders: map[string]Order{}, results: map[string]map[string]bool{},
	}
}

// Fence raises the fencing token when another instance takes the lease, at the
// offset of its acquire. Records that an earlier holder appends after that are
// invalid, because the new holder has read only up to that offset when it
// starts to decide.
func (s *State) Fence(token int64) { s.token = max(s.token, token) }

// Pool returns the state of a pool's rollout.
func (s *State) Pool(name string) (PoolState, bool) {
	pool, ok := s.pools[name]
	return pool, ok
}

// Order returns the newest order of a target.
func (s *State) Order(target string) (Order, bool) {
	o, ok := s.orders[target]
	return o, ok
}

// Results returns the number of targets on which the pool's version failed and
// on which it passed.
func (s *State) Results(pool string) (failed, passed int) {
	for _, failedOnTarget := range s.results[pool] {
		if failedOnTarget {
			failed++
		} else {
			passed++
		}
	}
	return failed, passed
}

// Apply applies one record. Records of other kinds and malformed ones have no
// effect.
func (s *State) Apply(now time.Duration, e logrec.Envelope) {
	switch e.Kind {
	case KindPool:
		var r PoolRecord
		if e.DecodeBody(&r) == nil && s.acceptToken(r.State.ID.Token) {
			s.applyPool(r)
		}
	case KindIssued:
		var r Issued
		if e.DecodeBody(&r) == nil && s.acceptToken(r.ID.Token) {
			s.applyIssued(now, r)
		}
	case KindSettled:
		var r Settled
		if e.DecodeBody(&r) == nil && s.acceptToken(r.Token) {
			s.applySettled(now, r)
		}
	}
}

func (s *State) acceptToken(token int64) bool {
	if token < s.token {
		return false
	}
	s.token = token
	return true
}

func (s *State) applyPool(r PoolRecord) {
	old, known := s.pools[r.Pool]
	if known && !r.State.ID.after(old.ID) {
		return
	}
	if old.Version != r.State.Version {
		delete(s.results, r.Pool)
	}
	s.pools[r.Pool] = r.State
}

func (s *State) applyIssued(now time.Duration, r Issued) {
	if old, known := s.orders[r.Target]; known && !r.ID.after(old.ID) {
		return
	}
	s.orders[r.Target] = Order{Issued: r, Open: true, AppliedAt: now}
}

func (s *State) applySettled(now time.Duration, r Settled) {
	o, known := s.orders[r.Target]
	if !known || !o.Open || o.ID != r.Order {
		return
	}
	o.Open, o.Failed, o.AppliedAt = false, r.Failed, now
	s.orders[r.Target] = o
	if r.Version != s.pools[r.Pool].Version {
		return
	}
	if s.results[r.Pool] == nil {
		s.results[r.Pool] = map[string]bool{}
	}
	s.results[r.Pool][r.Target] = r.Failed
}
