package claim

import (
	"github.com/mastictray/mastictray/internal/platform"
)

// decide answers the request from the state of its key, lets it wait for another
// request with the key, or submits a claim.
func (m *Machine) decide(r *request) {
	if h := m.holder(r.key); h != nil {
		m.decideHeldKey(r, h)
		return
	}
	if first := m.claimingRequest(r.key); first != nil && first != r {
		if first.RequestHash != r.RequestHash {
			m.answer(r, Answer{State: BodyMismatch})
			return
		}
		r.phase = phaseWaiting
		return
	}
	m.submitClaim(r)
}

// holder returns the holder of the key: a local run that is not in the log yet, or
// else the holder in the table.
func (m *Machine) holder(key KeyHash) *Holder {
	if h := m.localRuns[key]; h != nil {
		return h
	}
	return m.table.holders[key]
}

func (m *Machine) holderAddress(key KeyHash) string {
	if h := m.holder(key); h != nil {
		return h.Address
	}
	return ""
}

// claimingRequest returns the request of this instance that claims or holds the key.
func (m *Machine) claimingRequest(key KeyHash) *request {
	for _, r := range m.byKey[key] {
		if r.phase == phaseClaiming || r.phase == phaseWon || r.phase == phaseDispatched {
			return r
		}
	}
	return nil
}

// decideHeldKey answers a request whose key is held, or lets it wait for the
// holder's result.
func (m *Machine) decideHeldKey(r *request, h *Holder) {
	switch {
	case h.RequestHash != r.RequestHash:
		m.answer(r, Answer{State: BodyMismatch})
	case h.Result != nil && h.Result.Unknown:
		m.answer(r, Answer{State: MayHaveRun, HolderAddress: h.Address})
	case h.Result != nil:
		m.answer(r, Answer{State: Replay, Result: h.Result})
	case m.holderEnded(h):
		m.answer(r, Answer{State: MayHaveRun, HolderAddress: h.Address})
	default:
		r.phase = phaseWaiting
	}
}

// holderEnded reports whether the holder's process has ended: ProcessEnded was called
// for it, or it had the address of this process, which only one process has at a time.
// Without the second rule, retries at a restarted instance would wait for a result
// that its predecessor can no longer produce.
func (m *Machine) holderEnded(h *Holder) bool {
	predecessor := h.Address != "" && h.Address == m.cfg.Address && h.Incarnation != m.cfg.Incarnation
	return predecessor || m.endedProcesses[h.Incarnation]
}

// submitClaim enqueues a claim for the request's key, unless the request can't run in
// any case.
func (m *Machine) submitClaim(r *request) {
	if !m.covers(r) {
		m.answer(r, Answer{State: TooOld})
		return
	}
	if m.now >= r.Deadline {
		m.answer(r, Answer{State: Unavailable})
		return
	}
	if m.batcher.logDown(m.now) || m.batcher.queueFull() {
		m.claimFailed(r)
		return
	}
	r.nextAttempt()
	r.phase = phaseClaiming
	r.claimDeadline = min(r.Deadline, m.now+m.cfg.ClaimTimeout)
	c := Claim{
		Key: r.key, RequestHash: r.RequestHash, Attempt: r.attempt,
		Incarnation: m.cfg.Incarnation, Address: m.cfg.Address,
		Head: m.table.next, HeadMillis: m.wallMillis,
	}
	if !m.enqueueRecord(KindClaim, &c, r) {
		m.answer(r, Answer{State: Unavailable})
		return
	}
	m.byAttempt[r.attempt] = r
}

// covers reports whether the table has every record about the request's key.
func (m *Machine) covers(r *request) bool {
	firstUse := earliestUse(r.Key, m.wallMillis, m.cfg.RepeatHorizon, m.cfg.MaxClockSkew)
	return m.table.covers(firstUse, m.wallMillis)
}

// runUnclaimed runs a request without a claim while the log is down, for a route that
// prefers running a request twice to refusing it. Retries at this instance still find
// the run.
func (m *Machine) runUnclaimed(r *request) {
	if r.attempt == "" {
		r.nextAttempt()
	}
	r.phase, r.unclaimed = phaseWon, true
	m.localRuns[r.key] = &Holder{
		Key: r.key, RequestHash: r.RequestHash, Attempt: r.attempt,
		Incarnation: m.cfg.Incarnation, Address: m.cfg.Address,
	}
	m.answer(r, Answer{State: Run, Unclaimed: true})
}

// release gives up the request's claim for good. The request is never sent after
// this, so answering not_run is correct even if the claim reaches the log later.
func (m *Machine) release(r *request) {
	switch {
	case r.unclaimed:
		delete(m.localRuns, r.key)
		m.releaseUnclaimed(r)
	case r.phase == phaseClaiming:
		m.addOrphan(r)
	case r.phase == phaseWon || r.phase == phaseDispatched:
		m.appendAbandon(r.key, r.attempt)
	}
	r.phase = phaseDone
}

// releaseUnclaimed releases the key of a run without a claim that was not sent. A
// claim that the request submitted earlier may hold the key already, or may take it
// later.
func (m *Machine) releaseUnclaimed(r *request) {
	if h := m.table.holders[r.key]; h != nil && h.Attempt == r.attempt {
		m.appendAbandon(r.key, r.attempt)
		return
	}
	m.addOrphan(r)
}

// addOrphan records a released claim that may still reach the log, so that it can be
// abandoned there. Otherwise a request that never runs would hold the key for the
// whole window.
func (m *Machine) addOrphan(r *request) {
	if r.attempt == "" {
		return
	}
	m.orphans[r.attempt] = r.key
	m.orphanOrder = append(m.orphanOrder, r.attempt)
	if len(m.orphanOrder) > maxOrphans {
		delete(m.orphans, m.orphanOrder[0])
		m.orphanOrder = m.orphanOrder[1:]
	}
}

func (m *Machine) appendAbandon(key KeyHash, attempt string) {
	m.enqueueRecord(KindAbandon, &Abandon{Key: key, Attempt: attempt}, nil)
}

// recordApplied handles the effect of a record that was applied to the table.
func (m *Machine) recordApplied(at platform.Offset, c change) {
	switch c.kind {
	case KindClaim:
		m.claimApplied(at, c)
	case KindResult:
		if h := m.localRuns[c.key]; h != nil && h.Attempt == c.attempt {
			delete(m.localRuns, c.key)
		}
	case KindAbandon:
	default:
		return
	}
	m.redecideWaiting(c.key)
}

// claimApplied abandons an orphaned claim that took the key, and decides the request
// of a claim of this instance.
func (m *Machine) claimApplied(at platform.Offset, c change) {
	h := m.table.holders[c.key]
	won := h != nil && h.Attempt == c.attempt && h.Offset == at
	if key, ok := m.orphans[c.attempt]; ok {
		delete(m.orphans, c.attempt)
		if won {
			m.appendAbandon(key, c.attempt)
		}
		return
	}
	r := m.byAttempt[c.attempt]
	if r == nil || r.phase != phaseClaiming || r.attempt != c.attempt {
		return
	}
	delete(m.byAttempt, c.attempt)
	if won {
		m.claimWon(r)
		return
	}
	m.decide(r)
}

// claimWon lets the request run, after repeating the checks whose result may have
// changed since the claim was submitted.
func (m *Machine) claimWon(r *request) {
	r.phase = phaseWon
	switch {
	case !m.covers(r):
		m.release(r)
		m.answer(r, Answer{State: TooOld})
	case m.now >= r.Deadline:
		m.release(r)
		m.answer(r, Answer{State: Unavailable})
	default:
		m.answer(r, Answer{State: Run})
	}
}

// redecideWaiting decides the requests that wait for a key again.
func (m *Machine) redecideWaiting(key KeyHash) {
	for _, r := range append([]*request(nil), m.byKey[key]...) {
		if r.phase == phaseWaiting {
			m.decide(r)
		}
	}
}
