package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mastictray/mastictray/internal/platform"
	"github.com/mastictray/mastictray/internal/wire"
)

// Message is a message to the peer at an address.
type Message struct {
	To   string
	Kind wire.Kind
	Body any
}

// Change is a change of one record of the view.
type Change struct {
	// Member is set for a change of an entry instance.
	Member *wire.MemberRecord
	// Target is set for a change of a target.
	Target *wire.TargetRecord
}

// Ready is the pending work of a View: messages to send, changes to apply and
// whether to read the list.
type Ready struct {
	Messages []Message
	Changes  []Change
	// ReadList requests a read of the platform's list, whose result is to be passed to
	// HandleList or HandleListError.
	ReadList bool
}

// View is an instance's view of members and targets. It is not safe for concurrent use.
type View struct {
	cfg     Config
	rng     *rand.Rand
	self    wire.MemberRecord
	members map[string]*member
	// ring has the members that are live or leaving, silent the silent ones, both
	// ordered by ring position.
	ring   []*member
	silent []*member
	// monitored are the ring successors pinged in the last round.
	monitored []*member
	targets   map[string]*target
	buckets   [wire.DigestBuckets]bucket
	// seeds are addresses that are pinged until there is a member at them.
	seeds   map[string]bool
	digests [wire.DigestBuckets]uint32
	pause   pauseDetector

	seq             uint64
	pings           map[uint64]ping
	nextPing        time.Duration
	nextListRead    time.Duration
	listReadPending bool
	// firstPongAt is when the first pong arrived, contacted whether one has.
	firstPongAt time.Duration
	contacted   bool
	replaced    bool
	unpushed    wire.MemberUpdates
	out         Ready
}

// bucket has the records whose names share a hash, so that the records that a peer
// lacks are found without iterating over all.
type bucket struct {
	members []*member
	targets []*target
}

type ping struct {
	to   string
	sent time.Duration
}

// reclaimWindow is how long after its first contact with a peer a process may raise
// its generation above that of an earlier process under its name. After that, a
// higher generation means that this process has been replaced.
const reclaimWindow = 10 * time.Second

// New returns a view that has only this instance and its seeds.
func New(cfg Config, rng *rand.Rand) *View {
	cfg = cfg.withDefaults()
	v := &View{
		cfg: cfg, rng: rng, members: map[string]*member{}, targets: map[string]*target{},
		seeds: map[string]bool{}, pings: map[uint64]ping{},
		pause: pauseDetector{gap: cfg.PauseGap, refreshTimeout: cfg.RefreshTimeout},
		self:  wire.MemberRecord{Identity: cfg.Self, Generation: uint64(max(cfg.StartMillis, 1))},
	}
	for _, a := range cfg.Seeds {
		v.addSeed(a)
	}
	v.storeMember(0, v.self)
	return v
}

func (v *View) addSeed(address string) {
	if address != "" && address != v.cfg.Self.Address {
		v.seeds[address] = true
	}
}

// Ready returns the pending work and clears it. It must be called after every event.
func (v *View) Ready() Ready {
	v.pushUpdates()
	out := v.out
	v.out = Ready{}
	return out
}

// storeMember stores a newer record of a member and updates the ring and the digests.
func (v *View) storeMember(now time.Duration, rec wire.MemberRecord) {
	name := rec.Identity.Instance
	m := v.members[name]
	b := bucketOf(name)
	if m == nil {
		m = &member{ringPosition: hashRingPosition(name)}
		v.members[name] = m
		v.buckets[b].members = append(v.buckets[b].members, m)
	} else {
		v.digests[b] ^= m.digest()
	}
	m.record, m.changed, m.unansweredSince = rec, now, 0
	v.digests[b] ^= m.digest()
	delete(v.seeds, rec.Identity.Address)
	v.updateRing(m)
	v.unpushed.Members = append(v.unpushed.Members, rec)
	v.out.Changes = append(v.out.Changes, Change{Member: &rec})
}

// updateRing moves the member to the list that corresponds to its state.
func (v *View) updateRing(m *member) {
	if m.record.State == wire.MemberSilent {
		v.ring, v.silent = removeMember(v.ring, m), insertMember(v.silent, m)
		return
	}
	v.ring, v.silent = insertMember(v.ring, m), removeMember(v.silent, m)
}

func insertMember(list []*member, m *member) []*member {
	at, found := slices.BinarySearchFunc(list, m, byRingPosition)
	if found {
		return list
	}
	return slices.Insert(list, at, m)
}

func removeMember(list []*member, m *member) []*member {
	at, found := slices.BinarySearchFunc(list, m, byRingPosition)
	if !found {
		return list
	}
	return slices.Delete(list, at, at+1)
}

func byRingPosition(a, b *member) int {
	return cmp.Or(cmp.Compare(a.ringPosition, b.ringPosition), cmp.Compare(a.record.Identity.Instance, b.record.Identity.Instance))
}

// updateTarget applies an update to a target, adding it if necessary. If update reports
// a change, the record is pushed to peers.
func (v *View) updateTarget(now time.Duration, name string, update func(*target) bool) {
	b := bucketOf(name)
	t := v.targets[name]
	if t == nil {
		t = &target{record: wire.TargetRecord{Target: name}}
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
	rec := t.record
	v.unpushed.Targets = append(v.unpushed.Targets, rec)
	v.out.Changes = append(v.out.Changes, Change{Target: &rec})
}

// HandleList applies the platform's list. requestedAt is when the read began, bytes the
// size of the list.
func (v *View) HandleList(now, requestedAt time.Duration, l platform.InstanceList, bytes int) {
	v.listReadPending = false
	v.pause.refreshed(requestedAt)
	v.nextListRead = now + v.listReadDelay(bytes)
	asOf := l.AsOf.UnixMilli()
	listed := map[string]bool{}
	for _, in := range l.Instances {
		listed[in.ID] = true
		switch in.Role {
		case platform.RoleTarget:
			v.updateTarget(now, in.ID, func(t *target) bool {
				return t.applyListed(in.State == platform.StateLeaving, false, asOf)
			})
		case platform.RoleEntry:
			if v.members[in.ID] == nil {
				v.addSeed(in.Address)
			}
		}
	}
	// A target that is no longer listed has left.
	v.forgetTargets(now)
	for _, name := range v.unlisted(listed) {
		v.updateTarget(now, name, func(t *target) bool { return t.applyListed(true, true, asOf) })
	}
}

// unlisted returns the targets that were listed earlier and are not any more.
func (v *View) unlisted(listed map[string]bool) []string {
	var out []string
	for name, t := range v.targets {
		if !listed[name] && !t.record.Gone && t.record.AsOfMillis > 0 {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// forgetTargets drops targets that have been gone for ForgetAfter.
func (v *View) forgetTargets(now time.Duration) {
	for name, t := range v.targets {
		if t.record.Gone && now-t.changed > v.cfg.ForgetAfter {
			delete(v.targets, name)
			b := &v.buckets[bucketOf(name)]
			b.targets = slices.DeleteFunc(b.targets, func(o *target) bool { return o == t })
		}
	}
}

// listReadDelay returns the randomised time until the next read of the list.
func (v *View) listReadDelay(bytes int) time.Duration {
	mean := max(v.cfg.MinListInterval, time.Duration(float64(bytes)/v.cfg.ListBytesPerSecond*float64(time.Second)))
	return mean/2 + time.Duration(v.rng.Int64N(int64(mean)))
}

// HandleListError records that the list could not be read.
func (v *View) HandleListError(now time.Duration) {
	v.listReadPending = false
	v.nextListRead = now + v.listReadDelay(0)
}

// ObserveIncarnation records the incarnation that a target stated in a response.
func (v *View) ObserveIncarnation(now time.Duration, name, incarnation string) {
	v.updateTarget(now, name, func(t *target) bool { return t.observe(incarnation) })
}

// Leave announces to peers that this instance is draining.
func (v *View) Leave(now time.Duration) {
	v.self.Version++
	v.self.State = wire.MemberLeaving
	v.storeMember(now, v.self)
}

// Draining reports whether a target is to get no new requests.
func (v *View) Draining(name string) bool {
	t := v.targets[name]
	return t != nil && t.record.Draining
}

// Listed returns whether the newest list that is known shows a target as live, and the time of
// that list; ok is false if no list has shown it, or none for long.
func (v *View) Listed(name string) (live bool, asOfMillis int64, ok bool) {
	t := v.targets[name]
	if t == nil || t.record.AsOfMillis == 0 {
		return false, 0, false
	}
	return !t.record.Draining && !t.record.Gone, t.record.AsOfMillis, true
}

// Incarnation returns a target's current incarnation; empty if none was observed.
func (v *View) Incarnation(name string) string {
	if t := v.targets[name]; t != nil {
		return t.record.Incarnation
	}
	return ""
}

// Members returns the entry instances that are not silent, this one included, ordered
// by instance name.
func (v *View) Members() []wire.MemberRecord {
	out := make([]wire.MemberRecord, 0, len(v.ring))
	for _, m := range v.ring {
		out = append(out, m.record)
	}
	slices.SortFunc(out, func(a, b wire.MemberRecord) int {
		return cmp.Compare(a.Identity.Instance, b.Identity.Instance)
	})
	return out
}

// Freshness reports whether requests may be served by this view now. Tick must be called
// first, since it detects pauses.
func (v *View) Freshness(now time.Duration) Freshness { return v.pause.freshness(now) }

// Replaced reports whether a later process under this instance's name is known. If so,
// this process has to drain.
func (v *View) Replaced() bool { return v.replaced }
