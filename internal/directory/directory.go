// Package directory keeps the targets that have registered themselves, and
// says which of them may get new work.
//
// Registrations come from a store that may be away, forget its history, or
// hold records of an earlier incarnation. The package is pure: records and
// the time come in as arguments.
package directory

import (
	"slices"
	"strings"
	"time"
)

// State is what a target says of itself.
type State string

// The states.
const (
	Ready    State = "ready"
	Draining State = "draining"
)

// Registration is a target's own record.
type Registration struct {
	// ID names one incarnation of a target in most cases; a target may also
	// start again under the same ID, with a later Born.
	ID      string
	Service string
	Address string
	Domain  string
	State   State
	Slots   int
	// WarmupRemaining is how much longer the target is slow after its start.
	WarmupRemaining time.Duration `msgpack:"ColdFor"`
	// StartedMs is the Unix millisecond of the target's start.
	StartedMs int64 `msgpack:"Born"`
	// Seq grows with each record of one incarnation.
	Seq int64
	// Versions are the weights versions of its models.
	Versions map[string]int64
}

// Incarnation tells two starts of one target apart.
type Incarnation struct {
	ID        string
	StartedMs int64
}

// Incarnation names this start of the target.
func (r Registration) Incarnation() Incarnation { return Incarnation{r.ID, r.StartedMs} }

// Event is one change of the registrations; a nil Registration removes ID.
type Event struct {
	ID           string
	Registration *Registration
}

// StoreRecoveryGrace is how long a target whose record is missing after the store
// was away is still used: records that lapsed meanwhile are back within about
// two seconds of the store's return when their target lives.
const StoreRecoveryGrace = 2500 * time.Millisecond

// StoreOutageThreshold is the silence of the store after which records may have lapsed
// without their target being at fault. It is over the usual time between two
// words on the registrations, by an own read or a peer's, and well under the
// three heartbeats after which a record lapses.
const StoreOutageThreshold = 2200 * time.Millisecond

// Directory is the registered targets. It is not safe for concurrent use.
type Directory struct {
	targets map[string]*entry
	// lastRead is when the store was last read, and returnedAt when it was
	// first read again after it had been away.
	lastRead   time.Duration
	returnedAt time.Duration
	wasAway    bool
	revision   int64
}

type entry struct {
	Registration
	// missing is set while the record is gone and the target in its grace.
	missing bool
}

// New makes an empty directory.
func New() *Directory { return &Directory{targets: map[string]*entry{}} }

// Revision grows whenever a target came, went or changed in more than its
// sequence number.
func (d *Directory) Revision() int64 { return d.revision }

// ApplyEvents takes in the records that the store held at the time. It gives those
// that changed more than a target's sequence number.
func (d *Directory) ApplyEvents(now time.Duration, events []Event) []Event {
	if d.lastRead > 0 && now-d.lastRead > StoreOutageThreshold {
		d.returnedAt, d.wasAway = now, true
	}
	d.lastRead = now
	var changes []Event
	for _, e := range events {
		before := d.revision
		d.apply(now, e)
		if d.revision != before {
			changes = append(changes, e)
		}
	}
	d.expire(now)
	return changes
}

// ReplaceAll takes in the whole of the records, as read after the store's
// history was lost: what is not among them is gone.
func (d *Directory) ReplaceAll(now time.Duration, all []Event) []Event {
	there := make(map[string]bool, len(all))
	for _, e := range all {
		there[e.ID] = true
	}
	for id := range d.targets {
		if !there[id] {
			all = append(all, Event{ID: id})
		}
	}
	return d.ApplyEvents(now, all)
}

func (d *Directory) apply(now time.Duration, e Event) {
	known := d.targets[e.ID]
	if e.Registration == nil {
		d.remove(now, known)
		return
	}
	next := *e.Registration
	if known != nil && outdated(&next, &known.Registration) {
		return
	}
	if known == nil || known.missing || differs(&next, &known.Registration) {
		d.revision++
	}
	d.targets[e.ID] = &entry{Registration: next}
}

// outdated says that a record is older than the known one: a copy that was
// held up on its way would bring back an incarnation that has ended.
func outdated(next, known *Registration) bool {
	if next.StartedMs != known.StartedMs {
		return next.StartedMs < known.StartedMs
	}
	return next.Seq < known.Seq
}

func differs(a, b *Registration) bool {
	if a.StartedMs != b.StartedMs || a.State != b.State || a.Address != b.Address || a.Service != b.Service || len(a.Versions) != len(b.Versions) {
		return true
	}
	for model, v := range a.Versions {
		if b.Versions[model] != v {
			return true
		}
	}
	return false
}

// remove drops a target, or starts its grace when its record may have lapsed
// only because the store was away.
func (d *Directory) remove(now time.Duration, known *entry) {
	if known == nil || known.missing {
		return
	}
	d.revision++
	if d.inGrace(now) && known.State == Ready {
		known.missing = true
		return
	}
	delete(d.targets, known.ID)
}

func (d *Directory) inGrace(now time.Duration) bool {
	return d.wasAway && now-d.returnedAt < StoreRecoveryGrace
}

// expire drops the targets whose record did not come back in time.
func (d *Directory) expire(now time.Duration) {
	if d.inGrace(now) {
		return
	}
	for id, t := range d.targets {
		if t.missing {
			delete(d.targets, id)
			d.revision++
		}
	}
}

// Usable lists the targets of a service that may get new work, by ID.
func (d *Directory) Usable(service string) []Registration {
	return d.list(func(t *entry) bool { return t.Service == service && t.State == Ready })
}

// All lists every known target by ID.
func (d *Directory) All() []Registration {
	return d.list(func(*entry) bool { return true })
}

func (d *Directory) list(keep func(*entry) bool) []Registration {
	var out []Registration
	for _, t := range d.targets {
		if keep(t) {
			out = append(out, t.Registration)
		}
	}
	slices.SortFunc(out, func(a, b Registration) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Has says whether an incarnation of a target is registered.
func (d *Directory) Has(id Incarnation) bool {
	r, ok := d.Find(id.ID)
	return ok && r.Incarnation() == id
}

// Find gives a target by its ID.
func (d *Directory) Find(id string) (Registration, bool) {
	t := d.targets[id]
	if t == nil {
		return Registration{}, false
	}
	return t.Registration, true
}
