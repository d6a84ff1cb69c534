package membership

import (
	"slices"
	"time"

	"github.com/mastictray/mastictray/internal/wire"
)

const (
	// maxRecords is the maximum number of records in a pushed message.
	maxRecords = 256
	// maxSeedPings bounds the seed addresses that are pinged in one round, so that a
	// long list does not cause a burst of pings.
	maxSeedPings = 3
)

// Tick advances the time. It must be called several times within PauseGap, and before
// serving a request that may follow a pause.
func (v *View) Tick(now time.Duration) {
	if v.pause.tick(now) {
		v.resume(now)
	}
	if now >= v.nextListRead && !v.listReadPending {
		v.listReadPending, v.out.ReadList = true, true
	}
	if now < v.nextPing {
		return
	}
	v.nextPing = now + v.cfg.PingInterval
	v.markSilent(now)
	v.sendPings(now)
}

// resume requests new information at once after a pause and discards the pings sent
// before it: the pongs may have been lost during the pause, for which no peer must
// be marked silent.
func (v *View) resume(now time.Duration) {
	v.nextPing, v.nextListRead, v.listReadPending = now, now, false
	clear(v.pings)
	for _, m := range v.members {
		m.unansweredSince = 0
	}
}

// markSilent marks monitored peers that do not respond as silent, and forgets members
// that have been silent for ForgetAfter.
func (v *View) markSilent(now time.Duration) {
	for id, p := range v.pings {
		if now-p.sent > v.cfg.SilenceTimeout {
			delete(v.pings, id)
		}
	}
	for _, m := range v.successors() {
		if m.unansweredSince > 0 && now-m.unansweredSince > v.cfg.SilenceTimeout {
			rec := m.record
			rec.State = wire.MemberSilent
			v.storeMember(now, rec)
		}
	}
	for _, m := range slices.Clone(v.silent) {
		if now-m.changed > v.cfg.ForgetAfter {
			v.forgetMember(m)
		}
	}
}

func (v *View) forgetMember(m *member) {
	name := m.record.Identity.Instance
	b := bucketOf(name)
	v.digests[b] ^= m.digest()
	v.buckets[b].members = slices.DeleteFunc(v.buckets[b].members, func(o *member) bool { return o == m })
	v.silent = removeMember(v.silent, m)
	delete(v.members, name)
}

// sendPings pings the next members on the ring, which this instance monitors. It also
// pings random members, to reconcile records with them, and a silent member and some
// seeds, to find lost peers again.
func (v *View) sendPings(now time.Duration) {
	next := v.successors()
	for _, m := range v.monitored {
		if !slices.Contains(next, m) {
			m.unansweredSince = 0
		}
	}
	v.monitored = next
	for _, m := range next {
		if m.unansweredSince == 0 {
			m.unansweredSince = now
		}
		v.ping(now, m.record.Identity.Address)
	}
	for _, a := range v.sampleAddresses(v.cfg.RandomPings) {
		v.ping(now, a)
	}
	if len(v.silent) > 0 {
		v.ping(now, v.silent[v.rng.IntN(len(v.silent))].record.Identity.Address)
	}
	seeds := make([]string, 0, len(v.seeds))
	for a := range v.seeds {
		seeds = append(seeds, a)
	}
	slices.Sort(seeds)
	v.rng.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	for _, a := range seeds[:min(len(seeds), maxSeedPings)] {
		v.ping(now, a)
	}
}

// successors returns the members that follow this instance on the ring.
func (v *View) successors() []*member {
	self := v.members[v.cfg.Self.Instance]
	at, _ := slices.BinarySearchFunc(v.ring, self, byRingPosition)
	var out []*member
	for i := 1; i < len(v.ring) && len(out) < v.cfg.MonitoredSuccessors; i++ {
		out = append(out, v.ring[(at+i)%len(v.ring)])
	}
	return out
}

// sampleAddresses returns up to n addresses of random other members on the ring.
func (v *View) sampleAddresses(n int) []string {
	var out []string
	for range n + 1 {
		m := v.ring[v.rng.IntN(len(v.ring))]
		a := m.record.Identity.Address
		if len(out) < n && m.record.Identity.Instance != v.cfg.Self.Instance && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

func (v *View) ping(now time.Duration, to string) {
	v.seq++
	v.pings[v.seq] = ping{to: to, sent: now}
	v.send(to, wire.KindMemberPing, v.pingBody(v.seq))
}

func (v *View) pingBody(seq uint64) wire.MemberPing {
	return wire.MemberPing{Seq: seq, From: v.self, RecordCount: len(v.members) + len(v.targets), Digests: slices.Clone(v.digests[:])}
}

func (v *View) send(to string, kind wire.Kind, body any) {
	v.out.Messages = append(v.out.Messages, Message{To: to, Kind: kind, Body: body})
}

// pushUpdates sends new records to random peers. Each of these does the same when it
// first receives them, so that they reach the fleet in a few hops; instances that are
// missed get them through the digests of the pings.
func (v *View) pushUpdates() {
	if len(v.unpushed.Members)+len(v.unpushed.Targets) == 0 {
		return
	}
	to := v.sampleAddresses(v.cfg.Fanout)
	for len(v.unpushed.Members)+len(v.unpushed.Targets) > 0 {
		m := min(len(v.unpushed.Members), maxRecords)
		t := min(len(v.unpushed.Targets), maxRecords-m)
		body := wire.MemberUpdates{Members: v.unpushed.Members[:m], Targets: v.unpushed.Targets[:t]}
		v.unpushed.Members, v.unpushed.Targets = v.unpushed.Members[m:], v.unpushed.Targets[t:]
		for _, a := range to {
			v.send(a, wire.KindMemberUpdates, body)
		}
	}
	v.unpushed = wire.MemberUpdates{}
}

// Receive handles a message from a peer: a wire.MemberPing or wire.MemberUpdates. Other
// bodies are ignored.
func (v *View) Receive(now time.Duration, kind wire.Kind, body any) {
	switch b := body.(type) {
	case wire.MemberPing:
		v.receivePing(now, kind, b)
	case wire.MemberUpdates:
		v.receiveUpdates(now, b)
	}
}

// receiveUpdates merges records. Those sent for differing digests are not pushed
// further: a new instance would push the state of the whole fleet back to its peers.
func (v *View) receiveUpdates(now time.Duration, b wire.MemberUpdates) {
	pending, self := v.unpushed, v.self
	for _, rec := range b.Members {
		v.mergeMember(now, rec)
	}
	for _, rec := range b.Targets {
		v.mergeTarget(now, rec)
	}
	if b.AntiEntropy {
		v.unpushed = pending
		if v.self != self {
			v.unpushed.Members = append(v.unpushed.Members, v.self)
		}
	}
}

func (v *View) mergeTarget(now time.Duration, rec wire.TargetRecord) {
	if v.targets[rec.Target] == nil && rec.Gone {
		return // forgotten by this instance
	}
	v.updateTarget(now, rec.Target, func(t *target) bool {
		drained := t.applyListed(rec.Draining, rec.Gone, rec.AsOfMillis)
		return t.mergeIncarnation(rec) || drained
	})
}

// receivePing handles a ping or a pong.
func (v *View) receivePing(now time.Duration, kind wire.Kind, b wire.MemberPing) {
	v.mergeMember(now, b.From)
	if m := v.members[b.From.Identity.Instance]; m != nil && m.record.Identity == b.From.Identity {
		m.unansweredSince = 0
		if m.record.State == wire.MemberSilent {
			// The member is up but recorded as silent. Sending it the record makes
			// it refute that by a higher version.
			v.send(b.From.Identity.Address, wire.KindMemberUpdates, wire.MemberUpdates{Members: []wire.MemberRecord{m.record}})
		}
	}
	if kind == wire.KindMemberPing {
		v.send(b.From.Identity.Address, wire.KindMemberPong, v.pingBody(b.Seq))
	} else if p, ok := v.pings[b.Seq]; ok && p.to == b.From.Identity.Address {
		delete(v.pings, b.Seq)
		delete(v.seeds, p.to)
		v.pause.refreshed(p.sent)
		if !v.contacted {
			v.contacted, v.firstPongAt = true, now
		}
	}
	v.sendDifferingBuckets(now, b)
}

// mergeMember merges a record of a member. Records under this instance's own name are
// handled by mergeSelf.
func (v *View) mergeMember(now time.Duration, rec wire.MemberRecord) {
	if rec.Identity.Instance == "" {
		return
	}
	if rec.Identity.Instance == v.cfg.Self.Instance {
		v.mergeSelf(now, rec)
		return
	}
	m := v.members[rec.Identity.Instance]
	if m == nil && rec.State == wire.MemberSilent {
		return // forgotten by this instance; its pings will add it again if it returns
	}
	if m == nil || supersedes(rec, m.record) {
		v.storeMember(now, rec)
	}
}

// mergeSelf handles a record under this instance's name. It refutes one about this
// process by a higher version. It overrides one about another process by a higher
// generation, but only within the reclaimWindow: after that, the record means that
// this process was replaced.
func (v *View) mergeSelf(now time.Duration, rec wire.MemberRecord) {
	if !supersedes(rec, v.self) {
		return
	}
	if rec.Identity.Incarnation != v.cfg.Self.Incarnation {
		if v.contacted && now-v.firstPongAt > reclaimWindow {
			v.replaced = true
			return
		}
		v.self.Generation = rec.Generation + 1
	}
	v.self.Version = max(v.self.Version, rec.Version) + 1
	v.storeMember(now, v.self)
}
