package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mastictray/mastictray/internal/platform"
	"github.com/mastictray/mastictray/internal/wire"
)

// Message is for a peer, by its address.
type Message struct {
	To   string
	Kind wire.Kind
	Body any
}

// Change tells what the view has learned.
type Change struct {
	// Member is set for a change of an entry instance.
	Member *wire.MemberRecord
	// Target is set for a change of a target.
	Target *wire.TargetRecord
}

// Ready is the work that a View hands out.
type Ready struct {
	Messages []Message
	Changes  []Change
	// ReadList asks for a read of the platform's list; its outcome goes to
	// List or ListFailed.
	ReadList bool
}

// View is one instance's view. It is not safe for concurrent use.
type View struct {
	cfg     Config
	rng     *rand.Rand
	self    wire.MemberRecord
	members map[string]*member
	// ring has the members that are live or leaving, quiet the silent ones,
	// both by place.
	ring  []*member
	quiet []*member
	// watched are the ring successors pinged at the last beat.
	watched []*member
	targets map[string]*target
	buckets [wire.DigestBuckets]bucket
	// seeds are addresses to ping until a member answers from there.
	seeds   map[string]bool
	digests [wire.DigestBuckets]uint32
	thaw    thaw

	seq      uint64
	pings    map[uint64]ping
	nextBeat time.Duration
	nextList time.Duration
	reading  bool
	// contact is when the first pong came.
	contact  time.Duration
	met      bool
	replaced bool
	news     wire.MemberUpdates
	out      Ready
}

// bucket has the facts whose names share a hash, to find those that a peer
// lacks without going through all.
type bucket struct {
	members []*member
	targets []*target
}

type ping struct {
	to   string
	sent time.Duration
}

// settleFor is how long after its first contact with a peer a process may
// raise its order above that of an earlier process under its name. Later, a
// higher one means that it has been replaced.
const settleFor = 10 * time.Second

// New makes a view that knows its seeds only.
func New(cfg Config, rng *rand.Rand) *View {
	cfg = cfg.withDefaults()
	v := &View{
		cfg: cfg, rng: rng, members: map[string]*member{}, targets: map[string]*target{},
		seeds: map[string]bool{}, pings: map[uint64]ping{},
		thaw: thaw{gap: cfg.ThawGap, wait: cfg.ThawWait},
		self: wire.MemberRecord{Identity: cfg.Self, Generation: uint64(max(cfg.StartMillis, 1))},
	}
	for _, a := range cfg.Seeds {
		v.seed(a)
	}
	v.put(0, v.self)
	return v
}

func (v *View) seed(address string) {
	if address != "" && address != v.cfg.Self.Address {
		v.seeds[address] = true
	}
}

// Ready returns the pending work and clears it. Call it after every event.
func (v *View) Ready() Ready {
	v.push()
	out := v.out
	v.out = Ready{}
	return out
}

// put stores a newer fact about a member and keeps ring and digests in step.
func (v *View) put(now time.Duration, f wire.MemberRecord) {
	name := f.Identity.Instance
	m := v.members[name]
	b := bucketOf(name)
	if m == nil {
		m = &member{place: ringPlace(name)}
		v.members[name] = m
		v.buckets[b].members = append(v.buckets[b].members, m)
	} else {
		v.digests[b] ^= m.digest()
	}
	m.fact, m.changed, m.asked = f, now, 0
	v.digests[b] ^= m.digest()
	delete(v.seeds, f.Identity.Address)
	v.rering(m)
	v.news.Members = append(v.news.Members, f)
	v.out.Changes = append(v.out.Changes, Change{Member: &f})
}

// rering puts the member where its state says it belongs.
func (v *View) rering(m *member) {
	if m.fact.State == wire.MemberSilent {
		v.ring, v.quiet = without(v.ring, m), with(v.quiet, m)
		return
	}
	v.ring, v.quiet = with(v.ring, m), without(v.quiet, m)
}

func with(list []*member, m *member) []*member {
	at, found := slices.BinarySearchFunc(list, m, byPlace)
	if found {
		return list
	}
	return slices.Insert(list, at, m)
}

func without(list []*member, m *member) []*member {
	at, found := slices.BinarySearchFunc(list, m, byPlace)
	if !found {
		return list
	}
	return slices.Delete(list, at, at+1)
}

func byPlace(a, b *member) int {
	return cmp.Or(cmp.Compare(a.place, b.place), cmp.Compare(a.fact.Identity.Instance, b.fact.Identity.Instance))
}

// change applies an update to a target and spreads it.
func (v *View) change(now time.Duration, name string, update func(*target) bool) {
	b := bucketOf(name)
	t := v.targets[name]
	if t == nil {
		t = &target{fact: wire.TargetRecord{Target: name}}
		v.targets[name] = t
		v.buckets[b].targets = append(v.buckets[b].targets, t)
		v.digests[b] ^= t.digest()
	}
	before := t.digest()
	if !update(t) {
		return
	}
	v.digests[b] ^= before ^ t.digest()
	t.changed = now
	f := t.fact
	v.news.Targets = append(v.news.Targets, f)
	v.out.Changes = append(v.out.Changes, Change{Target: &f})
}

// HandleList takes the platform's list; asked is when the read began and bytes its
// size.
func (v *View) HandleList(now, asked time.Duration, l platform.InstanceList, bytes int) {
	v.reading = false
	v.thaw.news(asked)
	v.nextList = now + v.listPeriod(bytes)
	asOf := l.AsOf.UnixMilli()
	listed := map[string]bool{}
	for _, in := range l.Instances {
		listed[in.ID] = true
		switch in.Role {
		case platform.RoleTarget:
			v.change(now, in.ID, func(t *target) bool {
				return t.setDraining(in.State == platform.StateLeaving, false, asOf)
			})
		case platform.RoleEntry:
			if v.members[in.ID] == nil {
				v.seed(in.Address)
			}
		}
	}
	// A target that was listed and is not any more has left.
	v.forgetTargets(now)
	for _, name := range v.unlisted(listed) {
		v.change(now, name, func(t *target) bool { return t.setDraining(true, true, asOf) })
	}
}

func (v *View) unlisted(listed map[string]bool) []string {
	var out []string
	for name, t := range v.targets {
		if !listed[name] && !t.fact.Gone && t.fact.AsOfMillis > 0 {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// forgetTargets drops those that have been gone for long.
func (v *View) forgetTargets(now time.Duration) {
	for name, t := range v.targets {
		if t.fact.Gone && now-t.changed > v.cfg.ForgetAfter {
			delete(v.targets, name)
			b := &v.buckets[bucketOf(name)]
			b.targets = slices.DeleteFunc(b.targets, func(o *target) bool { return o == t })
		}
	}
}

// listPeriod spreads the reads of the instances by chance.
func (v *View) listPeriod(bytes int) time.Duration {
	p := max(v.cfg.ListEvery, time.Duration(float64(bytes)/v.cfg.ListBytesPerSecond*float64(time.Second)))
	return p/2 + time.Duration(v.rng.Int64N(int64(p)))
}

// HandleListError tells that the list could not be read.
func (v *View) HandleListError(now time.Duration) {
	v.reading = false
	v.nextList = now + v.listPeriod(0)
}

// ObserveIncarnation takes the incarnation that a target named in an answer.
func (v *View) ObserveIncarnation(now time.Duration, name, incarnation string) {
	v.change(now, name, func(t *target) bool { return t.observe(incarnation) })
}

// Leave tells the peers that this instance drains.
func (v *View) Leave(now time.Duration) {
	v.self.Version++
	v.self.State = wire.MemberLeaving
	v.put(now, v.self)
}

// Draining says that a target gets no new work.
func (v *View) Draining(name string) bool {
	t := v.targets[name]
	return t != nil && t.fact.Draining
}

// Incarnation is a target's present one, empty when none was seen.
func (v *View) Incarnation(name string) string {
	if t := v.targets[name]; t != nil {
		return t.fact.Incarnation
	}
	return ""
}

// Members are the entry instances that are heard, by instance name, this one
// included.
func (v *View) Members() []wire.MemberRecord {
	out := make([]wire.MemberRecord, 0, len(v.ring))
	for _, m := range v.ring {
		out = append(out, m.fact)
	}
	slices.SortFunc(out, func(a, b wire.MemberRecord) int {
		return cmp.Compare(a.Identity.Instance, b.Identity.Instance)
	})
	return out
}

// Freshness says whether requests may be served by this view now. Call Tick
// first: a pause is noticed there.
func (v *View) Freshness(now time.Duration) Freshness { return v.thaw.freshness(now) }

// Replaced says that a later process under this instance's name is known:
// this one has to drain.
func (v *View) Replaced() bool { return v.replaced }
