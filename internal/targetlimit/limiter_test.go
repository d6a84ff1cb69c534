package targetlimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/directory"
)

const ms = time.Millisecond

var testTarget = Target{Incarnation: directory.Incarnation{ID: "one", StartedMs: 1}, Service: "desk"}

// withSlots returns testTarget with a number of slots.
func withSlots(n int) Target {
	t := testTarget
	t.Slots = n
	return t
}

// slotShare returns how many of the slots of testTarget an instance may use.
func slotShare(l *Limiter, now time.Duration, slots int) int {
	if limit, limited := l.MaxInFlight(now, withSlots(slots)); limited {
		return limit
	}
	return slots
}

// newSingleInstance returns a limiter that knows that it is the only instance.
func newSingleInstance() *Limiter {
	l := New(-takeoverDelay, "a")
	l.SetFleet(0, []string{"a"}, true)
	return l
}

func TestLimitHoldsUntilTargetStatesAnother(t *testing.T) {
	is := is.New(t)
	l := newSingleInstance()
	is.True(!l.Observe(0, 0, testTarget, Limit{Rate: 0}))
	is.True(l.CanSend(0, testTarget.Incarnation))
	is.True(l.Observe(ms, 0, testTarget, Limit{Rate: 2}))
	is.True(!l.CanSend(ms, testTarget.Incarnation))
	is.True(!l.Observe(2*ms, 0, testTarget, Limit{Rate: 0})) // sent before the limit was known
	is.True(!l.CanSend(2*ms, testTarget.Incarnation))
	is.True(l.Observe(time.Minute, time.Minute, testTarget, Limit{Rate: 0}))
	is.True(l.CanSend(time.Minute, testTarget.Incarnation))
}

func TestSenderKeepsItsShareOfTheLimit(t *testing.T) {
	is := is.New(t)
	l := newSingleInstance()
	l.Observe(0, 0, testTarget, Limit{Rate: 2})
	sent := 0
	for now := time.Duration(0); now < 12*time.Second; now += ms {
		if l.CanSend(now, testTarget.Incarnation) {
			l.RecordSend(now, testTarget.Incarnation)
			sent++
		}
	}
	is.Equal(sent, 20) // 2 per second after the first 1.5 s, with at most one request saved up
	is.True(l.CanSend(time.Hour, testTarget.Incarnation))
	l.RecordSend(time.Hour, testTarget.Incarnation)
	is.True(!l.CanSend(time.Hour, testTarget.Incarnation))
}

// Guards against instances that receive changes in different orders and end up
// with different limits for good.
func TestLastChangeCountsAtAllInstances(t *testing.T) {
	is := is.New(t)
	a, b, c := newSingleInstance(), newSingleInstance(), newSingleInstance()
	a.Observe(0, 0, testTarget, Limit{Rate: 2})
	b.ApplyReports(0, a.Reports())
	b.Observe(time.Second, time.Second, testTarget, Limit{Rate: 5})
	c.ApplyReports(0, b.Reports())
	c.ApplyReports(0, a.Reports())
	a.ApplyReports(0, b.Reports())
	for _, l := range []*Limiter{a, b, c} {
		is.Equal(l.targets[testTarget.Incarnation].Rate, 5.0)
	}
	// Two concurrent changes: the stricter limit wins.
	a.Observe(2*time.Second, 2*time.Second, testTarget, Limit{Rate: 0})
	b.Observe(2*time.Second, 2*time.Second, testTarget, Limit{Rate: 7})
	reportsA, reportsB := a.Reports(), b.Reports()
	a.ApplyReports(0, reportsB)
	b.ApplyReports(0, reportsA)
	is.Equal(a.targets[testTarget.Incarnation].Rate, 7.0)
	is.Equal(b.targets[testTarget.Incarnation].Rate, 7.0)
}

// Guards against a leaving sender that keeps sending next to its replacement.
func TestLeavingInstanceSendsNothing(t *testing.T) {
	is := is.New(t)
	l := newSingleInstance()
	l.Observe(0, 0, testTarget, Limit{Rate: 2})
	is.True(l.CanSend(time.Minute, testTarget.Incarnation))
	l.SetFleet(time.Minute, []string{"b"}, true)
	is.True(!l.CanSend(2*time.Minute, testTarget.Incarnation))
}

func TestTargetThatIsGoneIsForgotten(t *testing.T) {
	is := is.New(t)
	l := newSingleInstance()
	l.Observe(0, 0, testTarget, Limit{Rate: 2})
	l.Retain(func(directory.Incarnation) bool { return false })
	is.True(l.CanSend(0, testTarget.Incarnation))
	is.Equal(len(l.Reports()), 0)
}

// Guards against targets that fall over because the instances together are rejected more often
// than the target can bear.
func TestInstancesStayWithinTheRejectionsOfATarget(t *testing.T) {
	is := is.New(t)
	const rejections, slots = 3.0, 10
	names := []string{"a", "b", "c", "d"}
	var limiters []*Limiter
	maxInFlight := func(now time.Duration, slots int) (sum int) {
		for _, l := range limiters {
			limit, limited := l.MaxInFlight(now, withSlots(slots))
			is.True(limited)
			sum += limit
		}
		return sum
	}
	for _, name := range names {
		l := New(-takeoverDelay, name)
		l.SetFleet(0, names, true)
		_, limited := l.MaxInFlight(0, withSlots(slots))
		is.True(limited) // until an answer has told
		is.True(l.Observe(0, 0, testTarget, Limit{Rejections: rejections}))
		limiters = append(limiters, l)
	}
	is.Equal(maxInFlight(0, slots), slots)
	is.Equal(maxInFlight(0, 1), 1)
	var rejectedAt []time.Duration
	now := time.Duration(0)
	for ; now < time.Minute; now += ms {
		for _, l := range limiters { // the target rejects everything
			if limit, _ := l.MaxInFlight(now, withSlots(slots)); limit > 0 && l.CanSend(now, testTarget.Incarnation) {
				l.RecordSend(now, testTarget.Incarnation)
				l.RecordRejection(now, now, withSlots(slots))
				rejectedAt = append(rejectedAt, now)
			}
		}
		if now%(300*ms) == 0 {
			for _, l := range limiters {
				for _, peer := range limiters {
					l.ApplyReports(now, peer.Reports())
				}
			}
		}
	}
	perSecond := float64(len(rejectedAt)) / time.Minute.Seconds()
	is.True(perSecond <= rejections+float64(len(names))/time.Minute.Seconds())
	is.True(perSecond > rejections/4) // they do try again
	is.True(maxInFlight(now, slots) < len(names))
	now += slots * roomRecoveryInterval
	is.Equal(maxInFlight(now, slots), slots)
	permissions := limiters[0].LimitedTargets(time.Hour, "desk", slices.Values([]Target{testTarget}))
	is.Equal(permissions[testTarget.Incarnation], Permission{CanSend: true, ShareSlots: true})
	is.True(limiters[0].Observe(time.Hour, time.Hour, testTarget, Limit{}))
	is.Equal(len(limiters[0].LimitedTargets(time.Hour, "desk", slices.Values([]Target{testTarget}))), 0)
}

// Guards against rejections that lower the room once for each of several instances that saw the
// same shortage, and against older reports that undo a change.
func TestRoomAfterConcurrentRejections(t *testing.T) {
	is := is.New(t)
	const slots = 8
	a, b := newSingleInstance(), newSingleInstance()
	for _, l := range []*Limiter{a, b} {
		l.Observe(0, 0, testTarget, Limit{Rejections: 3})
		l.RecordRejection(2*ms, ms, withSlots(slots))
		l.RecordRejection(3*ms, ms, withSlots(slots)) // sent before the first one was known
		is.Equal(slotShare(l, 3*ms, slots), slots/2)
	}
	old := a.Reports()
	a.ApplyReports(4*ms, b.Reports())
	is.Equal(slotShare(a, 4*ms, slots), slots/2)
	a.RecordRejection(6*ms, 5*ms, withSlots(slots))
	is.Equal(slotShare(a, 6*ms, slots), slots/4)
	b.ApplyReports(7*ms, a.Reports())
	b.ApplyReports(7*ms, old)
	is.Equal(slotShare(b, 7*ms, slots), slots/4)
	is.Equal(slotShare(b, 7*ms+2*roomRecoveryInterval, slots), slots/4+2)
	is.Equal(slotShare(b, time.Hour, slots), slots)
}

// Guards against requests that are given up and sent again while a silent target still has them.
func TestAbandonedRequestsTakeRoomUntilTheTargetHasSeenIt(t *testing.T) {
	is := is.New(t)
	const slots = 4
	l := newSingleInstance()
	l.Observe(0, 0, testTarget, Limit{})
	is.True(!l.Abandon(0, testTarget)) // it bears any number of rejections
	l.Observe(0, 0, testTarget, Limit{Rejections: 2})
	for held := 1; held <= slots+1; held++ {
		is.True(l.Abandon(0, testTarget))
		is.Equal(slotShare(l, time.Hour, slots), max(0, slots-held))
	}
	for held := slots; held >= 0; held-- {
		l.Release(testTarget.Incarnation)
		is.Equal(slotShare(l, time.Hour, slots), slots-held)
	}
	l.Release(testTarget.Incarnation)
	is.Equal(slotShare(l, time.Hour, slots), slots)
}

const (
	simStep = 5 * ms
	// simReportInterval is the time between two reports of an instance;
	// simMembershipDelay bounds how late an instance learns of a change of the
	// fleet.
	simReportInterval  = 325 * ms
	simMembershipDelay = time.Second
	simResponseTime    = 20 * ms
	// simWindow, simFactor and simSlack bound the requests that a target gets from
	// processes that have known its limit for at least simLimitNotice. The bound
	// holds from simSettleTime after the limit was first stated and after the
	// start of the sending process.
	simWindow      = 4 * time.Second
	simFactor      = 1.5
	simSlack       = 5
	simLimitNotice = 500 * ms
	simSettleTime  = 3 * time.Second
)

// simProcess is one incarnation of an instance.
type simProcess struct {
	limiter        *Limiter
	startedAt      time.Duration
	limitedAt      time.Duration   // when the first answer with a limit arrived; 0 if none has
	pendingAnswers []time.Duration // send times of the requests that are not answered yet
}

// simInstance sends to the target whenever it has a request and is allowed to.
type simInstance struct {
	*simProcess
	name string
	down bool
	// views are the membership views that it has yet to receive.
	views []simView
}

type simView struct {
	at    time.Duration
	names []string
}

type simArrival struct {
	at   time.Duration
	from *simProcess
}

// simFleet is a set of instances that share one target.
type simFleet struct {
	now       time.Duration
	rng       *rand.Rand
	instances []*simInstance
	rate      float64 // limit that the target states; 0 for none
	demand    float64 // requests per second over all instances
	statedAt  time.Duration
	arrivals  []simArrival
}

func newSimFleet(n int, demand float64) *simFleet {
	f := &simFleet{rng: rand.New(rand.NewPCG(uint64(n), 7)), demand: demand}
	f.join(n)
	for _, x := range f.instances {
		x.limiter.SetFleet(0, f.names(), true)
	}
	return f
}

// setTargetLimit makes the target state a limit from now on.
func (f *simFleet) setTargetLimit(rate float64) { f.rate, f.statedAt = rate, f.now }

func (f *simFleet) names() []string {
	var out []string
	for _, x := range f.instances {
		if !x.down {
			out = append(out, x.name)
		}
	}
	return out
}

// join adds instances; the others learn of them after a delay.
func (f *simFleet) join(n int) {
	for range n {
		x := &simInstance{name: fmt.Sprintf("n%03d", len(f.instances))}
		f.instances = append(f.instances, x)
		f.start(x)
	}
	f.publishMembership()
}

func (f *simFleet) start(x *simInstance) {
	x.simProcess = &simProcess{limiter: New(f.now, x.name), startedAt: f.now}
}

func (f *simFleet) leave(names []string) {
	for _, x := range f.instances {
		x.down = x.down || slices.Contains(names, x.name)
	}
	f.publishMembership()
}

// restart replaces processes by new ones without any state.
func (f *simFleet) restart(names []string) {
	for _, x := range f.instances {
		if slices.Contains(names, x.name) {
			f.start(x)
		}
	}
	f.publishMembership()
}

func (f *simFleet) publishMembership() {
	names := f.names()
	for _, x := range f.instances {
		x.views = append(x.views, simView{at: f.now + time.Duration(f.rng.Int64N(int64(simMembershipDelay))), names: names})
	}
}

func (f *simFleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += simStep {
		if f.now%simReportInterval < simStep {
			f.exchangeReports()
		}
		up := len(f.names())
		for _, x := range f.instances {
			if !x.down {
				f.step(x, f.demand*simStep.Seconds()/float64(up))
			}
		}
	}
}

func (f *simFleet) exchangeReports() {
	for _, x := range f.instances {
		for _, y := range f.instances {
			if x != y && !x.down && !y.down {
				y.limiter.ApplyReports(f.now, x.limiter.Reports())
			}
		}
	}
}

// step delivers what is due to an instance and sends a request if it has one and
// is allowed to.
func (f *simFleet) step(x *simInstance, probability float64) {
	for len(x.views) > 0 && x.views[0].at <= f.now {
		x.limiter.SetFleet(f.now, x.views[0].names, true)
		x.views = x.views[1:]
	}
	for len(x.pendingAnswers) > 0 && x.pendingAnswers[0]+simResponseTime <= f.now {
		x.limiter.Observe(f.now, x.pendingAnswers[0], testTarget, Limit{Rate: f.rate})
		if f.rate > 0 && x.limitedAt == 0 {
			x.limitedAt = f.now
		}
		x.pendingAnswers = x.pendingAnswers[1:]
	}
	if f.rng.Float64() < probability && x.limiter.CanSend(f.now, testTarget.Incarnation) {
		x.limiter.RecordSend(f.now, testTarget.Incarnation)
		x.pendingAnswers = append(x.pendingAnswers, f.now)
		f.arrivals = append(f.arrivals, simArrival{at: f.now, from: x.simProcess})
	}
}

// maxInWindow returns the most requests that the target received within
// simWindow from processes to which the bound applies.
func (f *simFleet) maxInWindow() int {
	most := 0
	for i, last := range f.arrivals {
		if last.at < f.statedAt+simSettleTime {
			continue
		}
		n := 0
		for _, a := range f.arrivals[:i+1] {
			p := a.from
			// The bound does not apply to a process that has just started.
			stable := p.startedAt == 0 || p.startedAt+simSettleTime <= a.at
			if last.at-a.at < simWindow && p.limitedAt > 0 && p.limitedAt+simLimitNotice <= last.at && stable {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against a fleet that together exceeds a target's limit, including while
// instances start, join and leave, and against one that leaves the target idle.
func TestFleetKeepsTheLimit(t *testing.T) {
	for _, n := range []int{1, 6, 61} {
		for _, rate := range []float64{0.4, 1.8, 7, 40} {
			t.Run(fmt.Sprintf("%d instances, %v a second", n, rate), func(t *testing.T) {
				is := is.New(t)
				allowed := int(simFactor*rate*simWindow.Seconds()) + simSlack
				f := newSimFleet(n, 4+1.5*rate)
				f.run(5 * time.Second)
				f.setTargetLimit(rate)
				f.run(10 * time.Second)
				arrivalsBefore := len(f.arrivals)
				f.demand = 10*rate + 5*float64(n) // every instance has several requests per second
				f.run(20 * time.Second)
				is.True(float64(len(f.arrivals)-arrivalsBefore) >= 0.7*rate*20) // the target is not left idle
				f.join(max(1, n/2))
				f.run(3 * time.Second)
				f.restart(f.names()[:max(1, n/2)])
				f.run(3 * time.Second)
				f.leave(f.names()[:n/3])
				f.run(3 * time.Second)
				f.restart(f.names())
				f.run(10 * time.Second)
				t.Logf("most in a window %d, allowed %d", f.maxInWindow(), allowed)
				is.True(f.maxInWindow() <= allowed)
			})
		}
	}
}

// roomSim is a target that states how many rejections it can bear, and the instances that send to
// it whenever they may.
type roomSim struct {
	room, running int
	instances     []*roomSimInstance
	rejectedAt    []time.Duration
	served        int
}

type roomSimInstance struct {
	*Limiter
	startsAt time.Duration
	inFlight int
	answers  []roomSimAnswer
	// reports are those under way to this instance.
	reports []roomSimReports
}

type roomSimAnswer struct {
	at, sentAt time.Duration
	rejected   bool
}

type roomSimReports struct {
	at      time.Duration
	reports []Report
}

const (
	roomSimSlots   = 8 // as registered
	roomSimHold    = 40 * ms
	roomSimLatency = 5 * ms
	// roomSimMinDelay and roomSimMaxDelay bound the age at which reports arrive.
	roomSimMinDelay, roomSimMaxDelay = 50 * ms, 650 * ms
	roomSimRejections                = 3.0
)

func newRoomSim(n, room int) *roomSim {
	s := &roomSim{room: room}
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("n%03d", i))
	}
	for _, name := range names {
		l := New(-takeoverDelay, name)
		l.SetFleet(0, names, true)
		s.instances = append(s.instances, &roomSimInstance{Limiter: l})
	}
	return s
}

func (s *roomSim) run(duration time.Duration, rng *rand.Rand) {
	for now := time.Duration(0); now < duration; now += simStep {
		if now%simReportInterval < simStep {
			for _, x := range s.instances {
				reports := x.Reports()
				for _, y := range s.instances {
					at := now + roomSimMinDelay + time.Duration(rng.Int64N(int64(roomSimMaxDelay-roomSimMinDelay)))
					y.reports = append(y.reports, roomSimReports{at: at, reports: reports})
				}
			}
		}
		for _, i := range rng.Perm(len(s.instances)) {
			if x := s.instances[i]; now >= x.startsAt {
				s.step(now, x)
			}
		}
	}
}

// step delivers what is due to an instance and sends as much as it may.
func (s *roomSim) step(now time.Duration, x *roomSimInstance) {
	x.reports = slices.DeleteFunc(x.reports, func(r roomSimReports) bool {
		if r.at <= now {
			x.ApplyReports(now, r.reports)
		}
		return r.at <= now
	})
	x.answers = slices.DeleteFunc(x.answers, func(a roomSimAnswer) bool {
		if a.at > now {
			return false
		}
		x.inFlight--
		x.Observe(now, a.sentAt, testTarget, Limit{Rejections: roomSimRejections})
		if a.rejected {
			x.RecordRejection(now, a.sentAt, withSlots(roomSimSlots))
		} else {
			s.running--
			s.served++
		}
		return true
	})
	limit, limited := x.MaxInFlight(now, withSlots(roomSimSlots))
	if !limited {
		limit = 1
	}
	for x.inFlight < limit && x.CanSend(now, testTarget.Incarnation) {
		x.inFlight++
		if s.running >= s.room {
			s.rejectedAt = append(s.rejectedAt, now)
			x.answers = append(x.answers, roomSimAnswer{at: now + roomSimLatency, sentAt: now, rejected: true})
			continue
		}
		s.running++
		x.answers = append(x.answers, roomSimAnswer{at: now + roomSimLatency + roomSimHold, sentAt: now})
	}
}

// overloads returns how often the target rejected more than it can bear within a second.
func (s *roomSim) overloads(since time.Duration) (n int) {
	first := 0
	for i, at := range s.rejectedAt {
		for first < i && (s.rejectedAt[first] < since || at-s.rejectedAt[first] > time.Second) {
			first++
		}
		if at >= since && float64(i-first+1) > roomSimRejections {
			n++
			first = i + 1
		}
	}
	return n
}

// Guards against more instances than a target has slots that each keep sending to it, and that
// learn of rejections only by their own. In half of the cases all instances but one reach the
// target only later, such as after a partition.
func TestManyInstancesStayWithinTheRejectionsOfATarget(t *testing.T) {
	const notice, duration, maxOverloads = 3 * time.Second, 12 * time.Second, 2
	for n, rooms := range map[int][]int{4: {1, 2, 5}, 48: {1, 2, 5}, 195: {2}} {
		for _, room := range rooms {
			for _, joinAt := range []time.Duration{0, 5 * time.Second} {
				t.Run(fmt.Sprintf("%d instances, room for %d, joined at %v", n, room, joinAt), func(t *testing.T) {
					is := is.New(t)
					s := newRoomSim(n, room)
					for _, x := range s.instances[1:] {
						x.startsAt = joinAt
					}
					s.run(duration, rand.New(rand.NewPCG(uint64(n), uint64(room))))
					capacity := float64(room) * float64(duration) / float64(roomSimHold+roomSimLatency)
					t.Logf("%d overloads, %d rejections, %.2f of its capacity used", s.overloads(notice), len(s.rejectedAt), float64(s.served)/capacity)
					is.True(s.overloads(notice) <= maxOverloads)
					is.True(float64(s.served) >= capacity/4) // the target is not left idle
				})
			}
		}
	}
}
