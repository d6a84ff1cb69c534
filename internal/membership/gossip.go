package membership

import (
	"slices"
	"time"

	"github.com/mastictray/mastictray/internal/wire"
)

const (
	// maxFacts bounds one message of facts.
	maxFacts = 256
	// pingsPerSeedBeat is how many addresses without a member are tried at
	// each beat, so that a long list is no herd of pings.
	pingsPerSeedBeat = 3
)

// Tick moves the time on. Call it several times within ThawGap, and before
// requests that come after a pause.
func (v *View) Tick(now time.Duration) {
	if v.thaw.tick(now) {
		v.afterPause(now)
	}
	if now >= v.nextList && !v.reading {
		v.reading, v.out.ReadList = true, true
	}
	if now < v.nextBeat {
		return
	}
	v.nextBeat = now + v.cfg.BeatEvery
	v.judge(now)
	v.beat(now)
}

// afterPause asks for news at once and forgets the pings before: their
// answers may have been lost to the pause, and peers must not be called
// silent for it.
func (v *View) afterPause(now time.Duration) {
	v.nextBeat, v.nextList, v.reading = now, now, false
	clear(v.pings)
	for _, m := range v.members {
		m.asked = 0
	}
}

// judge marks watched peers that do not answer as silent, and forgets those
// that have been so for long.
func (v *View) judge(now time.Duration) {
	for id, p := range v.pings {
		if now-p.sent > v.cfg.SilentAfter {
			delete(v.pings, id)
		}
	}
	for _, m := range v.successors() {
		if m.asked > 0 && now-m.asked > v.cfg.SilentAfter {
			f := m.fact
			f.State = wire.MemberSilent
			v.put(now, f)
		}
	}
	for _, m := range slices.Clone(v.quiet) {
		if now-m.changed > v.cfg.ForgetAfter {
			v.drop(m)
		}
	}
}

func (v *View) drop(m *member) {
	name := m.fact.Identity.Instance
	b := bucketOf(name)
	v.digests[b] ^= m.digest()
	v.buckets[b].members = slices.DeleteFunc(v.buckets[b].members, func(o *member) bool { return o == m })
	v.quiet = without(v.quiet, m)
	delete(v.members, name)
}

// beat pings the next members on the ring, which this instance watches, and
// some others by chance, which brings news over and finds lost peers again.
func (v *View) beat(now time.Duration) {
	next := v.successors()
	for _, m := range v.watched {
		if !slices.Contains(next, m) {
			m.asked = 0
		}
	}
	v.watched = next
	for _, m := range next {
		if m.asked == 0 {
			m.asked = now
		}
		v.ping(now, m.fact.Identity.Address)
	}
	for _, a := range v.sample(v.cfg.Random) {
		v.ping(now, a)
	}
	if len(v.quiet) > 0 {
		v.ping(now, v.quiet[v.rng.IntN(len(v.quiet))].fact.Identity.Address)
	}
	seeds := make([]string, 0, len(v.seeds))
	for a := range v.seeds {
		seeds = append(seeds, a)
	}
	slices.Sort(seeds)
	v.rng.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	for _, a := range seeds[:min(len(seeds), pingsPerSeedBeat)] {
		v.ping(now, a)
	}
}

func (v *View) successors() []*member {
	self := v.members[v.cfg.Self.Instance]
	at, _ := slices.BinarySearchFunc(v.ring, self, byPlace)
	var out []*member
	for i := 1; i < len(v.ring) && len(out) < v.cfg.Watched; i++ {
		out = append(out, v.ring[(at+i)%len(v.ring)])
	}
	return out
}

// sample draws addresses of other members that are heard.
func (v *View) sample(n int) []string {
	var out []string
	for range n + 1 {
		m := v.ring[v.rng.IntN(len(v.ring))]
		a := m.fact.Identity.Address
		if len(out) < n && m.fact.Identity.Instance != v.cfg.Self.Instance && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

func (v *View) ping(now time.Duration, to string) {
	v.seq++
	v.pings[v.seq] = ping{to: to, sent: now}
	v.send(to, wire.KindMemberPing, v.beatBody(v.seq))
}

func (v *View) beatBody(seq uint64) wire.MemberPing {
	return wire.MemberPing{Seq: seq, From: v.self, RecordCount: len(v.members) + len(v.targets), Digests: slices.Clone(v.digests[:])}
}

func (v *View) send(to string, kind wire.Kind, body any) {
	v.out.Messages = append(v.out.Messages, Message{To: to, Kind: kind, Body: body})
}

// push sends what is new here to some peers at once. Each does the same the
// first time it hears of it, so that news reaches the fleet in a few hops;
// whoever is missed learns it by the digests of the pings.
func (v *View) push() {
	if len(v.news.Members)+len(v.news.Targets) == 0 {
		return
	}
	to := v.sample(v.cfg.Fanout)
	for len(v.news.Members)+len(v.news.Targets) > 0 {
		m := min(len(v.news.Members), maxFacts)
		t := min(len(v.news.Targets), maxFacts-m)
		body := wire.MemberUpdates{Members: v.news.Members[:m], Targets: v.news.Targets[:t]}
		v.news.Members, v.news.Targets = v.news.Members[m:], v.news.Targets[t:]
		for _, a := range to {
			v.send(a, wire.KindMemberUpdates, body)
		}
	}
	v.news = wire.MemberUpdates{}
}

// Receive takes a message from a peer: a MemberBeat with its kind, or a
// MemberNews. Others are ignored.
func (v *View) Receive(now time.Duration, kind wire.Kind, body any) {
	switch b := body.(type) {
	case wire.MemberPing:
		v.beaten(now, kind, b)
	case wire.MemberUpdates:
		v.takeNews(now, b)
	}
}

// takeNews learns facts. Those of an exchange are not pushed on: an instance
// that starts would push the whole state of the fleet back to its peers.
func (v *View) takeNews(now time.Duration, b wire.MemberUpdates) {
	pending, self := v.news, v.self
	for _, f := range b.Members {
		v.learn(now, f)
	}
	for _, f := range b.Targets {
		v.learnTarget(now, f)
	}
	if b.AntiEntropy {
		v.news = pending
		if v.self != self {
			v.news.Members = append(v.news.Members, v.self)
		}
	}
}

func (v *View) learnTarget(now time.Duration, f wire.TargetRecord) {
	if v.targets[f.Target] == nil && f.Gone {
		return // forgotten here
	}
	v.change(now, f.Target, func(t *target) bool {
		drained := t.setDraining(f.Draining, f.Gone, f.AsOfMillis)
		return t.learn(f) || drained
	})
}

func (v *View) beaten(now time.Duration, kind wire.Kind, b wire.MemberPing) {
	v.learn(now, b.From)
	if m := v.members[b.From.Identity.Instance]; m != nil && m.fact.Identity == b.From.Identity {
		m.asked = 0
		if m.fact.State == wire.MemberSilent {
			// It is heard, but takes itself for live: tell it, so that it
			// refutes with a higher version.
			v.send(b.From.Identity.Address, wire.KindMemberUpdates, wire.MemberUpdates{Members: []wire.MemberRecord{m.fact}})
		}
	}
	if kind == wire.KindMemberPing {
		v.send(b.From.Identity.Address, wire.KindMemberPong, v.beatBody(b.Seq))
	} else if p, ok := v.pings[b.Seq]; ok && p.to == b.From.Identity.Address {
		delete(v.pings, b.Seq)
		delete(v.seeds, p.to)
		v.thaw.news(p.sent)
		if !v.met {
			v.met, v.contact = true, now
		}
	}
	v.answerDigests(now, b)
}

// learn takes a fact about a member. One about this process itself, or about
// another under its name, is settled here.
func (v *View) learn(now time.Duration, f wire.MemberRecord) {
	if f.Identity.Instance == "" {
		return
	}
	if f.Identity.Instance == v.cfg.Self.Instance {
		v.learnSelf(now, f)
		return
	}
	m := v.members[f.Identity.Instance]
	if m == nil && f.State == wire.MemberSilent {
		return // forgotten here; pings would find it if it came back
	}
	if m == nil || newer(f, m.fact) {
		v.put(now, f)
	}
}

func (v *View) learnSelf(now time.Duration, f wire.MemberRecord) {
	if !newer(f, v.self) {
		return
	}
	if f.Identity.Incarnation != v.cfg.Self.Incarnation {
		if v.met && now-v.contact > settleFor {
			v.replaced = true
			return
		}
		v.self.Generation = f.Generation + 1
	}
	v.self.Version = max(v.self.Version, f.Version) + 1
	v.put(now, v.self)
}
