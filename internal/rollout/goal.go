package rollout

import (
	"sort"
	"time"

	"github.com/mastictray/mastictray/internal/config"
	"github.com/mastictray/mastictray/internal/logrec"
)

// Goal is what operators want of one engine pool.
type Goal struct {
	Pool    string
	Model   string
	Version string
	// ServingFloor is the least number of targets that keep serving one
	// and the same version.
	ServingFloor int
	// MaxLoads is the most targets that may load at once.
	MaxLoads int
	// Targets are in name order.
	Targets []config.Target
}

// Goals gives the goals of a configuration, in pool order.
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
	At          time.Duration
	Incarnation string
	Model       string
	Version     string
	// Loading is the version being loaded, or empty.
	Loading string
	// Fence is the highest token the target has accepted.
	Fence int64
}

// OutgoingOrder is an order to be sent to a target now.
type OutgoingOrder struct {
	ID      OrderID
	Target  string
	Address string
	Model   string
	Version string
	// Fence goes into the order; targets that check refuse lower ones.
	Fence int64
}

// Record is a record to be appended to the control stream.
type Record struct {
	Pool    *PoolRecord
	Issued  *Issued
	Settled *Settled
}

// Actions is what one tick asks for.
type Actions struct {
	Records []Record
	Orders   []OutgoingOrder
	// Stale is set when a target has accepted a newer token: the lease went
	// to another instance, and this controller must be thrown away.
	Stale bool
}

// Encode gives the record's kind and body, for logrec.Encode.
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
