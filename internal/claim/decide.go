package claim

import (
	"github.com/mastictray/mastictray/internal/platform"
)

// decide looks at what is known of the request's key and answers, waits or
// claims.
func (m *Machine) decide(r *request) {
	if h := m.holder(r.key); h != nil {
		m.follow(r, h)
		return
	}
	if first := m.claimer(r.key); first != nil && first != r {
		if first.RequestHash != r.RequestHash {
			m.answer(r, Answer{State: BodyMismatch})
			return
		}
		r.phase = phaseWaiting
		return
	}
	m.claim(r)
}

// holder is who holds the key, by this instance's own runs and the fold.
func (m *Machine) holder(key KeyHash) *Holder {
	if h := m.ahead[key]; h != nil {
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

// claimer is the request of this instance that is claiming the key.
func (m *Machine) claimer(key KeyHash) *request {
	for _, r := range m.byKey[key] {
		if r.phase == phaseClaiming || r.phase == phaseWon || r.phase == phaseDispatched {
			return r
		}
	}
	return nil
}

// follow answers a request whose key is held, or lets it wait for the result.
func (m *Machine) follow(r *request, h *Holder) {
	switch {
	case h.Request != r.RequestHash:
		m.answer(r, Answer{State: BodyMismatch})
	case h.Result != nil && h.Result.Unknown:
		m.answer(r, Answer{State: MayHaveRun, HolderAddress: h.Address})
	case h.Result != nil:
		m.answer(r, Answer{State: Replay, Result: h.Result})
	case m.ended(h):
		m.answer(r, Answer{State: MayHaveRun, HolderAddress: h.Address})
	default:
		r.phase = phaseWaiting
	}
}

// ended reports that the holder's process is gone: it was told so, or the holder
// had this process's address. An address belongs to one process at a time;
// without the second rule a restarted instance would let repeats of its own
// earlier bookings wait for an answer that cannot come.
func (m *Machine) ended(h *Holder) bool {
	predecessor := h.Address != "" && h.Address == m.cfg.Address && h.Incarnation != m.cfg.Incarnation
	return predecessor || m.gone[h.Incarnation]
}

func (m *Machine) claim(r *request) {
	if !m.covers(r) {
		m.answer(r, Answer{State: TooOld})
		return
	}
	if m.now >= r.Deadline {
		m.answer(r, Answer{State: Unavailable})
		return
	}
	if m.batch.down(m.now) || m.batch.full() {
		m.claimFailed(r)
		return
	}
	r.nextAttempt()
	r.phase = phaseClaiming
	r.claimBy = min(r.Deadline, m.now+m.cfg.ClaimTimeout)
	c := Claim{
		Key: r.key, Request: r.RequestHash, Attempt: r.attempt,
		Incarnation: m.cfg.Incarnation, Address: m.cfg.Address,
		Head: m.table.next, HeadMillis: m.wall,
	}
	if !m.record(KindClaim, &c, r) {
		m.answer(r, Answer{State: Unavailable})
		return
	}
	m.byClaim[r.attempt] = r
}

func (m *Machine) covers(r *request) bool {
	date := keyDate(r.Key, m.wall, m.cfg.RepeatHorizon, m.cfg.MaxClockSkew)
	return m.table.covers(date, m.wall)
}

// runUnclaimed runs a request of a route that prefers running twice over not
// running while the log is down. Repeats at this instance still find it.
func (m *Machine) runUnclaimed(r *request) {
	if r.attempt == "" {
		r.nextAttempt()
	}
	r.phase, r.unclaimed = phaseWon, true
	m.ahead[r.key] = &Holder{
		Key: r.key, Request: r.RequestHash, Attempt: r.attempt,
		Incarnation: m.cfg.Incarnation, Address: m.cfg.Address,
	}
	m.answer(r, Answer{State: Run, Unclaimed: true})
}

// giveUp ends a claim for good: the request is never sent after this, so the
// refusal not_run is true even if the claim reaches the log later.
func (m *Machine) giveUp(r *request) {
	switch {
	case r.unclaimed:
		delete(m.ahead, r.key)
		m.dropUnclaimed(r)
	case r.phase == phaseClaiming:
		m.orphan(r)
	case r.phase == phaseWon || r.phase == phaseDispatched:
		m.abandon(r.key, r.attempt)
	}
	r.phase = phaseOver
}

// dropUnclaimed frees the key of a run without a claim that was not sent: its
// earlier claim may have won by now, or may win later.
func (m *Machine) dropUnclaimed(r *request) {
	if h := m.table.holders[r.key]; h != nil && h.Attempt == r.attempt {
		m.abandon(r.key, r.attempt)
		return
	}
	m.orphan(r)
}

// orphan remembers a claim that may still reach the log. Without it the key
// would be held for the whole window by a request that never runs.
func (m *Machine) orphan(r *request) {
	if r.attempt == "" {
		return
	}
	m.orphans[r.attempt] = r.key
	m.orphanQ = append(m.orphanQ, r.attempt)
	if len(m.orphanQ) > maxOrphans {
		delete(m.orphans, m.orphanQ[0])
		m.orphanQ = m.orphanQ[1:]
	}
}

func (m *Machine) abandon(key KeyHash, attempt string) {
	m.record(KindAbandon, &Abandon{Key: key, Attempt: attempt}, nil)
}

func (m *Machine) folded(at platform.Offset, c change) {
	switch c.kind {
	case KindClaim:
		m.claimFolded(at, c)
	case KindResult:
		if h := m.ahead[c.key]; h != nil && h.Attempt == c.attempt {
			delete(m.ahead, c.key)
		}
	case KindAbandon:
	default:
		return
	}
	m.wakeKey(c.key)
}

func (m *Machine) claimFolded(at platform.Offset, c change) {
	h := m.table.holders[c.key]
	won := h != nil && h.Attempt == c.attempt && h.Offset == at
	if key, ok := m.orphans[c.attempt]; ok {
		delete(m.orphans, c.attempt)
		if won {
			m.abandon(key, c.attempt)
		}
		return
	}
	r := m.byClaim[c.attempt]
	if r == nil || r.phase != phaseClaiming || r.attempt != c.attempt {
		return
	}
	delete(m.byClaim, c.attempt)
	if won {
		m.won(r)
		return
	}
	m.decide(r)
}

// won re-checks what may have changed since the claim was sent.
func (m *Machine) won(r *request) {
	r.phase = phaseWon
	switch {
	case !m.covers(r):
		m.giveUp(r)
		m.answer(r, Answer{State: TooOld})
	case m.now >= r.Deadline:
		m.giveUp(r)
		m.answer(r, Answer{State: Unavailable})
	default:
		m.answer(r, Answer{State: Run})
	}
}

// wakeKey lets the requests that wait for a key look again.
func (m *Machine) wakeKey(key KeyHash) {
	for _, r := range append([]*request(nil), m.byKey[key]...) {
		if r.phase == phaseWaiting {
			m.decide(r)
		}
	}
}
