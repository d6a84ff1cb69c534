package weights

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/propertytest"
)

func TestMain(m *testing.M) { propertytest.Main(m, 100) }

const (
	testTick = 100 * time.Millisecond
	testLoad = 800 * time.Millisecond
)

// target is a model server that takes orders.
type target struct {
	reg       directory.Registration
	version   int64
	accepted  int64
	loading   int64         // the version being loaded; 0 for none
	left      time.Duration // of the load
	loads     int
	silent    bool
	unanswers int // orders whose receipt is lost from now on
}

// world is targets and one planner that holds the lease.
type world struct {
	now       time.Duration
	targets   []*target
	planner   *Planner
	most      int
	late      []lateOrder
	oldest    int64
	deadlines []Deadline
	// lost is set while the planner's instance does not hold the lease.
	lost        bool
	unreachable map[string]bool
	// loadTime is what a load takes while at most so many as source are under
	// way; more share its rate.
	loadTime time.Duration
	source   int
}

type lateOrder struct {
	at time.Duration
	to *target
	o  Order
}

func newWorld(n int) *world {
	w := &world{planner: New(DefaultSettings()), loadTime: testLoad, source: n}
	for i := range n {
		w.targets = append(w.targets, &target{version: 1, reg: directory.Registration{
			ID: fmt.Sprintf("t%02d", i), Service: "s", Domain: fmt.Sprintf("d%d", i%3), Born: 1,
			State: directory.Ready, Versions: map[string]int64{"m": 1},
		}})
	}
	return w
}

func (t *target) take(o Order, load time.Duration) Receipt {
	switch {
	case o.ExpectedAccepted != t.accepted || t.loading != 0:
		return ReceiptConflict
	case t.version == o.Version:
		return ReceiptAlreadyLoaded
	}
	t.accepted++
	t.loading, t.left = o.Version, load
	t.loads++
	return ReceiptAccepted
}

func (w *world) regs() []directory.Registration {
	var out []directory.Registration
	for _, t := range w.targets {
		out = append(out, t.reg)
	}
	return out
}

func (w *world) find(id string) *target {
	for _, t := range w.targets {
		if t.reg.ID == id {
			return t
		}
	}
	return nil
}

// step moves the time on by one tick with the given goal.
func (w *world) step(version int64) {
	w.now += testTick
	for i := 0; i < len(w.late); i++ {
		if w.late[i].at <= w.now {
			w.late[i].to.take(w.late[i].o, w.loadTime)
			w.late = append(w.late[:i], w.late[i+1:]...)
			i--
		}
	}
	w.load()
	decide := w.planner.Tick
	if w.lost {
		decide = w.planner.TrackLoads
	}
	actions := decide(w.now, Goal{Service: "s", Model: "m", Version: version, OldestServing: w.oldest, Deadlines: w.deadlines, Unreachable: w.unreachable}, w.regs())
	for _, a := range actions.Queries {
		t := w.find(a.Target.ID)
		if t.silent {
			w.planner.HandleObservation(w.now, t.reg.Incarnation(), nil)
			continue
		}
		w.planner.HandleObservation(w.now, t.reg.Incarnation(), &Observation{
			QueriedAt: w.now, Versions: map[string]int64{"m": t.version}, Busy: t.loading != 0, AcceptedOrders: t.accepted,
		})
	}
	for _, s := range actions.Orders {
		w.deliver(s)
	}
}

// load moves the loads on by one tick.
func (w *world) load() {
	loading := 0
	for _, t := range w.targets {
		if t.loading != 0 {
			loading++
		}
	}
	step := testTick * time.Duration(w.source) / time.Duration(max(w.source, loading))
	for _, t := range w.targets {
		if t.loading == 0 {
			continue
		}
		if t.left -= step; t.left <= 0 {
			t.version, t.loading = t.loading, 0
		}
	}
	w.most = max(w.most, loading)
}

func (w *world) deliver(s OutgoingOrder) {
	t := w.find(s.Target.ID)
	if t.unanswers > 0 {
		t.unanswers--
		w.late = append(w.late, lateOrder{at: w.now + 3*time.Second, to: t, o: s.Order})
		return
	}
	w.planner.HandleReceipt(w.now, t.reg.Incarnation(), t.take(s.Order, w.loadTime))
}

// until steps until all targets serve the version, at most for the time.
func (w *world) until(version int64, limit time.Duration) bool {
	for end := w.now + limit; w.now < end; {
		w.step(version)
		done := true
		for _, t := range w.targets {
			done = done && t.version == version
		}
		if done {
			return true
		}
	}
	return false
}

// A version is named for twelve targets. All serve it in time, each loads
// once, and never more than a fourth is away at once.
func TestRolloutReachesAllTargets(t *testing.T) {
	is := is.New(t)
	w := newWorld(12)
	is.True(w.until(2, 8*time.Second))
	is.True(w.most <= 3)
	for _, x := range w.targets {
		is.Equal(x.loads, 1)
	}
}

// A second version is named in the middle of a rollout. Targets that have not
// begun go to the newest at once: loading the one between would be in vain.
func TestSupersededVersionIsSkipped(t *testing.T) {
	is := is.New(t)
	w := newWorld(12)
	for range 5 {
		w.step(2)
	}
	is.True(w.until(3, 10*time.Second))
	once := 0
	for _, x := range w.targets {
		if x.loads == 1 {
			once++
		}
	}
	is.Equal(once, 10)
}

// The answer to an order is lost, and the target carries it out seconds later,
// after it was ordered again. The count in the order makes the late one void:
// the target loads once.
func TestLateOrderIsVoid(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	w.targets[0].unanswers = 1
	is.True(w.until(2, 6*time.Second))
	for range 50 {
		w.step(2)
	}
	is.Equal(w.targets[0].loads, 1)
}

// A target restarts while it loads, with the version from before. It counts as
// new, is asked anew, and ordered again.
func TestTargetThatRestartsIsOrderedAgain(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	for range 5 {
		w.step(2)
	}
	x := w.targets[0]
	is.Equal(x.loading, int64(2))
	x.loading, x.accepted, x.reg.Born = 0, 0, 2
	is.True(w.until(2, 5*time.Second))
}

// Guards against targets that count as loading until the lease comes back,
// though they have loaded.
func TestFollowEndsLoadsOfLostLease(t *testing.T) {
	is := is.New(t)
	w := newWorld(12)
	for range 5 {
		w.step(2)
	}
	is.Equal(len(w.planner.LoadingTargets()), 2)
	w.lost = true
	for range 15 {
		w.step(2)
	}
	is.Equal(w.planner.LoadingTargets(), nil)
	is.Equal(w.targets[0].version, int64(2))
	is.Equal(w.targets[2].loads, 0) // nothing was ordered without the lease
}

// Guards against a second load of a fresh target while others still have the
// oldest weights.
func TestLoadedTargetCompetesAnew(t *testing.T) {
	is := is.New(t)
	w := newWorld(6)
	for range 6 {
		w.step(2) // two targets load version 2
	}
	behind := func(x *target) bool { return x.version == 1 }
	for slices.ContainsFunc(w.targets, behind) {
		w.step(3)
	}
	for _, x := range w.targets[:2] {
		is.Equal(x.loads, 1)
	}
}

// A target answers no questions. It holds up the others for a while only.
func TestSilentTargetDoesNotStopTheRollout(t *testing.T) {
	is := is.New(t)
	p := New(DefaultSettings())
	regs := []directory.Registration{
		{ID: "a", Service: "s", Versions: map[string]int64{"m": 1}},
		{ID: "b", Service: "s", Versions: map[string]int64{"m": 1}},
	}
	asked := map[string]bool{}
	for now := time.Duration(0); now < 6*time.Second; now += testTick {
		for _, a := range p.Tick(now, Goal{Service: "s", Model: "m", Version: 2}, regs).Queries {
			asked[a.Target.ID] = true
			p.HandleObservation(now, a.Target.Incarnation(), nil)
		}
	}
	is.True(asked["a"])
	is.True(asked["b"])
}

// Guards against a target that is kept from callers because the holder of the
// lease does not reach it.
func TestTargetWithoutAnswerGoesOnServing(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.targets[0].silent = true
	kept := 0
	for range 60 {
		w.step(2)
		if slices.Contains(w.planner.LoadingTargets(), "t00") {
			kept++
		}
	}
	is.True(kept <= 40) // 2 s of 3
	is.Equal(w.targets[1].version, int64(2))
}

// Targets are announced as about to load before they are ordered, so that
// requests are not sent there to be refused.
func TestTargetsAreAnnouncedBeforeTheOrder(t *testing.T) {
	is := is.New(t)
	w := newWorld(3)
	w.step(2)
	is.Equal(w.planner.LoadingTargets(), []string{"t00"})
	is.Equal(w.targets[0].accepted, int64(0))
	for range 4 {
		w.step(2)
	}
	is.Equal(w.targets[0].accepted, int64(1))
}

// mostlyExcluded is eight targets that get no requests any more, and four that
// serve a newer version.
func mostlyExcluded() (w *world, serve []*target) {
	w = newWorld(12)
	for i, x := range w.targets {
		if i%3 == 0 {
			x.version, x.reg.Versions["m"] = 2, 2
			serve = append(serve, x)
		}
	}
	w.oldest = 2
	return w, serve
}

// Guards against a rollout that takes away the last targets that serve while the
// excluded ones load, and against one that does not end in time.
func TestExcludedTargetsLoadTogetherBeforeThoseThatServe(t *testing.T) {
	is := is.New(t)
	w, serve := mostlyExcluded()
	w.deadlines = []Deadline{{Version: 3, At: 9 * time.Second}}
	excluded := func(x *target) bool { return x.version < 2 }
	for w.now < 2*time.Second && slices.ContainsFunc(w.targets, excluded) {
		w.step(3)
		for _, x := range serve {
			is.True(x.loads == 0 && !slices.Contains(w.planner.LoadingTargets(), x.reg.ID))
		}
	}
	is.Equal(w.most, 8)
	is.True(w.now < 2*time.Second) // the excluded ones are back
	is.True(w.until(3, 4*time.Second))
	is.True(w.most <= 8)
}

// Guards against targets that wait for the excluded ones past their own bound.
func TestServingTargetsLoadBesideExcludedOnesWhenTheirTimeIsShort(t *testing.T) {
	is := is.New(t)
	w, _ := mostlyExcluded()
	w.deadlines = []Deadline{{Version: 3, At: 3 * time.Second}}
	is.True(w.until(3, 2500*time.Millisecond))
	is.Equal(w.most, 12) // eight that are excluded, four of the others
}

// Guards against a few excluded targets that slow each other down and come back
// late together.
func TestFewExcludedTargetsTakeTurns(t *testing.T) {
	is := is.New(t)
	w := newWorld(20)
	for i, t := range w.targets {
		if i%3 != 0 {
			t.version, t.reg.Versions["m"] = 2, 2
		}
	}
	w.oldest = 2
	is.True(w.until(2, 4*time.Second))
	is.Equal(w.most, 5) // of seven
}

// Guards against a rollout that does not end in time at the pace that is best
// for callers.
func TestMoreLoadAtOnceWhenTimeIsShort(t *testing.T) {
	is := is.New(t)
	w := newWorld(12)
	for range 20 {
		w.step(2)
	}
	is.Equal(w.most, 2)
	w.deadlines = []Deadline{{Version: 2, At: w.now + 4*time.Second}}
	is.True(w.until(2, 4*time.Second))
	is.Equal(w.most, 4)
}

// Guards against targets that are kept from callers for seconds because their
// receipts were lost, though they carry out no order.
func TestTargetWithoutReceiptGoesOnServing(t *testing.T) {
	is := is.New(t)
	w := newWorld(12)
	for _, x := range w.targets {
		x.unanswers = 100
	}
	w.deadlines = []Deadline{{Version: 2, At: 9 * time.Second}}
	away := 0
	for range 60 {
		w.step(2)
		for _, id := range w.planner.LoadingTargets() {
			if w.find(id).loading == 0 {
				away++
			}
		}
	}
	is.True(away < 12*20) // under 2 s each
	is.True(w.until(2, 5*time.Second))
}

// Guards against unreachable targets that hold up the others.
func TestUnreachableTargetsHoldUpNobody(t *testing.T) {
	is := is.New(t)
	w := newWorld(12)
	w.unreachable = map[string]bool{"t00": true, "t01": true, "t02": true}
	for _, x := range w.targets[:3] {
		x.silent = true
	}
	for range 80 {
		w.step(2)
	}
	is.True(w.targets[11].version == 2 || w.targets[11].loading == 2)
}

// Guards against a rollout that waits for targets whose receipts are lost and
// that carry out their orders seconds later.
func TestUnansweredOrdersDoNotHoldUpTheOthers(t *testing.T) {
	is := is.New(t)
	w := newWorld(12)
	w.oldest = 2
	for _, x := range w.targets {
		x.unanswers = 100
	}
	is.True(w.until(2, 11*time.Second))
}

// Orders are lost at any target at any time, and versions are named one upon
// the other. In the end all targets serve the newest, and at no time do more
// load than may.
func TestRolloutConverges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 15).Draw(rt, "targets")
		w := newWorld(n)
		version := int64(1)
		for range rapid.IntRange(1, 4).Draw(rt, "versions") {
			version++
			for range rapid.IntRange(0, 40).Draw(rt, "steps") {
				if rapid.IntRange(0, 5).Draw(rt, "lose") == 0 {
					w.targets[rapid.IntRange(0, n-1).Draw(rt, "target")].unanswers = 1
				}
				w.step(version)
			}
		}
		if !w.until(version, time.Minute) {
			rt.Fatalf("not all targets serve version %d", version)
		}
	})
}
