package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastictray/mastictray/internal/wire"
)

// heldPenalty is how many candidates without a lease of the domain go before
// one that has one, so that slots spread over the instances.
const heldPenalty = 8

// maxRank bounds the stagger.
const maxRank = 40

// Tick finds the records and asks that are due.
func (h *Holder) Tick(now time.Duration) Ready {
	var r Ready
	if h.leaving {
		return r
	}
	if rec, due := h.join(now); due {
		r.Records = append(r.Records, rec)
	}
	if rec, due := h.renew(now); due {
		r.Records = append(r.Records, rec)
	}
	if h.caughtUp && h.joined() {
		for _, res := range h.settings.Wanted {
			if rec, due := h.acquire(now, res); due {
				r.Records = append(r.Records, rec)
			}
		}
		r.Records = append(r.Records, h.yields(now)...)
	}
	r.Asks = h.askPromises(now)
	return r
}

func (h *Holder) joined() bool {
	_, ok := h.fold.members[h.settings.Self.ID]
	return ok
}

// join makes this incarnation known, again when the record did not appear.
func (h *Holder) join(now time.Duration) (Record, bool) {
	if h.joined() || (h.joinAt != 0 && now-h.joinAt < h.settings.RenewEvery) {
		return Record{}, false
	}
	h.joinAt = max(now, 1)
	h.seq++
	return Record{Kind: KindJoin, Body: Join{Member: h.settings.Self}, Seq: h.seq}, true
}

// joinGap is the part of the renewal period between two renewals for joins: many
// members may join at once.
const joinGap = 6

// renew extends everything held in one record, and soon when a member of the
// domain has joined: only members that a holder's last record has seen may take
// over from it. A holder lost before that record would keep its slots for the
// hold time.
func (h *Holder) renew(now time.Duration) (Record, bool) {
	period := h.settings.RenewEvery
	if h.renewNow {
		period /= joinGap
	}
	if len(h.held) == 0 || now-h.renewAt < period {
		return Record{}, false
	}
	h.renewAt, h.renewNow = now, false
	body := Renew{Holder: h.settings.Self.ID, Seen: h.fold.lastSeen(), Seq: h.number(now)}
	for _, r := range h.settings.Wanted {
		if l := h.held[r]; l != nil {
			body.Leases = append(body.Leases, Renewal{Resource: r, Token: l.token, Floor: h.floorDue(now, r)})
		}
	}
	return Record{Kind: KindRenew, Body: body, Seq: body.Seq}, true
}

// floorDue reports that the hold time of an earlier holder is over.
func (h *Holder) floorDue(now time.Duration, r Resource) bool {
	s, ok := h.fold.State(r)
	return ok && (s.Floor || now >= s.FloorSince+h.settings.wait(h.settings.Hold))
}

// number counts a record and notes when it was sent.
func (h *Holder) number(now time.Duration) uint64 {
	h.seq++
	h.sent[h.seq] = now
	return h.seq
}

// acquire takes a resource when it is free or its holder's time is over.
func (h *Holder) acquire(now time.Duration, r Resource) (Record, bool) {
	s, known := h.fold.State(r)
	if !known {
		s = State{Last: NoOffset}
	}
	basis, from := h.basis(r, s)
	if basis == "" || now < from || now < h.promised[r] {
		return Record{}, false
	}
	a, open := h.acquires[r]
	if open && now-a.sentAt < h.settings.RenewEvery {
		return Record{}, false
	}
	body := Acquire{
		Resource: r, Holder: h.settings.Self.ID, Basis: basis,
		BasedOn: s.Last, Seen: h.fold.lastSeen(), Seq: h.number(now),
	}
	h.acquires[r] = attempt{basedOn: s.Last, seqs: append(a.seqs, body.Seq), sentAt: now}
	return Record{Kind: KindAcquire, Body: body, Seq: body.Seq}, true
}

// basis says why and from when on this instance may take the resource.
func (h *Holder) basis(r Resource, s State) (Basis, time.Duration) {
	self := h.fold.members[h.settings.Self.ID]
	delay := time.Duration(h.rank(r)) * h.settings.Stagger
	old, known := h.fold.members[s.Holder]
	switch {
	case s.Holder == h.settings.Self.ID:
		return "", 0
	case s.Holder == "":
		return BasisFree, s.FoldedAt + delay
	case s.Address == self.member.Address && (!known || old.at < self.at):
		return BasisSuccessor, 0
	case self.at <= s.Seen:
		return BasisLapsed, s.FoldedAt + h.settings.wait(h.settings.TTL) + delay
	}
	return BasisHold, s.FoldedAt + h.settings.wait(h.settings.Hold) + delay
}

// rank is this instance's place among the candidates for a resource, the same
// in every instance's view.
func (h *Holder) rank(r Resource) int {
	own, place := score(r, h.settings.Self.ID), 0
	for id, j := range h.fold.members {
		if (r.Domain() == "" || j.member.Domain == r.Domain()) && score(r, id) < own {
			place++
		}
	}
	for _, other := range h.settings.Wanted {
		_, open := h.acquires[other]
		if other != r && other.Domain() == r.Domain() && (open || h.held[other] != nil) {
			place += heldPenalty
		}
	}
	return min(place, maxRank)
}

func score(r Resource, id string) uint64 { return xxhash.Sum64String(string(r) + "|" + id) }

func compareIDs(a, b string) int { return cmp.Compare(a, b) }

// askPromises asks all rivals once renewing has failed for a while.
func (h *Holder) askPromises(now time.Duration) []Ask {
	if now-h.askAt < h.settings.RenewEvery {
		return nil
	}
	wanted := map[Member][]wire.LeaseRef{}
	for _, r := range h.settings.Wanted {
		l := h.held[r]
		if l == nil || r.Domain() == "" || now-l.sentAt < 2*h.settings.RenewEvery {
			continue
		}
		for _, m := range h.rivals(r) {
			wanted[m] = append(wanted[m], wire.LeaseRef{Resource: string(r), Token: int64(l.token)})
		}
	}
	if len(wanted) == 0 {
		return nil
	}
	h.askAt = now
	return h.asksFor(now, wanted)
}

func (h *Holder) asksFor(now time.Duration, wanted map[Member][]wire.LeaseRef) []Ask {
	var asks []Ask
	for m, leases := range wanted {
		asks = append(asks, Ask{Member: m, Body: wire.LeasePromiseRequest{
			Holder: h.settings.Self.ID, Member: m.ID,
			DurationMillis: h.settings.PromiseFor.Milliseconds(), Leases: leases,
		}})
	}
	slices.SortFunc(asks, func(a, b Ask) int { return compareIDs(a.Member.ID, b.Member.ID) })
	clear(h.asks)
	for i := range asks {
		h.lastAsk++
		asks[i].ID = h.lastAsk
		h.asks[h.lastAsk] = pendingAsk{member: asks[i].Member, askedAt: now}
	}
	return asks
}
