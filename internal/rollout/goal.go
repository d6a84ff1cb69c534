package rollout

import (
	"sort"
	"time"

	"github.com/mastictray/mastictray/internal/config"
	"github.com/mastictray/mastictray/internal/logrec"
)

// Goal is the state of one engine pool that operators want.
type Goal struct {
	Pool    string
	Model   string
	Version string
	// ServingFloor is the minimum number of targets that must serve one common
	// version at any time.
	ServingFloor int
	// MaxLoads is the maximum number of targets that load at the same time.
	MaxLoads int
	// Targets are in name order.
	Targets []config.Target
}

// Goals returns the goals of a configuration, in pool order.
func Goals(intent *config.Intent) []Goal {
	byPool := map[string][]config.Target{}
	for _, t := range intent.Targets {
		byPool[t.Pool] = append(byPool[t.Pool], t)
	}
	var goals []Goal
	for _, p := range intent.Pools {
		if p.Kind != config.KindEngine {
			continue
		}
		targets := byPool[p.Name]
		sort.Slice(targets, func(i, j int) bool { return targets[i].Name < targets[j].Name })
		goals = append(goals, Goal{
			Pool: p.Name, Model: p.Model, Version: intent.Models[p.Model].Version,
			ServingFloor: p.ServingFloor, MaxLoads: p.MaxLoads, Targets: targets,
		})
	}
	sort.Slice(goals, func(i, j int) bool { return goals[i].Pool < goals[j].Pool })
	return goals
}

// Observation is a target's answer to GET /state.
type Observation struct {
	// At is when the answer arrived.
	At          time.Duration
	Incarnation string
	Model       string
	Version     string
	// Loading is the version being loaded, or empty.
	Loading string
	// Fence is the highest fencing token that the target has accepted.
	Fence int64
}

// OutgoingOrder is an order to send to a target now.
type OutgoingOrder struct {
	ID      OrderID
	Target  string
	Address string
	Model   string
	Version string
	// Fence is the fencing token of the order. Targets that check tokens refuse
	// an order with a lower token than they have accepted.
	Fence int64
}

// Record is a record to append to the control stream. Exactly one field is set.
type Record struct {
	Pool    *PoolRecord
	Issued  *Issued
	Settled *Settled
}

// Actions are the records to append and the orders to send after a Tick.
type Actions struct {
	Records []Record
	Orders  []OutgoingOrder
	// Stale is set when a higher fencing token was seen: another instance has
	// the lease, and the controller must be discarded.
	Stale bool
}

// Encode returns the record's kind and body, for logrec.Encode.
func (r Record) Encode() (logrec.Kind, any) {
	switch {
	case r.Pool != nil:
		return KindPool, r.Pool
	case r.Issued != nil:
		return KindIssued, r.Issued
	default:
		return KindSettled, r.Settled
	}
}
