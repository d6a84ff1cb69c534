package admission

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MaxNamedRows is the maximum number of rows of a report that name an account,
	// minNamedRows that of a very large fleet.
	MaxNamedRows = 12
	minNamedRows = 2
	// maxFleetRows bounds the rows of all reports that name an account: each instance gets
	// the reports of all others.
	maxFleetRows = 1200
	// namedUtilization is the ratio of demand to room from which reports name accounts.
	// Below, shares are not about to be needed.
	namedUtilization = 0.6
)

// Report returns this instance's demand for the next exchange: the largest accounts by
// name if room is about to be scarce, and all others as one account for each urgency.
func (c *Controller) Report(now time.Duration) []Demand {
	c.rows = nil
	var rest [MaxUrgency + 1]Demand
	named := c.state.Room > 0 && c.state.Asked >= namedUtilization*c.state.Room
	var rows []Demand
	for class, d := range c.own {
		d.advance(now)
		if d.idle() {
			delete(c.own, class)
			continue
		}
		perSecond, _ := d.perSecond()
		if named && class.Account != "" {
			rows = append(rows, Demand{Class: class, PerSecond: perSecond, Waiting: d.waiting})
			continue
		}
		rest[class.Urgency].add(perSecond, d.waiting)
	}
	slices.SortFunc(rows, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(c.fleetDemand(&b), c.fleetDemand(&a)), cmp.Compare(a.Account, b.Account), cmp.Compare(a.Urgency, b.Urgency))
	})
	for len(rows) > c.maxNamedRows() {
		last := rows[len(rows)-1]
		rest[last.Urgency].add(last.PerSecond, last.Waiting)
		rows = rows[:len(rows)-1]
	}
	for u, d := range rest {
		if d.PerSecond != (Work{}) || d.Waiting != (Work{}) {
			d.Urgency = u
			rows = append(rows, d)
		}
	}
	c.rows = rows
	return rows
}

// fleetDemand returns the demand of a class in the fleet: what reports name, or an estimate
// from the demand here. Instances that name the same accounts know their sums exactly.
func (c *Controller) fleetDemand(d *Demand) float64 {
	resource := c.state.Resource
	return max(resource.of(c.demand[d.Class]), float64(c.state.Reporting)*resource.of(d.PerSecond))
}

func (c *Controller) maxNamedRows() int {
	return max(minNamedRows, min(MaxNamedRows, maxFleetRows/max(1, c.state.Fleet)))
}

func (d *Demand) add(perSecond, waiting Work) {
	d.PerSecond, d.Waiting = d.PerSecond.Add(perSecond), d.Waiting.Add(waiting)
}
