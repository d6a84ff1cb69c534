package rollout

import (
	"sort"

	"github.com/mastictray/mastictray/internal/config"
)

// settleOrder settles the target's open order once its outcome is known.
func (d *poolDecision) settleOrder(target string) {
	o, known := d.state.Order(target)
	if !known || !o.Open || d.mayStillArrive(o) {
		return
	}
	obs, fresh := d.freshObservation(target)
	switch {
	// This applies even if the target serves the version: it may have crashed
	// on it between two observations and loaded it again by a repeated order.
	case fresh && obs.Incarnation != o.Incarnation && obs.At > o.AppliedAt:
		d.proposeSettled(o, "restarted after the order")
	case d.servesVersion(target, o.Version):
		d.settleServing(o)
	case d.elapsed(o.AppliedAt) >= d.settings.LoadTimeout:
		d.proposeSettled(o, "did not reach the version in time")
	}
}

// mayStillArrive reports whether the order may still reach the target. If the
// order were settled too early, its target would no longer count as loading,
// and a late copy of the order could start one load more than the weight store
// can serve.
func (d *poolDecision) mayStillArrive(o Order) bool {
	if o.ID.Token != d.token {
		return d.now < d.staleOrdersUntil
	}
	last, sent := d.lastSends[o.Target]
	return sent && d.elapsed(last.sentAt) < d.settings.MaxOrderDelay
}

// settleServing settles the order of a target that serves the version, after
// the soak time: a bad version often loads well and crashes on its first
// requests. A rollback to a version that was good before needs no soak time.
func (d *poolDecision) settleServing(o Order) {
	m, known := d.servingSince[o.Target]
	if !known || m.id != o.ID {
		m = servingTarget{id: o.ID, firstServed: d.now}
		d.servingSince[o.Target] = m
	}
	pool, _ := d.state.Pool(d.goal.Pool)
	if pool.Halted || d.elapsed(m.firstServed) >= d.settings.SoakTime {
		d.proposeSettled(o, "")
	}
}

func (d *poolDecision) proposeSettled(o Order, failure string) {
	body := Settled{
		Token: d.token, Order: o.ID, Pool: o.Pool, Target: o.Target, Version: o.Version,
		Failed: failure != "", Reason: failure,
	}
	d.propose(settledKey(o.Target), body, func(OrderID) Record { return Record{Settled: &body} })
}

// orderTargets orders targets to load the version. Targets that do not serve
// come first, since their loads do not count against the serving floor.
func (d *poolDecision) orderTargets(version string) {
	targets := append([]config.Target(nil), d.goal.Targets...)
	sort.SliceStable(targets, func(i, j int) bool {
		return !d.canServe(targets[i].Name) && d.canServe(targets[j].Name)
	})
	for _, target := range targets {
		// Once the record that settles it is proposed, an order is not sent
		// again: the copy would reach a target that no longer counts as
		// loading.
		if _, settling := d.pending[settledKey(target.Name)]; settling {
			continue
		}
		o, known := d.state.Order(target.Name)
		if known && o.Open && o.Version == version && o.ID.Token == d.token {
			d.sendOrder(target, o)
			continue
		}
		if d.needsOrder(target.Name, version) && d.mayOrder(target.Name) {
			d.proposeOrder(target.Name, version)
		}
	}
}

// needsOrder reports whether the target needs a new order. It does if an order
// for another version may still be recorded or carried out, even if the target
// already serves the wanted version.
func (d *poolDecision) needsOrder(target, version string) bool {
	obs, fresh := d.freshObservation(target)
	if !fresh {
		return false
	}
	o, known := d.state.Order(target)
	if known && o.Open {
		return o.Version != version || !d.servesVersion(target, version) && obs.Loading != version
	}
	// A proposed record is repeated until it is read back, even if the target
	// serves the version by now. If it were dropped, it would occupy a load
	// slot for ever and the rollout would stall.
	if _, pending := d.pending[issueKey(target)]; pending {
		return true
	}
	if known && o.Failed && o.Version == version && d.elapsed(o.AppliedAt) < d.settings.RetryAfter {
		return false
	}
	return !d.servesVersion(target, version)
}

// canServe reports whether the target can serve requests, in any version.
func (d *poolDecision) canServe(target string) bool {
	o, fresh := d.freshObservation(target)
	return fresh && o.Loading == "" && o.Version != "" && o.Model == d.goal.Model
}

// mayLoad reports whether the target is loading, or may start to at any moment
// because of an order that is in the log or may still get there.
func (d *poolDecision) mayLoad(target string) bool {
	if o, known := d.state.Order(target); known && o.Open {
		return true
	}
	if _, proposed := d.pending[issueKey(target)]; proposed {
		return true
	}
	o, fresh := d.freshObservation(target)
	return fresh && o.Loading != ""
}

// mayOrder reports whether ordering the target keeps the number of loads within
// MaxLoads and the serving floor intact. Callers use one version at a time,
// so the floor has to be met by targets of one version: counted over all
// versions, half of the pool could be idle. Ordering a target that may be
// loading already changes neither number.
func (d *poolDecision) mayOrder(target string) bool {
	if d.mayLoad(target) {
		return true
	}
	loads, largest := 0, 0
	serving := map[string]int{}
	for _, other := range d.goal.Targets {
		if d.mayLoad(other.Name) {
			loads++
		} else if other.Name != target && d.canServe(other.Name) {
			version := d.observations[other.Name].Version
			serving[version]++
			largest = max(largest, serving[version])
		}
	}
	if loads >= d.goal.MaxLoads {
		return false
	}
	return !d.canServe(target) || largest >= d.goal.ServingFloor
}

func (d *poolDecision) proposeOrder(target, version string) {
	obs := d.observations[target]
	body := Issued{
		Pool: d.goal.Pool, Target: target, Model: d.goal.Model,
		Before: obs.Version, Version: version, Incarnation: obs.Incarnation,
	}
	d.propose(issueKey(target), body, func(id OrderID) Record {
		body.ID = id
		return Record{Issued: &body}
	})
}

// sendOrder sends the order, again until the target's state shows that it
// arrived.
func (d *poolDecision) sendOrder(target config.Target, o Order) {
	obs, fresh := d.freshObservation(target.Name)
	if !fresh || d.servesVersion(target.Name, o.Version) || obs.Loading == o.Version {
		return
	}
	// The target restarted after the order, which will be settled as failed. If
	// the order were sent again, a bad version would be loaded and crash the
	// target once more.
	if obs.Incarnation != o.Incarnation {
		return
	}
	// A target that does not check tokens would carry out an earlier holder's
	// order that arrives after this one, and load twice.
	if !target.ChecksFencing && d.now < d.staleOrdersUntil {
		return
	}
	last, sent := d.lastSends[target.Name]
	if sent && last.id == o.ID && d.elapsed(last.sentAt) < d.settings.ResendInterval {
		return
	}
	// An earlier order of this holder may still be in flight, with the same
	// token.
	if sent && last.version != o.Version && d.elapsed(last.sentAt) < d.settings.MaxOrderDelay {
		return
	}
	d.lastSends[target.Name] = lastSend{version: o.Version, id: o.ID, sentAt: d.now}
	d.actions.Orders = append(d.actions.Orders, OutgoingOrder{
		ID: o.ID, Target: target.Name, Address: target.Address, Model: o.Model, Version: o.Version, Fence: d.token,
	})
}
