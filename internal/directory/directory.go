// Package directory keeps the targets that have registered themselves and determines
// which of them may receive new work.
//
// Registrations come from a store that can be unavailable, lose its history or contain
// records of an earlier incarnation. The package performs no I/O: callers pass in the
// records and the time.
package directory

import (
	"slices"
	"strings"
	"time"
)

// State is the state that a target reports.
type State string

// The states.
const (
	Ready    State = "ready"
	Draining State = "draining"
)

// Registration is the record that a target publishes about itself. Instances exchange
// registrations under the field names of the msgpack encoding.
type Registration struct {
	// ID usually identifies one incarnation of a target. A target may also restart
	// under the same ID, with a later StartedMs.
	ID      string
	Service string
	Address string
	Domain  string
	State   State
	Slots   int
	// WarmupRemaining is how much longer the target is slow after its start.
	WarmupRemaining time.Duration `msgpack:"ColdFor"`
	// StartedMs is the Unix time in milliseconds at which the target started.
	StartedMs int64 `msgpack:"Born"`
	// Seq increases with each record of one incarnation.
	Seq int64
	// SoftwareVersion is the version of the target's software; empty if it states none.
	SoftwareVersion string
	// Versions maps each model to the weights version served.
	Versions map[string]int64
}

// Incarnation identifies one start of a target.
type Incarnation struct {
	ID        string
	StartedMs int64
}

// Incarnation returns the incarnation that published the registration.
func (r Registration) Incarnation() Incarnation { return Incarnation{r.ID, r.StartedMs} }

// Event is a change of one registration; a nil Registration removes ID.
type Event struct {
	ID           string
	Registration *Registration
}

// StoreRecoveryGrace is how long a target whose record is missing after an outage of
// the store is still used. If the target is alive, a record that expired during the
// outage is renewed within about two seconds after it.
const StoreRecoveryGrace = 2500 * time.Millisecond

// StoreOutageThreshold is the time without a read after which the store counts as
// having been unavailable, so that records may have expired although their targets are
// alive. It is longer than the usual interval between updates, from own reads or from
// peers, and well below the three heartbeats after which a record expires.
const StoreOutageThreshold = 2200 * time.Millisecond

// Directory is the set of registered targets. It is not safe for concurrent use.
type Directory struct {
	targets map[string]*entry
	// lastReadAt is the time of the last read of the store, recoveredAt that of the
	// first read after its last outage.
	lastReadAt  time.Duration
	recoveredAt time.Duration
	hadOutage   bool
	revision    int64
	// leaving holds the incarnations that have announced to this instance that they leave,
	// with the time at which each was last known to be registered. A registration does not
	// say so before the store has accepted it, and a record may expire and come back.
	leaving map[Incarnation]time.Duration
}

type entry struct {
	Registration
	// missing is set during the grace period of a target whose record is gone.
	missing bool
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{targets: map[string]*entry{}, leaving: map[Incarnation]time.Duration{}}
}

// Revision increases whenever a target is added or removed, or its start time, state,
// address, service or versions change. A heartbeat does not change it.
func (d *Directory) Revision() int64 { return d.revision }

// ApplyEvents applies events read from the store at the given time. It returns those
// that changed the revision.
func (d *Directory) ApplyEvents(now time.Duration, events []Event) []Event {
	if d.lastReadAt > 0 && now-d.lastReadAt > StoreOutageThreshold {
		d.recoveredAt, d.hadOutage = now, true
	}
	d.lastReadAt = now
	var changes []Event
	for _, e := range events {
		before := d.revision
		d.applyEvent(now, e)
		if d.revision != before {
			changes = append(changes, e)
		}
	}
	d.expireMissing(now)
	d.expireLeaving(now)
	return changes
}

// ReplaceAll applies a complete set of registrations, read after the store lost its
// history. Targets that are not in it are treated as removed.
func (d *Directory) ReplaceAll(now time.Duration, all []Event) []Event {
	present := make(map[string]bool, len(all))
	for _, e := range all {
		present[e.ID] = true
	}
	for id := range d.targets {
		if !present[id] {
			all = append(all, Event{ID: id})
		}
	}
	return d.ApplyEvents(now, all)
}

func (d *Directory) applyEvent(now time.Duration, e Event) {
	known := d.targets[e.ID]
	if e.Registration == nil {
		d.remove(now, known)
		return
	}
	next := *e.Registration
	if known != nil && olderThan(&next, &known.Registration) {
		return
	}
	if known == nil || known.missing || differs(&next, &known.Registration) {
		d.revision++
	}
	d.targets[e.ID] = &entry{Registration: next}
}

// olderThan reports whether a record is older than the known one. Applying a delayed
// copy would restore an incarnation that has ended.
func olderThan(next, known *Registration) bool {
	if next.StartedMs != known.StartedMs {
		return next.StartedMs < known.StartedMs
	}
	return next.Seq < known.Seq
}

// differs reports whether two records differ in start time, state, address, service,
// software version or weights versions.
func differs(a, b *Registration) bool {
	if a.StartedMs != b.StartedMs || a.State != b.State || a.Address != b.Address || a.Service != b.Service || a.SoftwareVersion != b.SoftwareVersion || len(a.Versions) != len(b.Versions) {
		return true
	}
	for model, v := range a.Versions {
		if b.Versions[model] != v {
			return true
		}
	}
	return false
}

// remove deletes a target, or starts its grace period if its record may have expired
// only because the store was unavailable.
func (d *Directory) remove(now time.Duration, known *entry) {
	if known == nil || known.missing {
		return
	}
	d.revision++
	if d.inRecoveryGrace(now) && known.State == Ready {
		known.missing = true
		return
	}
	delete(d.targets, known.ID)
}

func (d *Directory) inRecoveryGrace(now time.Duration) bool {
	return d.hadOutage && now-d.recoveredAt < StoreRecoveryGrace
}

// expireMissing deletes the targets whose record was not renewed in the grace period.
func (d *Directory) expireMissing(now time.Duration) {
	if d.inRecoveryGrace(now) {
		return
	}
	for id, t := range d.targets {
		if t.missing {
			delete(d.targets, id)
			d.revision++
		}
	}
}

// MarkLeaving records that an incarnation of a target has announced in a response that it
// leaves. It gets no new work from then on, whatever its registration says. It returns
// whether this was new.
func (d *Directory) MarkLeaving(now time.Duration, id Incarnation) bool {
	_, known := d.leaving[id]
	d.leaving[id] = now
	if known {
		return false
	}
	d.revision++
	return true
}

// leavingRetention is how long an announcement that a target leaves is kept while the target
// is not registered. A leaving target exits long before that.
const leavingRetention = 5 * time.Minute

func (d *Directory) expireLeaving(now time.Duration) {
	for id, registeredAt := range d.leaving {
		switch {
		case d.Has(id):
			d.leaving[id] = now
		case now-registeredAt > leavingRetention:
			delete(d.leaving, id)
		}
	}
}

// Usable returns the targets of a service that may receive new work, ordered by ID.
func (d *Directory) Usable(service string) []Registration {
	return d.filter(func(t *entry) bool {
		_, leaving := d.leaving[t.Incarnation()]
		return t.Service == service && t.State == Ready && !leaving
	})
}

// All returns all known targets, ordered by ID.
func (d *Directory) All() []Registration {
	return d.filter(func(*entry) bool { return true })
}

// HasAddress reports whether a target is registered at an address.
func (d *Directory) HasAddress(address string) bool {
	for _, t := range d.targets {
		if t.Address == address {
			return true
		}
	}
	return false
}

func (d *Directory) filter(keep func(*entry) bool) []Registration {
	var out []Registration
	for _, t := range d.targets {
		if keep(t) {
			out = append(out, t.Registration)
		}
	}
	slices.SortFunc(out, func(a, b Registration) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Has reports whether an incarnation of a target is registered.
func (d *Directory) Has(id Incarnation) bool {
	r, ok := d.Find(id.ID)
	return ok && r.Incarnation() == id
}

// Find returns the registration of the target with the given ID.
func (d *Directory) Find(id string) (Registration, bool) {
	t := d.targets[id]
	if t == nil {
		return Registration{}, false
	}
	return t.Registration, true
}
