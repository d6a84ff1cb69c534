package canary

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Order is an operator's order to move the traffic of a service to the targets of a version.
type Order struct {
	Service string
	Version string
	// Duration is the time within which the traffic has to be moved or returned.
	Duration time.Duration
	// Revision increases with each order. An order replaces those of lower revisions for the
	// same service.
	Revision int64
}

// ErrInvalidOrder means that an order lacks its service or version, or has no positive duration.
var ErrInvalidOrder = errors.New("canary: invalid order")

// Validate returns ErrInvalidOrder if the order can't be carried out.
func (o *Order) Validate() error {
	if o.Service == "" || o.Version == "" || o.Duration <= 0 {
		return errors.Wrapf(ErrInvalidOrder, "service=%q version=%q duration=%v", o.Service, o.Version, o.Duration)
	}
	return nil
}

// Phase is the progress of an order. Phases only increase; the last two are final.
type Phase int

// The phases.
const (
	// Running sends a small part of the requests to the new version.
	Running Phase = iota
	// Loading sends a larger part to a few targets, so that they have their usual load.
	Loading
	// Switching sends all new requests to the new version, while those on the old one end.
	Switching
	// Complete means that the old version has been replaced.
	Complete
	// RolledBack means that the new version gets no requests.
	RolledBack
)

// Final reports whether the order has been decided.
func (p Phase) Final() bool { return p == Complete || p == RolledBack }

func (p Phase) String() string {
	return [...]string{"running", "loading", "switching", "complete", "rolled_back"}[p]
}

// Permit allows instances to send a share of a service's requests to canaries.
type Permit struct {
	Phase Phase
	// Share is the fraction of the requests, from 0 to 1.
	Share float64
	// Canaries is the number of targets of the new version that get them.
	Canaries int
}

// Record is what is stored of an order, so that a decision survives a restart of all instances.
type Record struct {
	Order Order
	Phase Phase
	// OrderedAt is the time at which an instance first learnt of the order.
	OrderedAt time.Time
}
