package rollout

import "time"

// Controller decides for the holder of the lease, for one term of it. It is
// not safe for concurrent use. Once in Stale it decides nothing more.
type Controller struct {
	settings Settings
	ledger   *State
	token    int64
	// quietUntil is when no order of an older holder can still arrive.
	quietUntil time.Duration
	n          uint64
	stale      bool

	seen     map[string]Observation
	proposed map[string]proposal
	sent     map[string]sending
	matched  map[string]match
	restated map[string]statement
}

// proposal is a record that was handed out and not folded yet.
type proposal struct {
	// content is the record's body without its id; what is decided again
	// with the same content keeps the id.
	content any
	id      OrderID
	record  Record
	at      time.Duration
}

// sending is the newest send to a target.
type sending struct {
	version string
	id      OrderID
	at      time.Duration
}

// match is a target that serves what its open order asked for.
type match struct {
	id    OrderID
	since time.Duration
}

// statement is when this controller first saw a pool's newest record.
type statement struct {
	id OrderID
	at time.Duration
}

// NewController starts a term. token is the fencing token of the lease.
// oldEnds is when the former holder's lease has surely lapsed on its own
// clock, 0 when there was none. The ledger goes on being fed by the caller
// and has to hold the control stream up to the token.
func NewController(s Settings, l *State, token int64, oldEnds time.Duration) *Controller {
	c := &Controller{
		settings: s, ledger: l, token: token,
		seen: map[string]Observation{}, proposed: map[string]proposal{},
		sent: map[string]sending{}, matched: map[string]match{}, restated: map[string]statement{},
	}
	if oldEnds > 0 {
		c.quietUntil = oldEnds + s.MaxOrderDelay
	}
	l.Fence(token)
	return c
}

// Observe takes a target's state, as of the time its answer arrived.
func (c *Controller) Observe(target string, o Observation) {
	if o.Fence > c.token {
		c.stale = true
	}
	c.seen[target] = o
}

// Tick decides. validUntil is when this instance's own right to the lease
// ends; the caller checks it again right before each send. The records are
// to be appended, in order, whatever becomes of the answers.
func (c *Controller) Tick(now, validUntil time.Duration, goals []Goal) Actions {
	if c.stale || c.ledger.token > c.token {
		c.stale = true
		return Actions{Stale: true}
	}
	if now >= validUntil {
		return Actions{}
	}
	var r Actions
	for _, g := range goals {
		t := &tick{Controller: c, now: now, goal: g, ready: &r}
		t.run()
	}
	return r
}

// propose hands out the record of a decision, and again when it was not
// folded in time. Its append may have been lost or may still arrive late; it
// keeps its id, by which the ledger takes it once. A new decision under the
// same key gets a higher id and makes the old one void.
func (t *tick) propose(key string, content any, build func(OrderID) Record) {
	p, there := t.proposed[key]
	if there && p.content == content {
		if t.now-p.at < t.settings.ReproposeAfter {
			return
		}
	} else {
		t.n++
		p = proposal{content: content, id: OrderID{Token: t.token, Seq: t.n}}
		p.record = build(p.id)
	}
	p.at = t.now
	t.proposed[key] = p
	t.ready.Records = append(t.ready.Records, p.record)
}

// tick is one decision about one pool.
type tick struct {
	*Controller
	now   time.Duration
	goal  Goal
	ready *Actions
}

func (t *tick) run() {
	state, known := t.ledger.Pool(t.goal.Pool)
	t.forgetFolded(state)
	if !known || state.Version != t.goal.Version || state.Model != t.goal.Model {
		t.start(state)
		return
	}
	if t.failing() && !state.Halted && state.LastGood != state.Version {
		t.halt(state)
		return
	}
	for _, target := range t.goal.Targets {
		t.settle(target.Name)
	}
	t.conclude(state)
	if version := state.Effective(); version != "" {
		t.order(version)
	}
}

func poolKey(pool string) string      { return "pool/" + pool }
func issueKey(target string) string   { return "issue/" + target }
func settledKey(target string) string { return "settled/" + target }

// forgetFolded drops the proposals that the ledger has, or that it has gone
// past.
func (t *tick) forgetFolded(state PoolState) {
	if p, there := t.proposed[poolKey(t.goal.Pool)]; there && !p.id.after(state.ID) {
		delete(t.proposed, poolKey(t.goal.Pool))
	}
	for _, target := range t.goal.Targets {
		o, _ := t.ledger.Order(target.Name)
		if p, there := t.proposed[issueKey(target.Name)]; there && !p.id.after(o.ID) {
			delete(t.proposed, issueKey(target.Name))
		}
		p, there := t.proposed[settledKey(target.Name)]
		if there && (!o.Open || p.record.Settled.Order != o.ID) {
			delete(t.proposed, settledKey(target.Name))
		}
	}
}
