// Package replica replicates the state that instances publish about themselves.
// Copies are forwarded from instance to instance.
//
// Each instance numbers its own updates, and a copy is only replaced by one with a
// higher sequence number. Merging is therefore idempotent, and updates may arrive by
// several paths and in any order: totals that are summed over all instances count
// each contribution once, also while the instances that forward them restart or
// change.
//
// A sender sends the changes since the version of its table that the receiver has.
// The table numbers changes in the order in which it applied them, so that one
// number describes what a receiver has.
//
// The package does no I/O and does not read the clock.
package replica

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastictray/mastictray/internal/wire"
)

// OriginID returns the ID of an incarnation of an instance in updates.
func OriginID(incarnation string) uint64 { return xxhash.Sum64String(incarnation) }

const (
	// maxEvents is the minimum number of an origin's latest events that are kept
	// for receivers; fewer than twice as many are kept.
	maxEvents = 64
	// refreshInterval is how often an unchanged state is published again: twice
	// within the shortest time after which its instance would count as silent.
	refreshInterval = 400 * time.Millisecond
	// originTTL is how long an origin without updates is kept. After that no
	// receiver relies on its earlier copy of the origin.
	originTTL = 10 * time.Minute
)

// Table has an instance's own state and its copies of others' states. It is not safe
// for concurrent use.
type Table struct {
	self uint64
	// version is incremented with each change of a row.
	version uint64
	rows    map[uint64]*row
	// staleAfter is the age from which on an update is not sent.
	staleAfter time.Duration
	// pending are this instance's events since it last published.
	pending    []wire.InstanceEvent
	lastExpiry time.Duration
}

// row is the state of one origin.
type row struct {
	identity wire.Identity
	seq      uint64
	// madeAt is when the origin made the update, by this instance's clock.
	madeAt time.Duration
	state  wire.InstanceState
	spent  map[string]counter
	// events are the latest ones in order, lastEvent is the number of the newest.
	events    []event
	lastEvent uint64
	// created and changed are the table versions at which the row was added and
	// last changed. Receivers with a version before created also get the identity.
	created, changed uint64
	// withheld is set once the row was not sent to a receiver because it was stale.
	withheld bool
	// forward is set for the own row and for rows received from a follower.
	forward bool
}

type counter struct {
	total   float64
	changed uint64
}

type event struct {
	wire.InstanceEvent
	number  uint64
	changed uint64
}

// New returns the table of an instance. Updates older than staleAfter are not sent.
func New(self wire.Identity, staleAfter time.Duration) *Table {
	t := &Table{self: OriginID(self.Incarnation), rows: map[uint64]*row{}, staleAfter: staleAfter}
	t.rows[t.self] = &row{identity: self, spent: map[string]counter{}, madeAt: -refreshInterval, created: 1, forward: true}
	t.version = 1
	return t
}

// SetStaleAfter changes the age above which updates are not sent.
func (t *Table) SetStaleAfter(d time.Duration) { t.staleAfter = d }

// Cursor returns the current end of the table's updates.
func (t *Table) Cursor() wire.UpdateCursor {
	return wire.UpdateCursor{Table: t.self, Version: t.version}
}

// VersionOf returns the table version at a cursor; 0 for a cursor of another process's
// table.
func (t *Table) VersionOf(cursor wire.UpdateCursor) uint64 {
	if cursor.Table != t.self {
		return 0
	}
	return cursor.Version
}

// Publish sets this instance's own state and totals. It makes a new update if they
// have changed, and otherwise every refreshInterval, so that peers know the instance
// to be up.
func (t *Table) Publish(now time.Duration, state wire.InstanceState, spent map[string]float64) {
	t.expireOrigins(now)
	r := t.rows[t.self]
	if now-r.madeAt < refreshInterval && len(t.pending) == 0 && r.state.Equal(&state) && !r.spentDiffers(spent) {
		return
	}
	t.version++
	r.seq++
	r.madeAt, r.state, r.changed = now, state, t.version
	r.setSpent(spent, t.version)
	for _, e := range t.pending {
		r.addEvent(e, r.lastEvent+1, t.version)
	}
	t.pending = nil
}

// AddEvent queues an event of this instance for its next update; beyond maxEvents, the
// oldest one is dropped. Adding the event to the last update would lose it: receivers
// ignore an update whose sequence number they have.
func (t *Table) AddEvent(e wire.InstanceEvent) {
	if t.pending = append(t.pending, e); len(t.pending) > maxEvents {
		t.pending = t.pending[1:]
	}
}

func (r *row) spentDiffers(spent map[string]float64) bool {
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
			r.spent[account] = counter{total: total, changed: version}
		}
	}
}

func (r *row) addEvent(e wire.InstanceEvent, number, version uint64) {
	if number != r.lastEvent+1 {
		r.events = nil // an update numbers its events consecutively
	}
	r.events = append(r.events, event{InstanceEvent: e, number: number, changed: version})
	if len(r.events) >= 2*maxEvents {
		r.events = append([]event(nil), r.events[len(r.events)-maxEvents:]...)
	}
	r.lastEvent = number
}

// Scope selects the rows that are sent.
type Scope int

const (
	// ScopeAll selects all rows but the receiver's own.
	ScopeAll Scope = iota
	// ScopeFollowers selects this instance's own row and those of its followers. Hubs
	// get the rows of other instances from the hubs that those follow.
	ScopeFollowers
)

// UpdatesSince returns the changes after a version, for a receiver that has the rows
// of the scope as of that version.
func (t *Table) UpdatesSince(now time.Duration, version uint64, scope Scope, receiver uint64) []wire.InstanceUpdate {
	var out []wire.InstanceUpdate
	for origin, r := range t.rows {
		if r.changed <= version || origin == receiver || scope == ScopeFollowers && !r.forward {
			continue
		}
		if now-r.madeAt > t.staleAfter {
			r.withheld = true
			continue
		}
		out = append(out, r.updateSince(now, origin, version))
	}
	return out
}

// updateSince returns the row's state with what changed after a version.
func (r *row) updateSince(now time.Duration, origin, version uint64) wire.InstanceUpdate {
	u := wire.InstanceUpdate{Origin: origin, Seq: r.seq, AgeMillis: max(0, now-r.madeAt).Milliseconds(), State: r.state}
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

// Change is the effect of a merged update.
type Change struct {
	Identity wire.Identity
	// At is when the origin made the update, by this instance's clock.
	At    time.Duration
	State wire.InstanceState
	// Spent has the changed totals of tokens that the origin has admitted since its
	// start, by account.
	Spent map[string]float64
	// Events are those that were not merged before.
	Events []wire.InstanceEvent
}

// Merge merges updates whose ages are relative to asOf. forward is set if they came
// from a follower and are to be sent to hubs. incomplete is set if an update is
// relative to one that this instance does not have.
func (t *Table) Merge(asOf time.Duration, updates []wire.InstanceUpdate, forward bool) (changes []Change, incomplete bool) {
	for i := range updates {
		u := &updates[i]
		if u.Origin == t.self {
			continue
		}
		r := t.rows[u.Origin]
		if r == nil {
			if u.Identity == nil {
				incomplete = true
				continue
			}
			r = &row{identity: *u.Identity, spent: map[string]counter{}, created: t.version + 1}
			t.rows[u.Origin] = r
		}
		if u.Seq > r.seq {
			changes = append(changes, t.applyUpdate(r, asOf, u, forward))
		}
	}
	return changes, incomplete
}

// applyUpdate replaces a row's state by a newer one.
func (t *Table) applyUpdate(r *row, asOf time.Duration, u *wire.InstanceUpdate, forward bool) Change {
	t.version++
	at := asOf - time.Duration(u.AgeMillis)*time.Millisecond
	if forward && !r.forward || r.withheld {
		t.markUnsent(r)
	}
	r.seq, r.madeAt, r.state, r.changed, r.forward = u.Seq, max(r.madeAt, at), u.State, t.version, forward
	r.setSpent(u.Spent, t.version)
	c := Change{Identity: r.identity, At: r.madeAt, State: u.State, Spent: u.Spent}
	for i, e := range u.Events {
		if number := u.FirstEvent + uint64(i); number > r.lastEvent {
			r.addEvent(e, number, t.version)
			c.Events = append(c.Events, e)
		}
	}
	return c
}

// markUnsent makes the next update of a row complete for every receiver. Some were not
// sent the row, since it was outside their scope or stale; to them an incremental
// update would be incomplete.
func (t *Table) markUnsent(r *row) {
	r.created, r.withheld = t.version, false
	for account, c := range r.spent {
		c.changed = t.version
		r.spent[account] = c
	}
}

// expireOrigins drops the origins whose last update is older than originTTL.
func (t *Table) expireOrigins(now time.Duration) {
	if now-t.lastExpiry < time.Second {
		return
	}
	t.lastExpiry = now
	for origin, r := range t.rows {
		if origin != t.self && now-r.madeAt > originTTL {
			delete(t.rows, origin)
		}
	}
}
