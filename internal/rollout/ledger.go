package rollout

import (
	"time"

	"github.com/mastictray/mastictray/internal/logrec"
)

// Order is the newest order of a target that is known from the log.
type Order struct {
	Issued
	// Open until the order is settled: the target may load at any moment.
	Open bool
	// AppliedAt is this process's clock when it folded the last record.
	AppliedAt time.Duration
	Failed   bool
}

// State is the fold of the rollout records in the control stream. But for
// the times it is the same on every instance.
type State struct {
	// token is the newest fencing token; records of older ones are void.
	token  int64
	pools  map[string]PoolState
	orders map[string]Order
	// results are the targets tried on each pool's version, by whether the
	// version failed there.
	results map[string]map[string]bool
}

// NewState is the fold of no record.
func NewState() *State {
	return &State{
		pools: map[string]PoolState{}, orders: map[string]Order{}, results: map[string]map[string]bool{},
	}
}

// Fence takes the token of a new holder of the lease, at its place in the
// stream. What an older holder appends from there on is void: the new one
// has read up to here and no further when it starts to decide.
func (l *State) Fence(token int64) { l.token = max(l.token, token) }

// Pool is the state of a pool's rollout.
func (l *State) Pool(name string) (PoolState, bool) {
	s, ok := l.pools[name]
	return s, ok
}

// Order is the newest order of a target.
func (l *State) Order(target string) (Order, bool) {
	o, ok := l.orders[target]
	return o, ok
}

// Results counts the targets that the pool's version failed on, and those
// that it passed on.
func (l *State) Results(pool string) (failed, passed int) {
	for _, f := range l.results[pool] {
		if f {
			failed++
		} else {
			passed++
		}
	}
	return failed, passed
}

// Apply folds one record; other kinds and malformed ones change nothing.
func (l *State) Apply(now time.Duration, e logrec.Envelope) {
	switch e.Kind {
	case KindPool:
		var r PoolRecord
		if e.DecodeBody(&r) == nil && l.valid(r.State.ID.Token) {
			l.pool(r)
		}
	case KindIssued:
		var r Issued
		if e.DecodeBody(&r) == nil && l.valid(r.ID.Token) {
			l.issued(now, r)
		}
	case KindSettled:
		var r Settled
		if e.DecodeBody(&r) == nil && l.valid(r.Token) {
			l.settled(now, r)
		}
	}
}

func (l *State) valid(token int64) bool {
	if token < l.token {
		return false
	}
	l.token = token
	return true
}

func (l *State) pool(r PoolRecord) {
	old, known := l.pools[r.Pool]
	if known && !r.State.ID.after(old.ID) {
		return
	}
	if old.Version != r.State.Version {
		delete(l.results, r.Pool)
	}
	l.pools[r.Pool] = r.State
}

func (l *State) issued(now time.Duration, r Issued) {
	if old, known := l.orders[r.Target]; known && !r.ID.after(old.ID) {
		return
	}
	l.orders[r.Target] = Order{Issued: r, Open: true, AppliedAt: now}
}

func (l *State) settled(now time.Duration, r Settled) {
	o, known := l.orders[r.Target]
	if !known || !o.Open || o.ID != r.Order {
		return
	}
	o.Open, o.Failed, o.AppliedAt = false, r.Failed, now
	l.orders[r.Target] = o
	if r.Version != l.pools[r.Pool].Version {
		return
	}
	if l.results[r.Pool] == nil {
		l.results[r.Pool] = map[string]bool{}
	}
	l.results[r.Pool][r.Target] = r.Failed
}
