package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastictray/mastictray/internal/wire"
)

// heldRankPenalty is added to a candidate's rank for each lease of the domain
// that it holds or tries to acquire, so that the slots spread over the
// instances.
const heldRankPenalty = 8

// maxRank bounds the delay that Stagger causes.
const maxRank = 40

// Tick returns the records to append and the requests to send now.
func (h *Holder) Tick(now time.Duration) Actions {
	var actions Actions
	if h.leaving {
		return actions
	}
	if rec, due := h.join(now); due {
		actions.Records = append(actions.Records, rec)
	}
	if rec, due := h.renew(now); due {
		actions.Records = append(actions.Records, rec)
	}
	if h.caughtUp && h.hasJoined() {
		for _, res := range h.settings.Wanted {
			if rec, due := h.acquire(now, res); due {
				actions.Records = append(actions.Records, rec)
			}
		}
		actions.Records = append(actions.Records, h.yields(now)...)
	}
	actions.PromiseRequests = h.requestPromises(now)
	return actions
}

func (h *Holder) hasJoined() bool {
	_, ok := h.table.members[h.settings.Self.ID]
	return ok
}

// join returns a join record, again when it was not read back in time.
func (h *Holder) join(now time.Duration) (Record, bool) {
	if h.hasJoined() || (h.joinSentAt != 0 && now-h.joinSentAt < h.settings.RenewInterval) {
		return Record{}, false
	}
	h.joinSentAt = max(now, 1)
	h.seq++
	return Record{Kind: KindJoin, Body: Join{Member: h.settings.Self}, Seq: h.seq}, true
}

// joinRenewDivisor sets the least time between two renewals that joins trigger,
// as a fraction of the renewal interval: many members may join at once.
const joinRenewDivisor = 6

// renew returns a record that extends all held leases, and does so early when a
// member of the domain has joined. Only members that a holder had applied when
// it wrote its last record may take over from it: if the holder failed before
// it wrote a record that covers the join, its slots would stay unused
// for the hold time.
func (h *Holder) renew(now time.Duration) (Record, bool) {
	period := h.settings.RenewInterval
	if h.renewSoon {
		period /= joinRenewDivisor
	}
	if len(h.held) == 0 || now-h.renewSentAt < period {
		return Record{}, false
	}
	h.renewSentAt, h.renewSoon = now, false
	body := Renew{Holder: h.settings.Self.ID, AppliedThrough: h.table.lastApplied(), Seq: h.nextSeq(now)}
	for _, r := range h.settings.Wanted {
		if l := h.held[r]; l != nil {
			body.Leases = append(body.Leases, Renewal{Resource: r, Token: l.token, ClaimsFloor: h.floorHoldExpired(now, r)})
		}
	}
	return Record{Kind: KindRenew, Body: body, Seq: body.Seq}, true
}

// floorHoldExpired reports whether no former holder may use the floor any more.
func (h *Holder) floorHoldExpired(now time.Duration, r Resource) bool {
	s, ok := h.table.State(r)
	return ok && (s.HasFloor || now >= s.FloorSince+h.settings.waitTime(h.settings.HoldTime))
}

// nextSeq returns the sequence number for a record and remembers when it was
// sent.
func (h *Holder) nextSeq(now time.Duration) uint64 {
	h.seq++
	h.sendTimes[h.seq] = now
	return h.seq
}

// acquire returns a record that takes a resource if it is free or its holder's
// time has passed.
func (h *Holder) acquire(now time.Duration, r Resource) (Record, bool) {
	s, known := h.table.State(r)
	if !known {
		s = State{LastOffset: NoOffset}
	}
	basis, from := h.acquireBasis(r, s)
	if basis == "" || now < from || now < h.promisedUntil[r] {
		return Record{}, false
	}
	a, pending := h.pendingAcquires[r]
	if pending && now-a.lastSentAt < h.settings.RenewInterval {
		return Record{}, false
	}
	body := Acquire{
		Resource: r, Holder: h.settings.Self.ID, Basis: basis,
		ExpectedOffset: s.LastOffset, AppliedThrough: h.table.lastApplied(), Seq: h.nextSeq(now),
	}
	h.pendingAcquires[r] = pendingAcquire{expectedOffset: s.LastOffset, seqs: append(a.seqs, body.Seq), lastSentAt: now}
	return Record{Kind: KindAcquire, Body: body, Seq: body.Seq}, true
}

// acquireBasis returns why, and from when on, this instance may take the
// resource. The basis is empty if it may not.
func (h *Holder) acquireBasis(r Resource, s State) (Basis, time.Duration) {
	self := h.table.members[h.settings.Self.ID]
	delay := time.Duration(h.rank(r)) * h.settings.Stagger
	old, known := h.table.members[s.Holder]
	switch {
	case s.Holder == h.settings.Self.ID:
		return "", 0
	case s.Holder == "":
		return BasisFree, s.AppliedAt + delay
	case s.Address == self.member.Address && (!known || old.joinedAt < self.joinedAt):
		return BasisSuccessor, 0
	case self.joinedAt <= s.HolderApplied:
		return BasisExpired, s.AppliedAt + h.settings.waitTime(h.settings.TTL) + delay
	}
	return BasisHoldExpired, s.AppliedAt + h.settings.waitTime(h.settings.HoldTime) + delay
}

// rank returns this instance's place among the candidates for a resource. Apart
// from the penalty for leases of its own, all instances compute the same order.
func (h *Holder) rank(r Resource) int {
	ownScore, place := score(r, h.settings.Self.ID), 0
	for id, j := range h.table.members {
		if (r.Domain() == "" || j.member.Domain == r.Domain()) && score(r, id) < ownScore {
			place++
		}
	}
	for _, other := range h.settings.Wanted {
		_, pending := h.pendingAcquires[other]
		if other != r && other.Domain() == r.Domain() && (pending || h.held[other] != nil) {
			place += heldRankPenalty
		}
	}
	return min(place, maxRank)
}

func score(r Resource, id string) uint64 { return xxhash.Sum64String(string(r) + "|" + id) }

func compareIDs(a, b string) int { return cmp.Compare(a, b) }

// requestPromises requests promises from all takeover candidates once renewing
// has failed for a while.
func (h *Holder) requestPromises(now time.Duration) []PromiseRequest {
	if now-h.requestsSentAt < h.settings.RenewInterval {
		return nil
	}
	byMember := map[Member][]wire.LeaseRef{}
	for _, r := range h.settings.Wanted {
		l := h.held[r]
		if l == nil || r.Domain() == "" || now-l.confirmedSentAt < 2*h.settings.RenewInterval {
			continue
		}
		for _, m := range h.takeoverCandidates(r) {
			byMember[m] = append(byMember[m], wire.LeaseRef{Resource: string(r), Token: int64(l.token)})
		}
	}
	if len(byMember) == 0 {
		return nil
	}
	h.requestsSentAt = now
	return h.newPromiseRequests(now, byMember)
}

func (h *Holder) newPromiseRequests(now time.Duration, byMember map[Member][]wire.LeaseRef) []PromiseRequest {
	var requests []PromiseRequest
	for m, leases := range byMember {
		requests = append(requests, PromiseRequest{Member: m, Body: wire.LeasePromiseRequest{
			Holder: h.settings.Self.ID, Member: m.ID,
			DurationMillis: h.settings.PromiseTime.Milliseconds(), Leases: leases,
		}})
	}
	slices.SortFunc(requests, func(a, b PromiseRequest) int { return compareIDs(a.Member.ID, b.Member.ID) })
	clear(h.pendingRequests)
	for i := range requests {
		h.lastRequestID++
		requests[i].ID = h.lastRequestID
		h.pendingRequests[h.lastRequestID] = pendingRequest{member: requests[i].Member, sentAt: now}
	}
	return requests
}
