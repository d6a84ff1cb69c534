package rollout

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/mastictray/mastictray/internal/config"
	"github.com/mastictray/mastictray/internal/logrec"
)

const (
	stepTime = 200 * time.Millisecond
	loadTime = 800 * time.Millisecond
	// badVersionUptime is how long a target serves a bad version before it
	// crashes.
	badVersionUptime = 400 * time.Millisecond
	leaseTime        = 4 * time.Second
)

// engine is a simulated target. It loads versions, and restarts with
// bootVersion after a crash.
type engine struct {
	config.Target
	incarnation int
	version     string
	loading     string
	loadDoneAt  time.Duration
	fence       int64
	crashes     map[string]int
}

const bootVersion = "v1"

func (e *engine) restart() {
	e.incarnation++
	e.version, e.loading = bootVersion, ""
}

func (e *engine) handleOrder(now time.Duration, s OutgoingOrder) {
	if e.ChecksFencing && s.Fence < e.fence {
		return
	}
	e.fence = max(e.fence, s.Fence)
	if e.version == s.Version && e.loading == "" || e.loading == s.Version {
		return
	}
	e.loading, e.loadDoneAt = s.Version, now+loadTime
}

// advance ends loads that are done and crashes targets that have served the bad
// version for badVersionUptime.
func (e *engine) advance(now time.Duration, badVersion string) {
	if e.loading != "" && now >= e.loadDoneAt {
		e.version, e.loading = e.loading, ""
	}
	if e.loading == "" && e.version == badVersion && now >= e.loadDoneAt+badVersionUptime {
		e.crashes[badVersion]++
		e.restart()
	}
}

func (e *engine) observation(now time.Duration) Observation {
	return Observation{
		At: now, Incarnation: fmt.Sprint(e.incarnation), Model: "m", Version: e.version, Loading: e.loading, Fence: e.fence,
	}
}

// holder is an instance that holds or once held the lease.
type holder struct {
	*Controller
	state    *State
	nextRead int
	leaseEnd time.Duration
	paused   bool
}

// inFlightOrder is an order on its way to a target.
type inFlightOrder struct {
	order     OutgoingOrder
	arrivesAt time.Duration
}

type logEntry struct {
	envelope logrec.Envelope
	// fence is the fencing token of a lease record; 0 for other records.
	fence int64
}

// simulation runs several holders against engines, a log and a network that
// loses, repeats and delays.
type simulation struct {
	rng         *rand.Rand
	now         time.Duration
	goal        Goal
	badVersion  string
	engines     []*engine
	log         []logEntry
	lateRecords []Record
	holders     []*holder
	inFlight    []inFlightOrder
	faults      bool
	crashes     bool
}

func newSimulation(seed uint64, targets, floor, loads int) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), faults: true}
	sim.goal = Goal{Pool: "p", Model: "m", Version: bootVersion, ServingFloor: floor, MaxLoads: loads}
	for i := range targets {
		t := config.Target{Name: fmt.Sprintf("t%02d", i), ChecksFencing: i%2 == 0}
		sim.goal.Targets = append(sim.goal.Targets, t)
		sim.engines = append(sim.engines, &engine{Target: t, version: bootVersion, crashes: map[string]int{}})
	}
	sim.log = append(sim.log, logEntry{}) // offset 0 is not a valid token
	return sim
}

func (sim *simulation) faultOccurs(percent int) bool {
	return sim.faults && sim.rng.IntN(100) < percent
}

// startTerm gives the lease to a new holder. The former one may go on until its
// lease ends.
func (sim *simulation) startTerm() {
	previousLeaseEnd := time.Duration(0)
	if n := len(sim.holders); n > 0 {
		previousLeaseEnd = sim.holders[n-1].leaseEnd
	}
	token := int64(len(sim.log))
	sim.log = append(sim.log, logEntry{fence: token})
	h := &holder{state: NewState(), leaseEnd: sim.now + leaseTime}
	h.catchUp(sim, len(sim.log))
	h.Controller = NewController(DefaultSettings, h.state, token, previousLeaseEnd)
	sim.holders = append(sim.holders, h)
}

func (h *holder) catchUp(sim *simulation, end int) {
	for ; h.nextRead < end; h.nextRead++ {
		if e := sim.log[h.nextRead]; e.fence > 0 {
			h.state.Fence(e.fence)
		} else if e.envelope.Kind != "" {
			h.state.Apply(sim.now, e.envelope)
		}
	}
}

func encodeEnvelope(r Record) logrec.Envelope {
	kind, body := r.Encode()
	data, err := logrec.Encode(kind, "i", 0, body)
	if err != nil {
		panic(err)
	}
	e, err := logrec.Decode(data)
	if err != nil {
		panic(err)
	}
	return e
}

// appendRecord loses a record, delays it, or appends it once or twice.
func (sim *simulation) appendRecord(r Record) {
	switch {
	case sim.faultOccurs(10):
	case sim.faultOccurs(10):
		sim.lateRecords = append(sim.lateRecords, r)
	default:
		sim.log = append(sim.log, logEntry{envelope: encodeEnvelope(r)})
		if sim.faultOccurs(10) {
			sim.lateRecords = append(sim.lateRecords, r)
		}
	}
}

func (sim *simulation) step() {
	sim.now += stepTime
	if len(sim.lateRecords) > 0 && sim.rng.IntN(10) == 0 {
		sim.log = append(sim.log, logEntry{envelope: encodeEnvelope(sim.lateRecords[0])})
		sim.lateRecords = sim.lateRecords[1:]
	}
	newest := sim.holders[len(sim.holders)-1]
	if sim.faultOccurs(2) || sim.now >= newest.leaseEnd {
		sim.startTerm()
	}
	for i, h := range sim.holders {
		h.paused = i < len(sim.holders)-1 && sim.faultOccurs(50)
		sim.runHolder(h)
	}
	sim.deliverOrders()
	for _, e := range sim.engines {
		if sim.crashes && sim.faultOccurs(1) {
			e.restart()
		}
		e.advance(sim.now, sim.badVersion)
	}
}

// runHolder runs one round of a holder: observe targets, read the log, tick,
// and carry out the actions.
func (sim *simulation) runHolder(h *holder) {
	if h.paused || sim.now >= h.leaseEnd {
		return
	}
	newest := h == sim.holders[len(sim.holders)-1]
	if newest && !sim.faultOccurs(5) {
		h.leaseEnd = sim.now + leaseTime
	}
	for _, e := range sim.engines {
		if !sim.faultOccurs(20) {
			h.Observe(e.Name, e.observation(sim.now))
		}
	}
	if !sim.faultOccurs(30) {
		h.catchUp(sim, len(sim.log))
	}
	r := h.Tick(sim.now, h.leaseEnd, []Goal{sim.goal})
	for _, record := range r.Records {
		sim.appendRecord(record)
	}
	for _, s := range r.Orders {
		for range 1 + sim.rng.IntN(2) {
			if !sim.faultOccurs(20) {
				delay := time.Duration(sim.rng.Int64N(int64(DefaultSettings.MaxOrderDelay)))
				sim.inFlight = append(sim.inFlight, inFlightOrder{s, sim.now + delay})
			}
		}
	}
}

func (sim *simulation) deliverOrders() {
	var rest []inFlightOrder
	for _, o := range sim.inFlight {
		if o.arrivesAt > sim.now {
			rest = append(rest, o)
			continue
		}
		for _, e := range sim.engines {
			if e.Name == o.order.Target {
				e.handleOrder(sim.now, o.order)
			}
		}
	}
	sim.inFlight = rest
}

func (sim *simulation) count(matches func(*engine) bool) int {
	n := 0
	for _, e := range sim.engines {
		if matches(e) {
			n++
		}
	}
	return n
}

func (sim *simulation) loading() int {
	return sim.count(func(e *engine) bool { return e.loading != "" })
}

func (sim *simulation) serving(version string) int {
	return sim.count(func(e *engine) bool { return e.loading == "" && e.version == version })
}

// poolState returns the newest holder's view of the pool.
func (sim *simulation) poolState() PoolState {
	h := sim.holders[len(sim.holders)-1]
	h.catchUp(sim, len(sim.log))
	s, _ := h.state.Pool("p")
	return s
}

func rawEnvelope(kind string, body []byte) logrec.Envelope {
	return logrec.Envelope{Kind: logrec.Kind(kind), Writer: "i", Body: body}
}
