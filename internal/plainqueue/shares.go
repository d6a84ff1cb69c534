// Package plainqueue distributes the requests of a fleet over the targets of a service that has
// fewer slots than the fleet has instances, and has requests wait if there are too many.
//
// The load that it answers: arrivals of more than twice the usual, and a failure domain with a
// single target. An instance has mostly none or one request in flight then, so that its own
// counts don't tell which targets are full, and what it knows of its peers is older than
// requests take. Instances therefore don't follow the load of single targets: each computes
// shares of the targets from the demand of the failure domains, which doesn't depend on where
// requests are sent.
//
// Counts of peers may be up to MaxAge old. Without them an instance goes by its own.
//
// The package does no I/O and reads no clock.
package plainqueue

import (
	"slices"
	"time"
)

const (
	// domainUtilisation is the utilisation up to which requests stay in their domain. Above
	// it, requests at a target with a few slots begin to wait for each other.
	domainUtilisation = 0.7
	// minSpeed and maxSpeed bound a target's speed relative to the median of the service.
	minSpeed, maxSpeed = 0.25, 4
	// objectiveShare is the part of a latency objective that requests may spend at a target.
	objectiveShare = 0.5
	// waitShare is the part that they may wait before they are sent. With more, answers of full
	// targets are late.
	waitShare = 0.25
)

// Target is a target of the service.
type Target struct {
	Domain string
	Slots  int
	// ServiceTime is the time that a request takes; 0 if unknown.
	ServiceTime time.Duration
	Usable      bool
	// NoRoom is set if the target isn't drawn, since it has no room for this instance. It still
	// counts towards the capacity.
	NoRoom bool
	// InFlight is the number of requests that this instance has in flight there, Load that
	// of the whole fleet.
	InFlight int
	Load     float64
}

// Plan is how the requests of one domain are distributed.
type Plan struct {
	// Shares are the targets' shares of the requests, in the order of the targets; 0 for
	// those that are not usable.
	Shares []float64
	// Demand is the number of requests that are served at a time if there is room for all, 0 if
	// unknown; Capacity is the number that the usable targets serve at a time.
	Demand, Capacity float64
	// ServiceTime is the median over the targets; 0 if unknown.
	ServiceTime time.Duration

	targets []Target
	// reliable is set if the service time is known of half of the targets: those known first
	// may be the slow ones.
	reliable bool
}

// domainLoad is what a domain asks for and has.
type domainLoad struct {
	name                       string
	demand, capacity, servedBy float64
}

// NewPlan returns the plan for the requests of a domain. arrivals is the number of requests per
// second, by domain.
func NewPlan(targets []Target, domain string, arrivals map[string]float64) Plan {
	p := Plan{Shares: make([]float64, len(targets)), targets: targets}
	p.ServiceTime, p.reliable = medianServiceTime(targets)
	capacities := make([]float64, len(targets))
	var loads []domainLoad
	find := func(name string) *domainLoad {
		for i := range loads {
			if loads[i].name == name {
				return &loads[i]
			}
		}
		loads = append(loads, domainLoad{name: name, demand: arrivals[name] * p.ServiceTime.Seconds()})
		return &loads[len(loads)-1]
	}
	for i, t := range targets {
		if t.Usable {
			capacities[i] = float64(t.Slots) * t.speed(p.ServiceTime)
			p.Capacity += capacities[i]
			find(t.Domain).capacity += capacities[i]
		}
	}
	for _, rate := range arrivals {
		p.Demand += rate * p.ServiceTime.Seconds()
	}
	if p.Capacity == 0 {
		return p
	}
	utilisation := max(domainUtilisation, p.Demand/p.Capacity)
	find(domain)
	for i := range loads {
		loads[i].servedBy = min(loads[i].demand, utilisation*loads[i].capacity)
	}
	own := *find(domain)
	if own.demand == 0 {
		own.servedBy = min(1, own.capacity) // without a known demand, all stays in the domain
	}
	freeElsewhere := 0.0
	for i, t := range targets {
		if l := find(t.Domain); capacities[i] > 0 && t.Domain != domain {
			p.Shares[i] = capacities[i] * (utilisation - l.servedBy/l.capacity)
			freeElsewhere += p.Shares[i]
		}
	}
	total := max(own.demand, own.servedBy)
	for i, t := range targets {
		switch {
		case capacities[i] == 0:
		case t.Domain == domain && total > 0:
			p.Shares[i] = own.servedBy / total * capacities[i] / own.capacity
		case t.Domain != domain && total == 0:
			p.Shares[i] = capacities[i] / p.Capacity // no target in the domain and no known demand
		case t.Domain != domain && freeElsewhere > 0:
			p.Shares[i] *= (total - own.servedBy) / total / freeElsewhere
		}
	}
	return p
}

// speed returns the target's speed relative to the median service time.
func (t *Target) speed(median time.Duration) float64 {
	if t.ServiceTime == 0 || median == 0 {
		return 1
	}
	return min(max(float64(median)/float64(t.ServiceTime), minSpeed), maxSpeed)
}

// medianServiceTime returns the median over the usable targets of which it is known, 0 if it is
// known of none, and whether it is known of half of them.
func medianServiceTime(targets []Target) (median time.Duration, reliable bool) {
	var times []time.Duration
	usable := 0
	for _, t := range targets {
		if t.Usable {
			usable++
			if t.ServiceTime > 0 {
				times = append(times, t.ServiceTime)
			}
		}
	}
	if len(times) == 0 {
		return 0, false
	}
	slices.Sort(times)
	return times[(len(times)-1)/2], 2*len(times) >= usable
}

// Patience returns how many requests there may be for each that is served at a time, so that
// answers come within objectiveShare of the objective. An objective of 0 is none.
func Patience(objective, serviceTime time.Duration) float64 {
	if objective == 0 || serviceTime == 0 {
		return defaultPatience
	}
	return max(1, objectiveShare*float64(objective)/float64(serviceTime))
}

// defaultPatience is the patience without an objective: one request waits for each that is served.
const defaultPatience = 2

// Draw draws a target by the shares from those at which this instance has the fewest requests in
// flight: only these are known without delay, so that they answer a sudden change. Targets that
// hold more than they serve in time, and more than the others, get less, and none from twice as
// many on. It is gradual since all instances know of it at the same time, and late. random returns
// numbers from 0 to 1.
func (p *Plan) Draw(objective time.Duration, random func() float64) (index int, ok bool) {
	patience := Patience(objective, p.ServiceTime)
	load, slots := 0.0, 0
	for _, t := range p.targets {
		if t.Usable {
			load, slots = load+t.Load, slots+t.Slots
		}
	}
	for _, passFull := range []bool{true, false} {
		total, chosen := 0.0, -1
		for i, t := range p.targets {
			if !t.Usable || t.NoRoom || t.Slots == 0 {
				continue
			}
			limit := max(patience, (load-t.Load)/float64(max(1, slots-t.Slots)))
			room := min(1, 2-t.Load/(limit*float64(t.Slots)))
			if passFull && room <= 0 {
				continue
			}
			if chosen >= 0 && t.InFlight != p.targets[chosen].InFlight {
				if t.InFlight > p.targets[chosen].InFlight {
					continue
				}
				total = 0
			}
			weight := max(p.Shares[i]*room, minDrawWeight)
			if total += weight; random()*total < weight {
				chosen = i
			}
		}
		if chosen >= 0 {
			return chosen, true
		}
	}
	return 0, false
}

// minDrawWeight is the weight of a target without a share.
const minDrawWeight = 1e-6

// MaxWait returns how long a request may wait before it is sent.
func MaxWait(objective time.Duration) time.Duration {
	if objective == 0 {
		return defaultMaxWait
	}
	return time.Duration(waitShare * float64(objective))
}

// defaultMaxWait is the longest wait without an objective.
const defaultMaxWait = 500 * time.Millisecond

// TimeAtTarget returns how long a request is at a target while there is a bound on the rate.
func (p *Plan) TimeAtTarget(objective time.Duration) time.Duration {
	return time.Duration(Patience(objective, p.ServiceTime) * float64(p.ServiceTime))
}
