package rollout

import "time"

// Controller decides for the holder of the lease during one term. It is not
// safe for concurrent use. Once it has returned Stale it decides nothing more.
type Controller struct {
	settings Settings
	state    *State
	token    int64
	// staleOrdersUntil is when no order of an earlier holder can arrive any
	// more.
	staleOrdersUntil time.Duration
	lastSeq          uint64
	stale            bool

	observations map[string]Observation
	pending      map[string]proposal
	lastSends    map[string]lastSend
	servingSince map[string]servingTarget
	firstSeen    map[string]seenPoolRecord
}

// proposal is a record that was returned to be appended and has not been read
// back.
type proposal struct {
	// content is the record's body without its id. A later decision with the
	// same content keeps the id.
	content    any
	id         OrderID
	record     Record
	proposedAt time.Duration
}

// lastSend is the newest order sent to a target.
type lastSend struct {
	version string
	id      OrderID
	sentAt  time.Duration
}

// servingTarget is a target that serves the version of its open order.
type servingTarget struct {
	id          OrderID
	firstServed time.Duration
}

// seenPoolRecord notes when this controller first saw a pool's newest record.
type seenPoolRecord struct {
	id     OrderID
	seenAt time.Duration
}

// NewController starts a term. token is the fencing token of the lease.
// previousLeaseEnd is when the former holder's lease has certainly expired by
// its own clock, or 0 if there was none. The state must include the control
// stream up to the token, and the caller goes on applying records to it.
func NewController(s Settings, state *State, token int64, previousLeaseEnd time.Duration) *Controller {
	c := &Controller{
		settings: s, state: state, token: token,
		observations: map[string]Observation{}, pending: map[string]proposal{},
		lastSends: map[string]lastSend{}, servingSince: map[string]servingTarget{}, firstSeen: map[string]seenPoolRecord{},
	}
	if previousLeaseEnd > 0 {
		c.staleOrdersUntil = previousLeaseEnd + s.MaxOrderDelay
	}
	state.Fence(token)
	return c
}

// Observe records a target's state as of the time its answer arrived.
func (c *Controller) Observe(target string, o Observation) {
	if o.Fence > c.token {
		c.stale = true
	}
	c.observations[target] = o
}

// Tick returns what to do now. validUntil is when this instance's lease ends;
// the caller checks it again right before each send. The caller appends the
// records in order, whatever the results of the appends.
func (c *Controller) Tick(now, validUntil time.Duration, goals []Goal) Actions {
	if c.stale || c.state.token > c.token {
		c.stale = true
		return Actions{Stale: true}
	}
	if now >= validUntil {
		return Actions{}
	}
	var actions Actions
	for _, g := range goals {
		d := &poolDecision{Controller: c, now: now, goal: g, actions: &actions}
		d.decide()
	}
	return actions
}

// propose adds the record of a decision to the actions, and does so again if
// the record was not read back in time. The append may have been lost or may
// still arrive late, so the record keeps its id and State applies it only once.
// A new decision under the same key gets a higher id, which makes the old one
// invalid.
func (d *poolDecision) propose(key string, content any, build func(OrderID) Record) {
	p, exists := d.pending[key]
	if exists && p.content == content {
		if d.now-p.proposedAt < d.settings.ReproposeAfter {
			return
		}
	} else {
		d.lastSeq++
		p = proposal{content: content, id: OrderID{Token: d.token, Seq: d.lastSeq}}
		p.record = build(p.id)
	}
	p.proposedAt = d.now
	d.pending[key] = p
	d.actions.Records = append(d.actions.Records, p.record)
}

// poolDecision makes the decisions about one pool in one Tick.
type poolDecision struct {
	*Controller
	now     time.Duration
	goal    Goal
	actions *Actions
}

func (d *poolDecision) decide() {
	pool, known := d.state.Pool(d.goal.Pool)
	d.dropAppliedProposals(pool)
	if !known || pool.Version != d.goal.Version || pool.Model != d.goal.Model {
		d.recordWantedVersion(pool)
		return
	}
	if d.versionFailing() && !pool.Halted && pool.LastGood != pool.Version {
		d.haltVersion(pool)
		return
	}
	for _, target := range d.goal.Targets {
		d.settleOrder(target.Name)
	}
	d.recordProgress(pool)
	if version := pool.Effective(); version != "" {
		d.orderTargets(version)
	}
}

func poolKey(pool string) string      { return "pool/" + pool }
func issueKey(target string) string   { return "issue/" + target }
func settledKey(target string) string { return "settled/" + target }

// dropAppliedProposals drops the proposals that the state includes, or that
// newer records have made obsolete.
func (d *poolDecision) dropAppliedProposals(pool PoolState) {
	if p, exists := d.pending[poolKey(d.goal.Pool)]; exists && !p.id.after(pool.ID) {
		delete(d.pending, poolKey(d.goal.Pool))
	}
	for _, target := range d.goal.Targets {
		o, _ := d.state.Order(target.Name)
		if p, exists := d.pending[issueKey(target.Name)]; exists && !p.id.after(o.ID) {
			delete(d.pending, issueKey(target.Name))
		}
		p, exists := d.pending[settledKey(target.Name)]
		if exists && (!o.Open || p.record.Settled.Order != o.ID) {
			delete(d.pending, settledKey(target.Name))
		}
	}
}
