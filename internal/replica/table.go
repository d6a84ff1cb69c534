// Package replica keeps the state that instances publish about themselves, as
// copies that pass from instance to instance.
//
// Each instance numbers its own updates, and a copy is replaced by one with a
// higher number only. So it does not matter by how many ways an update comes,
// how often, or in which order: counts that are summed over all instances hold
// what each has counted once, also while the instances through which they pass
// restart or change.
//
// A receiver gets what has changed since the place up to which it has the
// sender's table. The table orders changes by the time at which they came to
// it, so one number says what a receiver has.
//
// The package is pure.
package replica

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastictray/mastictray/internal/wire"
)

// OriginID is the number that stands for an incarnation of an instance.
func OriginID(incarnation string) uint64 { return xxhash.Sum64String(incarnation) }

const (
	// maxEvents is the events of one origin that are kept to be passed on, at
	// least; at most twice as many are.
	maxEvents = 64
	// repeatAfter is when a state that has not changed is passed on again: twice
	// in the least time after which its instance would count as silent.
	repeatAfter = 400 * time.Millisecond
	// forgetAfter is when an origin without updates is dropped. By then no
	// receiver builds on what it had of it.
	forgetAfter = 10 * time.Minute
)

// Table is one instance's copies. It is not safe for concurrent use.
type Table struct {
	self uint64
	// version counts the changes of the table.
	version uint64
	rows    map[uint64]*row
	// staleAfter is the age at which an update is no longer passed on.
	staleAfter time.Duration
	// pending are this instance's events since it last published its state.
	pending   []wire.InstanceEvent
	forgotten time.Duration
}

// row is the copy of one origin.
type row struct {
	identity wire.Identity
	seq      uint64
	// at is when the origin made the update, by the clock of this instance.
	at    time.Duration
	state wire.InstanceState
	spent map[string]count
	// events are the last ones, lastEvent the number of the newest.
	events    []event
	lastEvent uint64
	// created and changed are the table's versions at which the row was new,
	// and last changed.
	created, changed uint64
	// skipped is set once a receiver was not sent the row since it was stale.
	skipped bool
	// passOn is set while the updates come from a follower of this instance.
	passOn bool
}

type count struct {
	total   float64
	changed uint64
}

type event struct {
	wire.InstanceEvent
	number  uint64
	changed uint64
}

// New makes the table of an instance. Updates older than staleAfter are not
// passed on.
func New(self wire.Identity, staleAfter time.Duration) *Table {
	t := &Table{self: OriginID(self.Incarnation), rows: map[uint64]*row{}, staleAfter: staleAfter}
	t.rows[t.self] = &row{identity: self, spent: map[string]count{}, at: -repeatAfter, created: 1, passOn: true}
	t.version = 1
	return t
}

// SetStaleAfter changes the age at which updates are no longer passed on.
func (t *Table) SetStaleAfter(d time.Duration) { t.staleAfter = d }

// Cursor is the end of the table's updates.
func (t *Table) Cursor() wire.UpdateCursor {
	return wire.UpdateCursor{Table: t.self, Version: t.version}
}

// VersionOf is the version of the table at a place; 0 for a place in the table of
// another process, which says nothing of this one.
func (t *Table) VersionOf(place wire.UpdateCursor) uint64 {
	if place.Table != t.self {
		return 0
	}
	return place.Version
}

// Publish takes in this instance's own state and counts. They are passed on if
// they have changed, and now and then as a sign of life.
func (t *Table) Publish(now time.Duration, state wire.InstanceState, spent map[string]float64) {
	t.forget(now)
	r := t.rows[t.self]
	if now-r.at < repeatAfter && len(t.pending) == 0 && r.state.Equal(&state) && !r.spentChanges(spent) {
		return
	}
	t.version++
	r.seq++
	r.at, r.state, r.changed = now, state, t.version
	r.setSpent(spent, t.version)
	for _, e := range t.pending {
		r.addEvent(e, r.lastEvent+1, t.version)
	}
	t.pending = nil
}

// AddEvent takes in an event of this instance, to be published with its next
// state: an update that is numbered like one before would not be taken in.
func (t *Table) AddEvent(e wire.InstanceEvent) {
	if t.pending = append(t.pending, e); len(t.pending) > maxEvents {
		t.pending = t.pending[1:]
	}
}

func (r *row) spentChanges(spent map[string]float64) bool {
	for account, total := range spent {
		if r.spent[account].total != total {
			return true
		}
	}
	return false
}

func (r *row) setSpent(spent map[string]float64, version uint64) {
	for account, total := range spent {
		if r.spent[account].total != total {
			r.spent[account] = count{total: total, changed: version}
		}
	}
}

func (r *row) addEvent(e wire.InstanceEvent, number, version uint64) {
	if number != r.lastEvent+1 {
		r.events = nil // receivers number events from the first one on
	}
	r.events = append(r.events, event{InstanceEvent: e, number: number, changed: version})
	if len(r.events) >= 2*maxEvents {
		r.events = append([]event(nil), r.events[len(r.events)-maxEvents:]...)
	}
	r.lastEvent = number
}

// Scope says which rows are passed on.
type Scope int

const (
	// ScopeAll rows but the receiver's own.
	ScopeAll Scope = iota
	// ScopeFollowers: this instance's own row and those of its followers. Hubs get
	// the others from the hubs that these follow.
	ScopeFollowers
)

// UpdatesSince gives what has changed after a version, for a receiver that has all up
// to it of the same scope.
func (t *Table) UpdatesSince(now time.Duration, version uint64, scope Scope, receiver uint64) []wire.InstanceUpdate {
	var out []wire.InstanceUpdate
	for origin, r := range t.rows {
		if r.changed <= version || origin == receiver || scope == ScopeFollowers && !r.passOn {
			continue
		}
		if now-r.at > t.staleAfter {
			r.skipped = true
			continue
		}
		out = append(out, r.update(now, origin, version))
	}
	return out
}

func (r *row) update(now time.Duration, origin, version uint64) wire.InstanceUpdate {
	u := wire.InstanceUpdate{Origin: origin, Seq: r.seq, AgeMillis: max(0, now-r.at).Milliseconds(), State: r.state}
	if r.created > version {
		identity := r.identity
		u.Identity = &identity
	}
	for account, c := range r.spent {
		if c.changed > version {
			if u.Spent == nil {
				u.Spent = map[string]float64{}
			}
			u.Spent[account] = c.total
		}
	}
	for _, e := range r.events {
		if e.changed > version {
			if u.Events == nil {
				u.FirstEvent = e.number
			}
			u.Events = append(u.Events, e.InstanceEvent)
		}
	}
	return u
}

// Change is an update that was taken in.
type Change struct {
	Identity wire.Identity
	// At is when the origin made it, by this instance's clock.
	At    time.Duration
	State wire.InstanceState
	// Spent is the changed counts: what the origin has admitted since its start.
	Spent map[string]float64
	// Events are those that were not taken in before.
	Events []wire.InstanceEvent
}

// Merge takes in updates whose ages count back from a time. passOn says that they
// came from a follower, for which this instance passes them on. Lacking says that
// some update builds on one that this instance does not have.
func (t *Table) Merge(from time.Duration, updates []wire.InstanceUpdate, passOn bool) (changes []Change, lacking bool) {
	for i := range updates {
		u := &updates[i]
		if u.Origin == t.self {
			continue
		}
		r := t.rows[u.Origin]
		if r == nil {
			if u.Identity == nil {
				lacking = true
				continue
			}
			r = &row{identity: *u.Identity, spent: map[string]count{}, created: t.version + 1}
			t.rows[u.Origin] = r
		}
		if u.Seq > r.seq {
			changes = append(changes, t.replace(r, from, u, passOn))
		}
	}
	return changes, lacking
}

// replace takes in a newer update of a row.
func (t *Table) replace(r *row, from time.Duration, u *wire.InstanceUpdate, passOn bool) Change {
	t.version++
	at := from - time.Duration(u.AgeMillis)*time.Millisecond
	if passOn && !r.passOn || r.skipped {
		t.renew(r)
	}
	r.seq, r.at, r.state, r.changed, r.passOn = u.Seq, max(r.at, at), u.State, t.version, passOn
	r.setSpent(u.Spent, t.version)
	c := Change{Identity: r.identity, At: r.at, State: u.State, Spent: u.Spent}
	for i, e := range u.Events {
		if number := u.FirstEvent + uint64(i); number > r.lastEvent {
			r.addEvent(e, number, t.version)
			c.Events = append(c.Events, e)
		}
	}
	return c
}

// renew makes all of a row new for every receiver. Some were not sent it: it was
// not in their scope, or stale, and a later change would build on what they do
// not have.
func (t *Table) renew(r *row) {
	r.created, r.skipped = t.version, false
	for account, c := range r.spent {
		c.changed = t.version
		r.spent[account] = c
	}
}

// forget drops the origins without updates for long.
func (t *Table) forget(now time.Duration) {
	if now-t.forgotten < time.Second {
		return
	}
	t.forgotten = now
	for origin, r := range t.rows {
		if origin != t.self && now-r.at > forgetAfter {
			delete(t.rows, origin)
		}
	}
}
