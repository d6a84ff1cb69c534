package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/mastictray/mastictray/internal/platform"
	"github.com/mastictray/mastictray/internal/wire"
)

// A target becomes leaving while some instances cannot read the platform's list and
// one message in ten is lost. Within 3 s of its appearance in the lagging list, every
// instance must treat it as draining; those without the list learn it from peers.
func TestLeavingTargetGetsNoWorkWithin3s(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(rt, "instances")
		f := newFleet(n, 20, rapid.Uint64().Draw(rt, "seed"))
		f.run(5 * time.Second)
		f.lossRate = 0.1
		for i := 1; i < n; i++ {
			f.nodes[i].listUnavailable = rapid.IntRange(0, 3).Draw(rt, "list down") > 0
		}
		f.markLeaving("t3")
		f.run(listLag + 3*time.Second)
		for i, o := range f.nodes {
			if !o.view.Draining("t3") || o.view.Draining("t4") {
				rt.Fatalf("instance %d: t3 draining=%v t4 draining=%v", i, o.view.Draining("t3"), o.view.Draining("t4"))
			}
		}
	})
}

// Instances are killed, restarted with clocks that were set back, suspended and
// resumed, and partitioned. After that, all must agree on the running instances, and
// none may take an earlier process for the current one.
func TestFleetAgreesAfterFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 16).Draw(rt, "instances")
		f := newFleet(n, 3, rapid.Uint64().Draw(rt, "seed"))
		f.run(5 * time.Second)
		for range rapid.IntRange(1, 12).Draw(rt, "faults") {
			i := rapid.IntRange(0, n-1).Draw(rt, "instance")
			o := f.nodes[i]
			switch rapid.IntRange(0, 4).Draw(rt, "fault") {
			case 0:
				o.up = false
			case 1:
				f.start(i, rapid.Int64Range(1, 2000).Draw(rt, "clock"))
			case 2:
				o.suspended = !o.suspended
			case 3:
				o.group = 1 - o.group
			case 4:
				f.lossRate = 0.2
			}
			f.run(time.Duration(rapid.IntRange(0, 5000).Draw(rt, "ms")) * time.Millisecond)
		}
		f.lossRate = 0
		for _, o := range f.nodes {
			o.suspended, o.group = false, 0
		}
		f.run(20 * time.Second)
		if err := f.checkAgreement(); err != nil {
			rt.Fatal(err)
		}
	})
}

// The process is paused while a target leaves. Requests right after the pause must
// wait for a response to a request made after it. Only if there is none within a
// second does the instance serve by its old view, as stale.
func TestResumedInstanceRefreshesBeforeServing(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 5, 1)
	f.run(3 * time.Second)
	o := f.nodes[2]
	o.suspended = true
	f.markLeaving("t1")
	f.run(5 * time.Second)
	o.view.Tick(f.now)
	is.Equal(o.view.Freshness(f.now), Waiting)
	is.True(!o.view.Draining("t1"))
	is.Equal(len(o.view.Members()), 3) // peers are not marked silent for the pause
	o.suspended = false
	f.run(10 * tickInterval)
	is.Equal(o.view.Freshness(f.now), Fresh)
	is.True(o.view.Draining("t1"))

	o.suspended = true
	f.run(5 * time.Second)
	o.suspended, o.group, o.listUnavailable = false, 1, true
	f.run(tickInterval)
	is.Equal(o.view.Freshness(f.now), Waiting)
	f.run(time.Second)
	is.Equal(o.view.Freshness(f.now), Stale)
}

// The response to a request made before the pause arrives after it. It has no
// information about the time of the pause and must not end the wait.
func TestResponseFromBeforePauseDoesNotEndWait(t *testing.T) {
	is := is.New(t)
	v := New(Config{Self: wire.Identity{Instance: "a"}}, rand.New(rand.NewPCG(1, 1)))
	v.Tick(0)
	v.Tick(10 * time.Second)
	v.HandleList(10*time.Second, 0, platform.InstanceList{}, 0)
	is.Equal(v.Freshness(10*time.Second), Waiting)
	v.HandleList(10*time.Second, 10*time.Second, platform.InstanceList{}, 0)
	is.Equal(v.Freshness(10*time.Second), Fresh)
}

// A response of a target's earlier incarnation arrives late, at this instance or at a
// peer that has not observed the new one. Neither may restore the earlier incarnation:
// requests would rely on a cache that is gone.
func TestEarlierIncarnationNeverComesBack(t *testing.T) {
	is := is.New(t)
	v := New(Config{Self: wire.Identity{Instance: "a"}}, rand.New(rand.NewPCG(1, 1)))
	v.ObserveIncarnation(0, "t", "i1")
	v.ObserveIncarnation(0, "t", "i2")
	v.ObserveIncarnation(0, "t", "i1")
	is.Equal(v.Incarnation("t"), "i2")
	v.Receive(0, wire.KindMemberUpdates, wire.MemberUpdates{Targets: []wire.TargetRecord{{Target: "t", Incarnation: "i1", Epoch: 7}}})
	is.Equal(v.Incarnation("t"), "i2")
	v.Receive(0, wire.KindMemberUpdates, wire.MemberUpdates{Targets: []wire.TargetRecord{{Target: "t", Incarnation: "i3", Epoch: 7, PastIncarnations: []string{"i2"}}}})
	is.Equal(v.Incarnation("t"), "i3")
	v.ObserveIncarnation(0, "t", "i2")
	is.Equal(v.Incarnation("t"), "i3")
}

// A peer reads an older list than this instance. That must neither make a leaving
// target live again nor a returned one leaving.
func TestOlderListIsIgnored(t *testing.T) {
	is := is.New(t)
	v := New(Config{Self: wire.Identity{Instance: "a"}}, rand.New(rand.NewPCG(1, 1)))
	handleList := func(ms int64, state platform.InstanceState) {
		v.HandleList(0, 0, platform.InstanceList{
			AsOf:      time.UnixMilli(ms),
			Instances: []platform.Instance{{ID: "t", Role: platform.RoleTarget, State: state}},
		}, 0)
	}
	handleList(10, platform.StateLeaving)
	handleList(5, platform.StateLive)
	is.True(v.Draining("t"))
	handleList(20, platform.StateLive)
	v.Receive(0, wire.KindMemberUpdates, wire.MemberUpdates{Targets: []wire.TargetRecord{{Target: "t", Draining: true, AsOfMillis: 15}}})
	is.True(!v.Draining("t"))
	v.HandleList(0, 0, platform.InstanceList{AsOf: time.UnixMilli(30)}, 0)
	is.True(v.Draining("t")) // no longer listed
}

// The platform replaces a paused instance by a new process under the same name. When
// the paused process resumes, it must learn that it was replaced and not claim the name.
func TestReplacedInstanceDetectsReplacement(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 1, 1)
	f.run(20 * time.Second)
	old := f.nodes[2].view
	f.start(2, 1) // its clock was set back
	f.run(5 * time.Second)
	is.NoErr(f.checkAgreement())
	old.Tick(f.now)
	for _, m := range f.nodes[0].view.Members() {
		old.Receive(f.now, wire.KindMemberUpdates, wire.MemberUpdates{Members: []wire.MemberRecord{m}})
	}
	is.True(old.Replaced())
	is.True(!f.nodes[2].view.Replaced())
}

// The process is paused with a ping in flight. The pause must not count as the peer's
// silence: otherwise many instances that resume together would mark each other silent.
func TestPauseDoesNotMarkPeersSilent(t *testing.T) {
	is := is.New(t)
	v := New(Config{Self: wire.Identity{Instance: "a"}}, rand.New(rand.NewPCG(1, 1)))
	v.mergeMember(0, wire.MemberRecord{Identity: wire.Identity{Instance: "b", Address: "b"}, Generation: 1})
	v.Tick(time.Second)
	v.Tick(10 * time.Second)
	is.Equal(len(v.Members()), 2)
}

// Whatever a peer sends, the view must not panic and must keep itself as a member.
func FuzzReceive(f *testing.F) {
	for kind, body := range map[wire.Kind]any{
		wire.KindMemberPing:    wire.MemberPing{From: wire.MemberRecord{Identity: wire.Identity{Instance: "b"}}, Digests: make([]uint32, wire.DigestBuckets)},
		wire.KindMemberUpdates: wire.MemberUpdates{Targets: []wire.TargetRecord{{Target: "t", Draining: true, AsOfMillis: 1}}},
	} {
		frame, _ := wire.NewFrame(0, kind, body)
		f.Add(string(kind), []byte(frame.Body))
	}
	f.Fuzz(func(t *testing.T, kind string, raw []byte) {
		v := New(Config{Self: wire.Identity{Instance: "a"}}, rand.New(rand.NewPCG(1, 1)))
		body, err := Decode(wire.Frame{Kind: wire.Kind(kind), Body: raw})
		if err != nil {
			return
		}
		v.Receive(0, wire.Kind(kind), body)
		v.Tick(time.Second)
		v.Ready()
		if m := v.Members(); len(m) == 0 {
			t.Fatal("own instance is no longer a member")
		}
	})
}
