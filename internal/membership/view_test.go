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

// A target is shown as leaving. Some instances are cut from the platform and
// one message in ten is lost. Within 3 s of the lagging list showing it, every
// instance gives it no new work: the cut-off ones hear it from their peers.
func TestLeavingTargetGetsNoWorkWithin3s(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(rt, "instances")
		f := newFleet(n, 20, rapid.Uint64().Draw(rt, "seed"))
		f.run(5 * time.Second)
		f.loss = 0.1
		for i := 1; i < n; i++ {
			f.nodes[i].listDown = rapid.IntRange(0, 3).Draw(rt, "list down") > 0
		}
		f.leaving("t3")
		f.run(listLag + 3*time.Second)
		for i, o := range f.nodes {
			if !o.v.Draining("t3") || o.v.Draining("t4") {
				rt.Fatalf("instance %d: t3 draining=%v t4 draining=%v", i, o.v.Draining("t3"), o.v.Draining("t4"))
			}
		}
	})
}

// Instances are killed, restarted with clocks that went back, frozen and
// thawed, and cut apart. Once that ends, all agree on who runs, and nobody
// takes an earlier process for its successor.
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
				o.frozen = !o.frozen
			case 3:
				o.group = 1 - o.group
			case 4:
				f.loss = 0.2
			}
			f.run(time.Duration(rapid.IntRange(0, 5000).Draw(rt, "ms")) * time.Millisecond)
		}
		f.loss = 0
		for _, o := range f.nodes {
			o.frozen, o.group = false, 0
		}
		f.run(20 * time.Second)
		if err := f.agree(); err != nil {
			rt.Fatal(err)
		}
	})
}

// The process is paused while a target leaves. Requests that come right after
// the pause wait until an answer asked for after it has come; only when nobody
// answers within a second does the instance serve what it knows, as stale.
func TestThawedInstanceRefreshesFirst(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 5, 1)
	f.run(3 * time.Second)
	o := f.nodes[2]
	o.frozen = true
	f.leaving("t1")
	f.run(5 * time.Second)
	o.v.Tick(f.now)
	is.Equal(o.v.Freshness(f.now), Waiting)
	is.True(!o.v.Draining("t1"))
	is.Equal(len(o.v.Members()), 3) // the pause is not the peers' silence
	o.frozen = false
	f.run(10 * step)
	is.Equal(o.v.Freshness(f.now), Fresh)
	is.True(o.v.Draining("t1"))

	o.frozen = true
	f.run(5 * time.Second)
	o.frozen, o.group, o.listDown = false, 1, true
	f.run(step)
	is.Equal(o.v.Freshness(f.now), Waiting)
	f.run(time.Second)
	is.Equal(o.v.Freshness(f.now), Stale)
}

// An answer to a question from before the pause comes in after it. It says
// nothing about the time of the pause and must not end the wait.
func TestLateAnswerDoesNotEndTheWait(t *testing.T) {
	is := is.New(t)
	v := New(Config{Self: wire.Identity{Instance: "a"}}, rand.New(rand.NewPCG(1, 1)))
	v.Tick(0)
	v.Tick(10 * time.Second)
	v.HandleList(10*time.Second, 0, platform.InstanceList{}, 0)
	is.Equal(v.Freshness(10*time.Second), Waiting)
	v.HandleList(10*time.Second, 10*time.Second, platform.InstanceList{}, 0)
	is.Equal(v.Freshness(10*time.Second), Fresh)
}

// An answer of a target's earlier incarnation arrives late, at this instance
// or at a peer that has not seen the new one. Neither brings it back: requests
// would count on a cache that is gone.
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

// A peer reads an older list than this instance has. It does not make a
// leaving target live again, nor a returned one leave.
func TestOlderListChangesNothing(t *testing.T) {
	is := is.New(t)
	v := New(Config{Self: wire.Identity{Instance: "a"}}, rand.New(rand.NewPCG(1, 1)))
	list := func(ms int64, state platform.InstanceState) {
		v.HandleList(0, 0, platform.InstanceList{
			AsOf:      time.UnixMilli(ms),
			Instances: []platform.Instance{{ID: "t", Role: platform.RoleTarget, State: state}},
		}, 0)
	}
	list(10, platform.StateLeaving)
	list(5, platform.StateLive)
	is.True(v.Draining("t"))
	list(20, platform.StateLive)
	v.Receive(0, wire.KindMemberUpdates, wire.MemberUpdates{Targets: []wire.TargetRecord{{Target: "t", Draining: true, AsOfMillis: 15}}})
	is.True(!v.Draining("t"))
	v.HandleList(0, 0, platform.InstanceList{AsOf: time.UnixMilli(30)}, 0)
	is.True(v.Draining("t")) // not listed any more
}

// The platform replaces a paused instance under the same name. When it thaws
// it learns that it was replaced; it does not fight for the name.
func TestReplacedInstanceKnows(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 1, 1)
	f.run(20 * time.Second)
	old := f.nodes[2].v
	f.start(2, 1) // its clock went back
	f.run(5 * time.Second)
	is.NoErr(f.agree())
	old.Tick(f.now)
	for _, m := range f.nodes[0].v.Members() {
		old.Receive(f.now, wire.KindMemberUpdates, wire.MemberUpdates{Members: []wire.MemberRecord{m}})
	}
	is.True(old.Replaced())
	is.True(!f.nodes[2].v.Replaced())
}

// The process is paused with a ping under way. The time of the pause does not
// count as the peer's silence: herds of thawed instances would otherwise call
// each other dead.
func TestPauseIsNotThePeersSilence(t *testing.T) {
	is := is.New(t)
	v := New(Config{Self: wire.Identity{Instance: "a"}}, rand.New(rand.NewPCG(1, 1)))
	v.learn(0, wire.MemberRecord{Identity: wire.Identity{Instance: "b", Address: "b"}, Generation: 1})
	v.Tick(time.Second)
	v.Tick(10 * time.Second)
	is.Equal(len(v.Members()), 2)
}

// Whatever a peer sends, the view takes it in without failing and still knows
// itself.
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
			t.Fatal("lost itself")
		}
	})
}
