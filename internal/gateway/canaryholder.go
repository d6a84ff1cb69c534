package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/canary"
	"github.com/mastictray/mastictray/internal/logline"
)

// rolloutHolder is what the holder of the order lease keeps for a rollout.
type rolloutHolder struct {
	// token is the lease under which the rest is valid.
	token      int64
	controller *canary.Controller
	// recordRead is set once the stored record is known; nextOffset is where the next one is
	// written.
	recordRead bool
	nextOffset int64
	recorded   bool
	// runningReported is set once operators have been told that the rollout runs.
	runningReported bool
	// decision is the final phase to be recorded; Running while there is none.
	decision canary.Phase
	// busy is set while a call to the store runs; the next one is not made before retryAt.
	busy    bool
	retryAt time.Duration
}

// rolloutRetryDelay is the delay after a failed call to the store.
const rolloutRetryDelay = 300 * time.Millisecond

// pendingSince returns since when a rollout needs the holder of the order lease.
func (c *canaries) pendingSince() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	earliest, pending := time.Duration(0), false
	for _, r := range c.services {
		if r.phase.Final() && r.reported {
			continue
		}
		if !pending || r.orderedAt < earliest {
			earliest, pending = r.orderedAt, true
		}
	}
	return earliest, pending
}

// stepCanaries makes one step of the pending rollouts under the lease with the given token.
func (g *Gateway) stepCanaries(ctx context.Context, token int64) {
	for _, work := range g.canaries.holderWork(token, g.canaryInput) {
		go work.run(ctx, g)
	}
}

// canaryInput returns what the controller of a rollout needs to know.
func (g *Gateway) canaryInput(o canary.Order) canary.Input {
	in := canary.Input{}
	g.mu.Lock()
	targets := g.directory.Usable(o.Service)
	g.mu.Unlock()
	for _, t := range targets {
		if t.SoftwareVersion == o.Version {
			in.Canary++
		} else {
			in.Stable++
		}
	}
	in.StableDrained = g.peers.stableDrained(o)
	return in
}

// storeWork is one call to the store for a rollout.
type storeWork struct {
	r     *serviceRollout
	order canary.Order
	kind  storeWorkKind
	at    int64
	// record is what to write, phase what to report.
	record canary.Record
	phase  canary.Phase
}

type storeWorkKind int

const (
	readRecord storeWorkKind = iota
	writeRecord
	reportPhase
)

// holderWork runs the controllers of the pending rollouts and returns the calls to make. input is
// called without c.mu.
func (c *canaries) holderWork(token int64, input func(canary.Order) canary.Input) []storeWork {
	c.mu.Lock()
	var pending []*serviceRollout
	for _, r := range c.services {
		if !r.phase.Final() || !r.reported {
			pending = append(pending, r)
		}
	}
	c.mu.Unlock()
	var out []storeWork
	for _, r := range pending {
		in := input(r.order)
		c.mu.Lock()
		if work, ok := c.holderStep(r, token, in); ok {
			r.holder.busy = true
			out = append(out, work)
		}
		c.mu.Unlock()
	}
	return out
}

// holderStep makes one step of a rollout and returns the call to make, if any. A decision takes
// effect once its record is written. The caller holds c.mu.
func (c *canaries) holderStep(r *serviceRollout, token int64, in canary.Input) (storeWork, bool) {
	h, now := &r.holder, c.now()
	if h.token != token {
		*h = rolloutHolder{token: token, busy: h.busy}
	}
	work := storeWork{r: r, order: r.order}
	idle := !h.busy && now >= h.retryAt
	if !h.recordRead {
		work.kind = readRecord
		return work, idle
	}
	if r.phase.Final() {
		work.kind, work.phase = reportPhase, r.phase
		return work, idle && !r.reported
	}
	if h.controller == nil {
		h.controller = canary.NewController(c.settings, r.order, r.orderedAt)
	}
	in.Evidence, in.Suspected = r.evidence, r.suspected
	permit := h.controller.Step(now, in)
	if permit.Phase.Final() && !h.decision.Final() {
		h.decision = permit.Phase
		logline.Info("rollout_decision", "service", r.order.Service, "version", r.order.Version, "phase", permit.Phase.String(), "reason", h.controller.Reason(),
			"after", now-r.orderedAt, "targets", in.Stable, "new_targets", in.Canary)
	}
	switch {
	case h.decision == canary.Complete:
		c.grant(r, now, canary.Permit{Phase: canary.Switching, Share: 1, Canaries: in.Canary})
	case h.decision == canary.RolledBack:
		c.grant(r, now, canary.Permit{Phase: canary.Running})
	case h.recorded:
		c.grant(r, now, permit)
	}
	if !h.recorded || h.decision.Final() {
		work.kind, work.at = writeRecord, h.nextOffset
		work.record = canary.Record{Order: r.order, Phase: h.decision, OrderedAt: time.Now().Add(r.orderedAt - now)}
		return work, idle
	}
	work.kind, work.phase = reportPhase, canary.Running
	return work, idle && !h.runningReported
}

// run makes the call and applies its result.
func (w storeWork) run(ctx context.Context, g *Gateway) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	c := g.canaries
	var err error
	switch w.kind {
	case readRecord:
		err = w.read(ctx, g.store, c)
	case writeRecord:
		err = w.write(ctx, g.store, c)
	case reportPhase:
		if err = g.store.ReportRollout(ctx, w.order, w.phase); err == nil {
			c.recordReport(w.r, w.phase)
			logline.Info("rollout_reported", "service", w.order.Service, "version", w.order.Version, "phase", w.phase.String())
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	w.r.holder.busy = false
	if err != nil {
		w.r.holder.retryAt = c.now() + rolloutRetryDelay
		logline.Error(err, "rollout_store_failed", "service", w.order.Service, "version", w.order.Version)
	}
}

func (w storeWork) read(ctx context.Context, store RolloutStore, c *canaries) error {
	records, next, err := store.ReadRollouts(ctx)
	if err != nil {
		return errors.Wrap(err, "read rollouts")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	h := &w.r.holder
	h.recordRead, h.nextOffset = true, next
	for _, record := range records {
		if record.Order.Service != w.order.Service || record.Order.Revision != w.order.Revision {
			continue
		}
		h.recorded = true
		// The order is at least as old as its record says.
		w.r.orderedAt = min(w.r.orderedAt, c.now()-time.Since(record.OrderedAt))
		c.decide(w.r, record.Phase, "store")
	}
	return nil
}

func (w storeWork) write(ctx context.Context, store RolloutStore, c *canaries) error {
	written, err := store.WriteRollout(ctx, w.at, w.record)
	c.mu.Lock()
	defer c.mu.Unlock()
	h := &w.r.holder
	if err != nil || !written {
		h.recordRead = false // somebody else, or this write, may have written it
		return errors.Wrap(err, "write rollout")
	}
	h.recorded, h.nextOffset = true, w.at+1
	c.decide(w.r, w.record.Phase, "own")
	return nil
}

// recordReport records that operators have been told a phase.
func (c *canaries) recordReport(r *serviceRollout, p canary.Phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.Final() {
		r.reported = true
	} else {
		r.holder.runningReported = true
	}
}

// stableDrained reports whether every known instance follows the switch of an order and has no
// attempt running at a target of the old version.
func (p *peers) stableDrained(o canary.Order) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.g.clock.Now()
	for _, s := range p.known {
		if !p.isFresh(now, s) {
			return false // it may still send to the old version
		}
		drained := false
		for _, row := range s.state.Rollouts {
			if row.Service == o.Service && row.Revision == o.Revision {
				drained = canary.Phase(row.Permitted) == canary.Switching && row.StableRunning == 0
			}
		}
		if !drained {
			return false
		}
	}
	return p.g.canaries.ownDrained(o)
}

// ownDrained is the part of stableDrained for this instance.
func (c *canaries) ownDrained(o canary.Order) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.find(o.Service, o.Revision)
	return r != nil && c.currentPermit(r).Phase == canary.Switching && c.stableRunning[o.Service] == 0
}
