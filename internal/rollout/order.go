package rollout

import (
	"sort"

	"github.com/mastictray/mastictray/internal/config"
)

// settle decides what became of the target's open order, if it can be told.
func (t *tick) settle(target string) {
	o, known := t.ledger.Order(target)
	if !known || !o.Open || t.underWay(o) {
		return
	}
	seen, fresh := t.fresh(target)
	switch {
	// Also when it serves the version: it may have crashed on it between
	// two observations, and have loaded it again by a repeated order.
	case fresh && seen.Incarnation != o.Incarnation && seen.At > o.AppliedAt:
		t.proposeSettled(o, "restarted after the order")
	case t.serves(target, o.Version):
		t.settleServing(o)
	case t.since(o.AppliedAt) >= t.settings.LoadTimeout:
		t.proposeSettled(o, "did not reach the version in time")
	}
}

// underWay says that the order may still arrive. Settled too early, its
// target would count as one that cannot load, and a late copy of the order
// would be one load more than the weight store bears.
func (t *tick) underWay(o Order) bool {
	if o.ID.Token != t.token {
		return t.now < t.quietUntil
	}
	last, sent := t.sent[o.Target]
	return sent && t.since(last.at) < t.settings.MaxOrderDelay
}

// settleServing waits until the target has served for the soak time: a bad
// version often loads well and crashes on its first requests. The way back to
// a version that was good needs no such wait.
func (t *tick) settleServing(o Order) {
	m, known := t.matched[o.Target]
	if !known || m.id != o.ID {
		m = match{id: o.ID, since: t.now}
		t.matched[o.Target] = m
	}
	state, _ := t.ledger.Pool(t.goal.Pool)
	if state.Halted || t.since(m.since) >= t.settings.SoakTime {
		t.proposeSettled(o, "")
	}
}

func (t *tick) proposeSettled(o Order, failure string) {
	body := Settled{
		Token: t.token, Order: o.ID, Pool: o.Pool, Target: o.Target, Version: o.Version,
		Failed: failure != "", Reason: failure,
	}
	t.propose(settledKey(o.Target), body, func(OrderID) Record { return Record{Settled: &body} })
}

// order brings targets to the version, those that do not serve first: they
// cost nothing of the floor.
func (t *tick) order(version string) {
	targets := append([]config.Target(nil), t.goal.Targets...)
	sort.SliceStable(targets, func(i, j int) bool {
		return !t.serving(targets[i].Name) && t.serving(targets[j].Name)
	})
	for _, target := range targets {
		// Once its settling is proposed, an order is never sent again: the
		// copy would arrive at a target that no longer counts as loading.
		if _, settling := t.proposed[settledKey(target.Name)]; settling {
			continue
		}
		o, known := t.ledger.Order(target.Name)
		if known && o.Open && o.Version == version && o.ID.Token == t.token {
			t.send(target, o)
			continue
		}
		if t.needs(target.Name, version) && t.mayOrder(target.Name) {
			t.issue(target.Name, version)
		}
	}
}

// needs says that the target is to be ordered. An order for another version
// that may still be folded or carried out needs one too, also on a target
// that serves the version already.
func (t *tick) needs(target, version string) bool {
	seen, fresh := t.fresh(target)
	if !fresh {
		return false
	}
	o, known := t.ledger.Order(target)
	if known && o.Open {
		return o.Version != version || !t.serves(target, version) && seen.Loading != version
	}
	// A record that is still out is written until it is folded, also when
	// the target serves the version by now: dropped, it would hold a place
	// among those that may load for ever, and the rollout would stand still.
	if _, out := t.proposed[issueKey(target)]; out {
		return true
	}
	if known && o.Failed && o.Version == version && t.since(o.AppliedAt) < t.settings.RetryAfter {
		return false
	}
	return !t.serves(target, version)
}

// serving says that requests can run on the target, in whatever version.
func (t *tick) serving(target string) bool {
	o, fresh := t.fresh(target)
	return fresh && o.Loading == "" && o.Version != "" && o.Model == t.goal.Model
}

// mayLoad says that the target loads, or may start to at any moment by an
// order that is known or may become known from the log.
func (t *tick) mayLoad(target string) bool {
	if o, known := t.ledger.Order(target); known && o.Open {
		return true
	}
	if _, proposed := t.proposed[issueKey(target)]; proposed {
		return true
	}
	o, fresh := t.fresh(target)
	return fresh && o.Loading != ""
}

// mayOrder keeps the number of loads within what the weight store bears, and
// the serving floor. Requests count on one version at a time, so the floor has
// to be kept by targets of one version: the sum over versions would let half
// of the pool stand idle. A target that may load already changes neither.
func (t *tick) mayOrder(target string) bool {
	if t.mayLoad(target) {
		return true
	}
	loads, most := 0, 0
	serving := map[string]int{}
	for _, other := range t.goal.Targets {
		if t.mayLoad(other.Name) {
			loads++
		} else if other.Name != target && t.serving(other.Name) {
			version := t.seen[other.Name].Version
			serving[version]++
			most = max(most, serving[version])
		}
	}
	if loads >= t.goal.MaxLoads {
		return false
	}
	return !t.serving(target) || most >= t.goal.ServingFloor
}

func (t *tick) issue(target, version string) {
	seen := t.seen[target]
	body := Issued{
		Pool: t.goal.Pool, Target: target, Model: t.goal.Model,
		Before: seen.Version, Version: version, Incarnation: seen.Incarnation,
	}
	t.propose(issueKey(target), body, func(id OrderID) Record {
		body.ID = id
		return Record{Issued: &body}
	})
}

// send repeats the order until the target's state shows that it arrived.
func (t *tick) send(target config.Target, o Order) {
	seen, fresh := t.fresh(target.Name)
	if !fresh || t.serves(target.Name, o.Version) || seen.Loading == o.Version {
		return
	}
	// It restarted after the order, which will be settled as failed. Sent
	// again, a bad version would be loaded once more, and crash it once more.
	if seen.Incarnation != o.Incarnation {
		return
	}
	// A target that does not check tokens would carry out an older holder's
	// order that arrives after ours, and load twice.
	if !target.ChecksFencing && t.now < t.quietUntil {
		return
	}
	last, sent := t.sent[target.Name]
	if sent && last.id == o.ID && t.since(last.at) < t.settings.ResendInterval {
		return
	}
	// Our own earlier order may be under way too, and the token is the same.
	if sent && last.version != o.Version && t.since(last.at) < t.settings.MaxOrderDelay {
		return
	}
	t.sent[target.Name] = sending{version: o.Version, id: o.ID, at: t.now}
	t.ready.Orders = append(t.ready.Orders, OutgoingOrder{
		ID: o.ID, Target: target.Name, Address: target.Address, Model: o.Model, Version: o.Version, Fence: t.token,
	})
}
