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

// target is a simulated model server that carries out orders.
type target struct {
	registration directory.Registration
	version      int64
	accepted     int64
	loading      int64         // the version being loaded; 0 for none
	loadLeft     time.Duration // remaining time of the load
	loads        int
	silent       bool
	lostReceipts int // number of the next orders whose receipts are lost
}

// simulation runs targets and the planner of one instance.
type simulation struct {
	now           time.Duration
	targets       []*target
	planner       *Planner
	peakLoading   int
	lateOrders    []lateOrder
	oldestServing int64
	deadlines     []Deadline
	// leaseLost is set while the planner's instance does not hold the lease.
	leaseLost   bool
	unreachable map[string]bool
	// loadTime is the duration of a load while at most sourceCapacity targets
	// load. More of them share that capacity.
	loadTime       time.Duration
	sourceCapacity int
}

type lateOrder struct {
	arrivesAt time.Duration
	target    *target
	order     Order
}

func newSimulation(n int) *simulation {
	sim := &simulation{planner: New(DefaultSettings()), loadTime: testLoad, sourceCapacity: n}
	for i := range n {
		sim.targets = append(sim.targets, &target{version: 1, registration: directory.Registration{
			ID: fmt.Sprintf("t%02d", i), Service: "s", Domain: fmt.Sprintf("d%d", i%3), StartedMs: 1,
			State: directory.Ready, Versions: map[string]int64{"m": 1},
		}})
	}
	return sim
}

func (t *target) handleOrder(o Order, load time.Duration) Receipt {
	switch {
	case o.ExpectedAccepted != t.accepted || t.loading != 0:
		return ReceiptConflict
	case t.version == o.Version:
		return ReceiptAlreadyLoaded
	}
	t.accepted++
	t.loading, t.loadLeft = o.Version, load
	t.loads++
	return ReceiptAccepted
}

func (sim *simulation) registrations() []directory.Registration {
	var out []directory.Registration
	for _, t := range sim.targets {
		out = append(out, t.registration)
	}
	return out
}

func (sim *simulation) find(id string) *target {
	for _, t := range sim.targets {
		if t.registration.ID == id {
			return t
		}
	}
	return nil
}

// step advances time by one tick with the given goal.
func (sim *simulation) step(version int64) {
	sim.now += testTick
	for i := 0; i < len(sim.lateOrders); i++ {
		if sim.lateOrders[i].arrivesAt <= sim.now {
			sim.lateOrders[i].target.handleOrder(sim.lateOrders[i].order, sim.loadTime)
			sim.lateOrders = append(sim.lateOrders[:i], sim.lateOrders[i+1:]...)
			i--
		}
	}
	sim.advanceLoads()
	decide := sim.planner.Tick
	if sim.leaseLost {
		decide = sim.planner.TrackLoads
	}
	actions := decide(sim.now, Goal{Service: "s", Model: "m", Version: version, OldestServing: sim.oldestServing, Deadlines: sim.deadlines, Unreachable: sim.unreachable}, sim.registrations())
	for _, a := range actions.Queries {
		t := sim.find(a.Target.ID)
		if t.silent {
			sim.planner.HandleObservation(sim.now, t.registration.Incarnation(), nil)
			continue
		}
		sim.planner.HandleObservation(sim.now, t.registration.Incarnation(), &Observation{
			QueriedAt: sim.now, Versions: map[string]int64{"m": t.version}, Busy: t.loading != 0, AcceptedOrders: t.accepted,
		})
	}
	for _, s := range actions.Orders {
		sim.deliverOrder(s)
	}
}

// advanceLoads advances the loads by one tick.
func (sim *simulation) advanceLoads() {
	loading := 0
	for _, t := range sim.targets {
		if t.loading != 0 {
			loading++
		}
	}
	step := testTick * time.Duration(sim.sourceCapacity) / time.Duration(max(sim.sourceCapacity, loading))
	for _, t := range sim.targets {
		if t.loading == 0 {
			continue
		}
		if t.loadLeft -= step; t.loadLeft <= 0 {
			t.version, t.loading = t.loading, 0
		}
	}
	sim.peakLoading = max(sim.peakLoading, loading)
}

func (sim *simulation) deliverOrder(s OutgoingOrder) {
	t := sim.find(s.Target.ID)
	if t.lostReceipts > 0 {
		t.lostReceipts--
		sim.lateOrders = append(sim.lateOrders, lateOrder{arrivesAt: sim.now + 3*time.Second, target: t, order: s.Order})
		return
	}
	sim.planner.HandleReceipt(sim.now, t.registration.Incarnation(), t.handleOrder(s.Order, sim.loadTime))
}

// stepUntilServed steps until all targets serve the version, for at most the
// limit. It reports whether they do.
func (sim *simulation) stepUntilServed(version int64, limit time.Duration) bool {
	for end := sim.now + limit; sim.now < end; {
		sim.step(version)
		done := true
		for _, t := range sim.targets {
			done = done && t.version == version
		}
		if done {
			return true
		}
	}
	return false
}

// A version is named for twelve targets. All must serve it in time, each must
// load once, and at most a fourth may load at the same time.
func TestRolloutReachesAllTargets(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(12)
	is.True(sim.stepUntilServed(2, 8*time.Second))
	is.True(sim.peakLoading <= 3)
	for _, x := range sim.targets {
		is.Equal(x.loads, 1)
	}
}

// A second version is named in the middle of a rollout. Targets that have not
// begun must load only the newest: loading the superseded version would be
// wasted work.
func TestSupersededVersionIsSkipped(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(12)
	for range 5 {
		sim.step(2)
	}
	is.True(sim.stepUntilServed(3, 10*time.Second))
	once := 0
	for _, x := range sim.targets {
		if x.loads == 1 {
			once++
		}
	}
	is.Equal(once, 10)
}

// The answer to an order is lost, and the target receives the order seconds
// later, after another was sent. The expected count in the late one must make
// it void, so that the target loads once.
func TestLateOrderIsVoid(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1)
	sim.targets[0].lostReceipts = 1
	is.True(sim.stepUntilServed(2, 6*time.Second))
	for range 50 {
		sim.step(2)
	}
	is.Equal(sim.targets[0].loads, 1)
}

// A target restarts while it loads and has the old version. It must count as
// new, be queried again and be ordered again.
func TestTargetThatRestartsIsOrderedAgain(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1)
	for range 5 {
		sim.step(2)
	}
	x := sim.targets[0]
	is.Equal(x.loading, int64(2))
	x.loading, x.accepted, x.registration.StartedMs = 0, 0, 2
	is.True(sim.stepUntilServed(2, 5*time.Second))
}

// Guards against targets that count as loading until the lease comes back,
// though they have loaded.
func TestTrackLoadsEndsLoadsAfterLostLease(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(12)
	for range 5 {
		sim.step(2)
	}
	is.Equal(len(sim.planner.LoadingTargets()), 2)
	sim.leaseLost = true
	for range 15 {
		sim.step(2)
	}
	is.Equal(sim.planner.LoadingTargets(), nil)
	is.Equal(sim.targets[0].version, int64(2))
	is.Equal(sim.targets[2].loads, 0) // nothing was ordered without the lease
}

// Guards against a second load of a target with newer weights while others
// still have the oldest.
func TestOldestTargetsLoadFirst(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(6)
	for range 6 {
		sim.step(2) // two targets load version 2
	}
	behind := func(x *target) bool { return x.version == 1 }
	for slices.ContainsFunc(sim.targets, behind) {
		sim.step(3)
	}
	for _, x := range sim.targets[:2] {
		is.Equal(x.loads, 1)
	}
}

// A target that answers no queries must hold up the others only for a while.
func TestSilentTargetDoesNotStopRollout(t *testing.T) {
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

// Guards against a target that gets no requests because the holder of the lease
// cannot reach it.
func TestTargetWithoutAnswerGoesOnServing(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(2)
	sim.targets[0].silent = true
	loadingSteps := 0
	for range 60 {
		sim.step(2)
		if slices.Contains(sim.planner.LoadingTargets(), "t00") {
			loadingSteps++
		}
	}
	is.True(loadingSteps <= 40) // 2 s of every 3 s
	is.Equal(sim.targets[1].version, int64(2))
}

// Targets must be announced as about to load before they are ordered, so that
// no requests are sent there only to be refused.
func TestTargetsAreAnnouncedBeforeTheOrder(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(3)
	sim.step(2)
	is.Equal(sim.planner.LoadingTargets(), []string{"t00"})
	is.Equal(sim.targets[0].accepted, int64(0))
	for range 4 {
		sim.step(2)
	}
	is.Equal(sim.targets[0].accepted, int64(1))
}

// mostlyExcluded returns eight targets that are excluded and four that serve a
// newer version.
func mostlyExcluded() (sim *simulation, serve []*target) {
	sim = newSimulation(12)
	for i, x := range sim.targets {
		if i%3 == 0 {
			x.version, x.registration.Versions["m"] = 2, 2
			serve = append(serve, x)
		}
	}
	sim.oldestServing = 2
	return sim, serve
}

// Guards against a rollout that loads the last serving targets while the
// excluded ones load, and against one that does not end in time.
func TestExcludedTargetsLoadTogetherBeforeThoseThatServe(t *testing.T) {
	is := is.New(t)
	sim, serve := mostlyExcluded()
	sim.deadlines = []Deadline{{Version: 3, At: 9 * time.Second}}
	excluded := func(x *target) bool { return x.version < 2 }
	for sim.now < 2*time.Second && slices.ContainsFunc(sim.targets, excluded) {
		sim.step(3)
		for _, x := range serve {
			is.True(x.loads == 0 && !slices.Contains(sim.planner.LoadingTargets(), x.registration.ID))
		}
	}
	is.Equal(sim.peakLoading, 8)
	is.True(sim.now < 2*time.Second) // the excluded ones are back
	is.True(sim.stepUntilServed(3, 4*time.Second))
	is.True(sim.peakLoading <= 8)
}

// Guards against targets that wait for the excluded ones until after their own
// deadline.
func TestServingTargetsLoadBesideExcludedOnesWhenDeadlineIsNear(t *testing.T) {
	is := is.New(t)
	sim, _ := mostlyExcluded()
	sim.deadlines = []Deadline{{Version: 3, At: 3 * time.Second}}
	is.True(sim.stepUntilServed(3, 2500*time.Millisecond))
	is.Equal(sim.peakLoading, 12) // eight that are excluded, four of the others
}

// Guards against a few excluded targets that load at the same time, slow each
// other down and all come back late.
func TestFewExcludedTargetsTakeTurns(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(20)
	for i, t := range sim.targets {
		if i%3 != 0 {
			t.version, t.registration.Versions["m"] = 2, 2
		}
	}
	sim.oldestServing = 2
	is.True(sim.stepUntilServed(2, 4*time.Second))
	is.Equal(sim.peakLoading, 5) // of seven
}

// Guards against a rollout that misses a deadline because it keeps to the usual
// number of loads.
func TestMoreTargetsLoadWhenDeadlineIsNear(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(12)
	for range 20 {
		sim.step(2)
	}
	is.Equal(sim.peakLoading, 2)
	sim.deadlines = []Deadline{{Version: 2, At: sim.now + 4*time.Second}}
	is.True(sim.stepUntilServed(2, 4*time.Second))
	is.Equal(sim.peakLoading, 4)
}

// Guards against targets that get no requests for seconds because their
// receipts were lost, though they carry out no order.
func TestTargetWithoutReceiptGoesOnServing(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(12)
	for _, x := range sim.targets {
		x.lostReceipts = 100
	}
	sim.deadlines = []Deadline{{Version: 2, At: 9 * time.Second}}
	idleSteps := 0
	for range 60 {
		sim.step(2)
		for _, id := range sim.planner.LoadingTargets() {
			if sim.find(id).loading == 0 {
				idleSteps++
			}
		}
	}
	is.True(idleSteps < 12*20) // under 2 s each
	is.True(sim.stepUntilServed(2, 5*time.Second))
}

// Guards against unreachable targets that hold up the others.
func TestUnreachableTargetsDoNotHoldUpOthers(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(12)
	sim.unreachable = map[string]bool{"t00": true, "t01": true, "t02": true}
	for _, x := range sim.targets[:3] {
		x.silent = true
	}
	for range 80 {
		sim.step(2)
	}
	is.True(sim.targets[11].version == 2 || sim.targets[11].loading == 2)
}

// Guards against a rollout that waits for targets whose receipts are lost and
// that receive their orders seconds later.
func TestUnansweredOrdersDoNotHoldUpTheOthers(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(12)
	sim.oldestServing = 2
	for _, x := range sim.targets {
		x.lostReceipts = 100
	}
	is.True(sim.stepUntilServed(2, 11*time.Second))
}

// Orders are lost at any target at any time, and versions are named in quick
// succession. In the end all targets must serve the newest version.
func TestRolloutConverges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 15).Draw(rt, "targets")
		sim := newSimulation(n)
		version := int64(1)
		for range rapid.IntRange(1, 4).Draw(rt, "versions") {
			version++
			for range rapid.IntRange(0, 40).Draw(rt, "steps") {
				if rapid.IntRange(0, 5).Draw(rt, "lose") == 0 {
					sim.targets[rapid.IntRange(0, n-1).Draw(rt, "target")].lostReceipts = 1
				}
				sim.step(version)
			}
		}
		if !sim.stepUntilServed(version, time.Minute) {
			rt.Fatalf("not all targets serve version %d", version)
		}
	})
}

// Guards against a load that begins while the runs of its target are being moved, and against one
// that waits for runs which can't be moved.
func TestOrderLeavesRunsTimeToMove(t *testing.T) {
	for _, c := range []struct {
		name     string
		moveTime time.Duration
		// runningUntil is when the last run has moved.
		runningUntil time.Duration
		// orderedFrom and orderedBy bound the time of the order.
		orderedFrom, orderedBy time.Duration
	}{
		{"no moves", 0, time.Hour, 300 * time.Millisecond, 400 * time.Millisecond},
		{"nothing runs", 500 * time.Millisecond, 0, 300 * time.Millisecond, 400 * time.Millisecond},
		{"runs have moved", 500 * time.Millisecond, 450 * time.Millisecond, 450 * time.Millisecond, 800 * time.Millisecond},
		{"runs stay", 500 * time.Millisecond, time.Hour, 800 * time.Millisecond, 900 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p, targets := New(DefaultSettings()), newSimulation(1).registrations()
			goal := Goal{Service: "s", Model: "m", Version: 2, MoveTime: c.moveTime}
			ordered := time.Duration(-1)
			for now := time.Duration(0); ordered < 0 && now < 2*time.Second; now += testTick {
				actions := p.Tick(now, goal, targets)
				for range actions.Queries {
					o := &Observation{QueriedAt: now, Versions: map[string]int64{"m": 1}}
					if now < c.runningUntil {
						o.RunningRequests = 1
					}
					p.HandleObservation(now, targets[0].Incarnation(), o)
				}
				if len(actions.Orders) > 0 {
					ordered = now
				}
			}
			is.True(ordered >= c.orderedFrom)
			is.True(ordered <= c.orderedBy)
		})
	}
}

// Guards against moving runs to a target that has to give them up next.
func TestNextToLoadIsWhatThePlannerChooses(t *testing.T) {
	is := is.New(t)
	targets := newSimulation(30).registrations()
	p, loading := New(DefaultSettings()), map[string]bool{}
	goal := Goal{Service: "s", Model: "m", Version: 2}
	for range 3 { // later ones aren't bounded by the usual number alone
		next := NextToLoad(targets, "m", 2, loading)
		is.Equal(len(next), 6)
		p.Tick(0, goal, targets)
		for _, id := range p.LoadingTargets() {
			if !loading[id] {
				is.True(next[id])
				loading[id] = true
			}
		}
		for id := range loading { // they have loaded
			for i := range targets {
				if targets[i].ID == id {
					targets[i].Versions = map[string]int64{"m": 2}
				}
			}
		}
		is.Equal(len(loading)%6, 0)
	}
	is.Equal(len(NextToLoad(targets, "m", 1, nil)), 0)
}
