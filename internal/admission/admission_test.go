package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	tick         = 10 * time.Millisecond
	exchange     = 200 * time.Millisecond
	reportDelay  = 300 * time.Millisecond
	reportMaxAge = 1400 * time.Millisecond
	holdTime     = 0.5 // s for which a request occupies a slot
)

// load is what one account asks for in one urgency.
type load struct {
	account   string
	urgency   int
	perSecond float64
	// instances is the number of instances that its callers reach; 0 for all.
	instances int
}

// fleet simulates instances with late reports before targets with a number of slots,
// which serve admitted requests by urgency.
type fleet struct {
	slots       float64
	loads       []load
	controllers []*Controller
	// hears tells whether instance i hears from instance j; nil for all.
	hears func(i, j int) bool
	// reachable is the fraction of the slots that an instance reaches; nil for all.
	reachable func(i int) float64
	weights   Weights

	rng      *rand.Rand
	now      time.Duration
	reports  [][]sentReport
	queued   map[Class]float64 // requests at the targets
	asked    map[Class]float64
	admitted map[Class]float64
	served   map[Class]float64
	id       uint64
}

type sentReport struct {
	at   time.Duration
	rows []Demand
}

func newFleet(n int, slots float64, loads []load) *fleet {
	f := &fleet{
		slots: slots, loads: loads, rng: rand.New(rand.NewPCG(1, 2)), reports: make([][]sentReport, n),
		queued: map[Class]float64{},
	}
	for range n {
		f.controllers = append(f.controllers, New())
	}
	f.resetCounts()
	return f
}

func (f *fleet) resetCounts() {
	f.asked, f.admitted, f.served = map[Class]float64{}, map[Class]float64{}, map[Class]float64{}
}

func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += tick {
		if f.now%exchange == 0 {
			f.exchangeReports()
		}
		for _, l := range f.loads {
			f.arrive(l)
		}
		f.serve()
	}
}

func (f *fleet) exchangeReports() {
	for i, c := range f.controllers {
		f.reports[i] = append(f.reports[i], sentReport{f.now, c.Report(f.now)})
	}
	for i, c := range f.controllers {
		for j, sent := range f.reports {
			if i == j || f.hears != nil && !f.hears(i, j) {
				continue
			}
			for k := len(sent) - 1; k >= 0; k-- {
				if sent[k].at <= f.now-reportDelay {
					c.ApplyReport(fmt.Sprint(j), sent[k].at, sent[k].rows)
					break
				}
			}
		}
		reach := 1.0
		if f.reachable != nil {
			reach = f.reachable(i)
		}
		queued := 0.0
		for _, n := range f.queued {
			queued += n
		}
		c.SetWeights(f.weights)
		c.Update(f.now, Room{
			Reachable: Work{SlotSeconds: reach * f.slots}, Total: Work{SlotSeconds: f.slots},
			Backlog: time.Duration(queued * holdTime / f.slots * float64(time.Second)), TolerableWait: 300 * time.Millisecond,
		}, Fleet{Size: len(f.controllers), MaxAge: reportMaxAge})
	}
}

func (f *fleet) arrive(l load) {
	for n := f.poisson(l.perSecond * tick.Seconds()); n > 0; n-- {
		instances := len(f.controllers)
		if l.instances > 0 {
			instances = l.instances
		}
		f.id++
		r := Request{
			Class: Class{l.account, l.urgency}, Work: Work{SlotSeconds: holdTime}, Fingerprint: f.id,
			TimeLeft: 10 * time.Second, Jitter: f.rng.Float64(),
		}
		f.asked[r.Class]++
		if f.controllers[f.rng.IntN(instances)].Admit(f.now, &r).Admitted {
			f.admitted[r.Class]++
			f.queued[r.Class]++
		}
	}
}

func (f *fleet) poisson(mean float64) int {
	limit, p, n := math.Exp(-mean), f.rng.Float64(), 0
	for p > limit {
		p *= f.rng.Float64()
		n++
	}
	return n
}

func (f *fleet) serve() {
	room := f.slots / holdTime * tick.Seconds()
	for u := 0; u <= MaxUrgency && room > 0; u++ {
		total := 0.0
		for class, n := range f.queued {
			if class.Urgency == u {
				total += n
			}
		}
		if total == 0 {
			continue
		}
		part := min(1, room/total)
		for class, n := range f.queued {
			if class.Urgency == u {
				f.queued[class] -= part * n
				f.served[class] += part * n
			}
		}
		room -= part * total
	}
}

func (f *fleet) ratio(account string, urgency int) float64 {
	c := Class{account, urgency}
	return f.served[c] / f.asked[c]
}

func (f *fleet) sum(counts map[Class]float64) (n float64) {
	for _, v := range counts {
		n += v
	}
	return n
}

// Demand of two and a half times the room, one account at five times the others within its
// rate, a third of the callers at few instances: accounts of one urgency get equal parts,
// small ones all that they ask for, the less urgent their floor, and targets stay busy.
func TestSharesUnderContention(t *testing.T) {
	for _, instances := range []int{20, 80} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(instances, 200, []load{ // the targets serve 400 requests a second
				{account: "large", urgency: 0, perSecond: 300},
				{account: "second", urgency: 0, perSecond: 250, instances: instances / 4},
				{account: "small", urgency: 0, perSecond: 20},
				{account: "large", urgency: 3, perSecond: 250},
				{account: "second", urgency: 3, perSecond: 180},
			})
			f.run(5 * time.Second)
			f.resetCounts()
			f.run(20 * time.Second)
			t.Log(f.asked, f.served)
			large, second := f.served[Class{"large", 0}], f.served[Class{"second", 0}]
			is.True(large <= 1.25*second && second <= 1.25*large)
			is.True(f.ratio("small", 0) >= 0.9)
			urgent := (large + second) / (f.asked[Class{"large", 0}] + f.asked[Class{"second", 0}])
			is.True(f.ratio("large", 3) >= urgent/4)
			is.True(f.ratio("second", 3) >= urgent/4)
			is.True(f.ratio("second", 3) < urgent)
			is.True(f.sum(f.served) >= 0.95*400*20)
			is.True(f.sum(f.admitted) <= 1.1*400*20)
		})
	}
}

// While the urgent fit beside the floor of the others, all of them are admitted and the
// others get what is left.
func TestUrgentAreAdmittedFirst(t *testing.T) {
	is := is.New(t)
	f := newFleet(20, 200, []load{{account: "a", urgency: 0, perSecond: 250}, {account: "b", urgency: 3, perSecond: 450}})
	f.run(3 * time.Second)
	f.resetCounts()
	f.run(10 * time.Second)
	t.Log(f.asked, f.served)
	is.True(f.ratio("a", 0) >= 0.97)
	is.True(f.ratio("b", 3) >= 0.25)
	is.True(f.sum(f.served) >= 0.97*400*10)
}

// Guards against refusals while there is room: nothing is refused below the room, however
// unevenly callers are spread over the instances.
func TestNothingIsRefusedWhileThereIsRoom(t *testing.T) {
	is := is.New(t)
	f := newFleet(40, 200, []load{{account: "a", urgency: 0, perSecond: 200, instances: 2}, {account: "b", urgency: 3, perSecond: 150}})
	f.run(10 * time.Second)
	is.Equal(f.sum(f.admitted), f.sum(f.asked))
}

// Guards against an instance that hears no peer and admits as if it were alone: it uses an
// equal part of the room.
func TestInstanceCutFromItsPeersUsesAnEqualPart(t *testing.T) {
	is := is.New(t)
	f := newFleet(20, 200, []load{{account: "a", urgency: 0, perSecond: 200, instances: 1}, {account: "b", urgency: 0, perSecond: 300}})
	f.hears = func(i, j int) bool { return i != 0 && j != 0 }
	f.run(5 * time.Second)
	f.resetCounts()
	f.run(10 * time.Second)
	t.Log(f.asked, f.admitted)
	is.True(f.admitted[Class{"a", 0}] <= 1.6*400*10/20) // the part may be exceeded by the tolerable wait
	is.True(f.admitted[Class{"a", 0}] > 0)
}

// Guards against the two sides of a cut both using all targets: each uses those that it
// reaches, together no more than there are.
func TestCutDomainTakesItsRoomAlong(t *testing.T) {
	is := is.New(t)
	f := newFleet(30, 200, []load{{account: "a", urgency: 0, perSecond: 600}, {account: "b", urgency: 3, perSecond: 300}})
	f.hears = func(i, j int) bool { return (i < 10) == (j < 10) }
	f.reachable = func(i int) float64 {
		if i < 10 {
			return 1.0 / 3
		}
		return 2.0 / 3
	}
	f.run(6 * time.Second)
	f.resetCounts()
	f.run(10 * time.Second)
	t.Log(f.asked, f.admitted)
	is.True(f.sum(f.admitted) <= 1.1*400*10)
	is.True(f.sum(f.admitted) >= 0.85*400*10)
}

// Guards against a partition between instances that leaves all targets reachable: together
// both sides stay within one and a half times the room.
func TestPartitionedInstancesStayWithinTheStatedBound(t *testing.T) {
	is := is.New(t)
	f := newFleet(30, 200, []load{{account: "a", urgency: 0, perSecond: 1500}})
	f.hears = func(i, j int) bool { return (i < 10) == (j < 10) }
	f.run(6 * time.Second)
	f.resetCounts()
	f.run(10 * time.Second)
	is.True(f.sum(f.admitted) <= 1.5*400*10)
}

// Guards against a lost hub: while no report arrives, the last demand of the silent peers
// counts, so that the others don't take their part.
func TestLostHubKeepsShares(t *testing.T) {
	is := is.New(t)
	f := newFleet(30, 200, []load{{account: "a", urgency: 0, perSecond: 800}})
	f.run(5 * time.Second)
	f.hears = func(i, j int) bool { return i%2 == j%2 }
	f.resetCounts()
	f.run(3 * time.Second)
	t.Log(f.asked, f.admitted)
	is.True(f.sum(f.admitted) <= 1.15*400*3)
}

// Guards against a restart of all instances, after which nobody has reports: within two
// seconds the shares hold again.
func TestRestartOfAllInstances(t *testing.T) {
	is := is.New(t)
	f := newFleet(30, 200, []load{{account: "a", urgency: 0, perSecond: 1000}})
	f.run(5 * time.Second)
	for i := range f.controllers {
		f.controllers[i], f.reports[i] = New(), nil
	}
	f.run(2 * time.Second)
	f.resetCounts()
	f.run(5 * time.Second)
	t.Log(f.asked, f.admitted)
	is.True(f.sum(f.admitted) <= 1.2*400*5)
}

// Guards against an instance that wakes after being frozen: it decides by its last view and,
// once its reports are too old, by an equal part of the room.
func TestWokenInstanceUsesAnEqualPartUntilItHearsPeers(t *testing.T) {
	is := is.New(t)
	c := New()
	for j := range 19 {
		c.ApplyReport(fmt.Sprint(j), 0, []Demand{{PerSecond: Work{SlotSeconds: 20}}})
	}
	room, fleet := Room{Reachable: Work{SlotSeconds: 200}, Total: Work{SlotSeconds: 200}}, Fleet{Size: 20, MaxAge: reportMaxAge}
	c.Update(0, room, fleet)
	is.True(c.State().Scarce)
	is.Equal(c.State().Reporting, 20)
	share := c.Share(0)
	is.True(share < 0.6)
	const woken = 30 * time.Second
	for id := range uint64(20) { // 20 slots are asked for at once, its part is 10
		c.Admit(woken, &Request{Work: Work{SlotSeconds: 1}, Fingerprint: id + 1})
	}
	c.Report(woken)
	c.Update(woken, room, fleet)
	is.True(c.State().Scarce)
	is.Equal(c.State().Reporting, 1)
	is.Equal(c.State().Room, 10.0)
}

// Guards against callers that repeat at once and gain by it, and against callers that come
// back when they were told to and are treated as new.
func TestReturningCallersGoAheadInTimeOnly(t *testing.T) {
	is := is.New(t)
	c := New()
	c.ApplyReport("peer", 0, []Demand{{PerSecond: Work{SlotSeconds: 1000}}})
	room, fleet := Room{Reachable: Work{SlotSeconds: 400}, Total: Work{SlotSeconds: 400}}, Fleet{Size: 2, MaxAge: reportMaxAge}
	var refused *Request
	var decision Decision
	for id := uint64(1); refused == nil; id++ {
		if id%10 == 0 {
			c.Report(0)
			c.Update(0, room, fleet)
		}
		r := &Request{Class: Class{"a", 2}, Work: Work{SlotSeconds: 1}, Fingerprint: id, TimeLeft: 30 * time.Second}
		if d := c.Admit(0, r); !d.Admitted && d.Promised {
			refused, decision = r, d
		}
	}
	is.True(decision.RetryAfter >= minRetryAfter)
	early := c.Admit(decision.RetryAfter/4, refused)
	is.True(early.Early && !early.Admitted)
	is.Equal(early.RetryAfter, decision.RetryAfter-decision.RetryAfter/4)
	is.True(c.Admit(decision.RetryAfter, refused).Admitted)

	other := New() // the caller comes back to another instance
	other.ApplyReport("peer", 0, []Demand{{Class: Class{"a", 2}, PerSecond: Work{SlotSeconds: 1000}}})
	other.Update(0, room, fleet)
	for _, promised := range c.TakeReturns() {
		other.AddReturn(0, promised)
	}
	is.True(other.Admit(decision.RetryAfter/4, refused).Early)
	is.True(other.Admit(decision.RetryAfter, refused).Returned)
	is.Equal(len(c.TakeReturns()), 0)
}

// Guards against refused callers that all come back at the same time.
func TestRefusedCallersAreSpread(t *testing.T) {
	is := is.New(t)
	d := localDemand{requests: 100}
	rng := rand.New(rand.NewPCG(1, 1))
	buckets := map[time.Duration]int{}
	for range 200 {
		wait, promised := d.retryAfter(0, 0.5, &Request{TimeLeft: 60 * time.Second, Jitter: rng.Float64()})
		is.True(promised)
		buckets[wait/(500*time.Millisecond)]++
	}
	for _, n := range buckets {
		is.True(n <= 16) // half of the class's room, 25 a second
	}
	wait, promised := d.retryAfter(0, 0.5, &Request{TimeLeft: 3 * time.Second})
	is.True(!promised && wait <= time.Second) // there is no room within the time that the caller can wait
}

// Guards against shutting out large requests: admission doesn't depend on size.
func TestLargeRequestsAreAdmittedAsOften(t *testing.T) {
	is := is.New(t)
	c := New()
	c.ApplyReport("peer", 0, []Demand{{PerSecond: Work{SlotSeconds: 1000}}})
	c.Update(0, Room{Reachable: Work{SlotSeconds: 400}, Total: Work{SlotSeconds: 400}}, Fleet{Size: 2, MaxAge: reportMaxAge})
	admitted := map[float64]int{}
	rng := rand.New(rand.NewPCG(1, 1))
	for id := range uint64(4000) {
		size := []float64{0.1, 0.1, 0.1, 8}[rng.IntN(4)]
		if c.Admit(0, &Request{Work: Work{SlotSeconds: size}, Fingerprint: id + 1, TimeLeft: time.Second, Jitter: rng.Float64()}).Admitted {
			admitted[size]++
		}
	}
	is.True(float64(admitted[8]) >= 0.8*float64(admitted[0.1])/3)
}

// Guards against reports that grow with the number of accounts.
func TestReportIsBounded(t *testing.T) {
	is := is.New(t)
	c := New()
	c.state.Room, c.state.Asked = 1, 1
	for i := range 10000 {
		c.Admit(0, &Request{Class: Class{fmt.Sprint("account-", i), i % 3}, Work: Work{Tokens: float64(i + 1), SlotSeconds: 1}, Fingerprint: uint64(i + 1)})
	}
	is.True(len(c.own) <= maxClasses+3)
	rows := c.Report(0)
	is.True(len(rows) <= MaxNamedRows+MaxUrgency+1)
	total := 0.0
	for _, r := range rows {
		total += r.PerSecond.SlotSeconds
	}
	is.True(math.Abs(total-10000) < 1e-6)
	is.Equal(len(c.Report(time.Minute)), 0)
	is.Equal(len(c.own), 0)
}

// Guards against reports that fill the links of a very large fleet.
func TestReportsAreShorterInLargeFleets(t *testing.T) {
	is := is.New(t)
	for fleet, want := range map[int]int{1: 12, 30: 12, 100: 12, 300: 4, 2400: 2} {
		c := New()
		c.state.Fleet = fleet
		is.Equal(c.maxNamedRows(), want)
	}
}

// Guards against the accounts' shares of a class depending on how much each asks for.
func TestDivideByWeight(t *testing.T) {
	for name, c := range map[string]struct {
		claims []claim
		room   float64
		want   map[string]float64
	}{
		"enough":                  {[]claim{{account: "a", asked: 3, weight: 1}, {account: "b", asked: 1, weight: 1}}, 5, map[string]float64{"a": 3, "b": 1}},
		"equal weights":           {[]claim{{account: "a", asked: 5, weight: 1}, {account: "b", asked: 2, weight: 1}}, 2, map[string]float64{"a": 1, "b": 1}},
		"small one gets it all":   {[]claim{{account: "a", asked: 5, weight: 1}, {account: "b", asked: 0.5, weight: 1}}, 2, map[string]float64{"a": 1.5, "b": 0.5}},
		"weights":                 {[]claim{{account: "a", asked: 5, weight: 3}, {account: "b", asked: 5, weight: 1}}, 4, map[string]float64{"a": 3, "b": 1}},
		"floor of a small weight": {[]claim{{account: "a", asked: 5, weight: 99}, {account: "b", asked: 5, weight: 1}}, 5, map[string]float64{"a": 4.25, "b": 0.75}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			divideByWeight(c.claims, c.room)
			for _, cl := range c.claims {
				is.True(math.Abs(cl.granted-c.want[cl.account]) < 1e-6)
			}
		})
	}
}

// Guards against starving a less urgent class, and against floors that cost urgent requests
// more than they are worth.
func TestDivideByUrgency(t *testing.T) {
	is := is.New(t)
	is.Equal(divideByUrgency([]float64{2, 3}, 6), []float64{2, 3})
	is.Equal(divideByUrgency([]float64{0, 0}, 6), []float64{0, 0})
	granted := divideByUrgency([]float64{2, 5}, 4)
	is.Equal(granted, []float64{2, 2})
	granted = divideByUrgency([]float64{10, 10}, 6.5)
	is.True(math.Abs(granted[0]-5) < 1e-9 && math.Abs(granted[1]-1.5) < 1e-9)
}

func BenchmarkAdmit(b *testing.B) {
	c := New()
	classes := make([]Class, 0, 32)
	for a := range 16 {
		for u := range 2 {
			classes = append(classes, Class{fmt.Sprint("account-", a), 3 * u})
		}
	}
	rows := make([]Demand, len(classes))
	for i, class := range classes {
		rows[i] = Demand{Class: class, PerSecond: Work{Tokens: 1000, SlotSeconds: 1}}
	}
	c.ApplyReport("peer", 0, rows)
	c.Update(0, Room{Reachable: Work{SlotSeconds: 16}, Total: Work{SlotSeconds: 16}}, Fleet{Size: 2, MaxAge: time.Second})
	b.ReportAllocs()
	for i := range b.N {
		c.Admit(time.Duration(i), &Request{Class: classes[i%len(classes)], Work: Work{Tokens: 1000, SlotSeconds: 1}, Fingerprint: uint64(i), TimeLeft: time.Second})
	}
}

func BenchmarkUpdate(b *testing.B) {
	for _, instances := range []int{30, 100, 300, 2400} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			c := New()
			c.state.Fleet = instances
			rows := make([]Demand, c.maxNamedRows())
			for i := range rows {
				rows[i] = Demand{Class: Class{fmt.Sprint("account-", i), 3 * (i % 2)}, PerSecond: Work{Tokens: 1000, SlotSeconds: 1}}
			}
			for j := range instances - 1 {
				c.ApplyReport(fmt.Sprint(j), 0, rows)
			}
			b.ReportAllocs()
			for range b.N {
				c.Update(0, Room{Reachable: Work{SlotSeconds: 16}, Total: Work{SlotSeconds: 16}}, Fleet{Size: instances, MaxAge: time.Second})
			}
		})
	}
}
