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
	// badLife is how long a target serves a bad version before it crashes.
	badLife   = 400 * time.Millisecond
	leaseTime = 4 * time.Second
)

// engine is a target: it loads, crashes and comes back with bootVersion.
type engine struct {
	config.Target
	life    int
	version string
	loading string
	doneAt  time.Duration
	fence   int64
	crashed map[string]int
}

const bootVersion = "v1"

func (e *engine) restart() {
	e.life++
	e.version, e.loading = bootVersion, ""
}

func (e *engine) order(now time.Duration, s OutgoingOrder) {
	if e.ChecksFencing && s.Fence < e.fence {
		return
	}
	e.fence = max(e.fence, s.Fence)
	if e.version == s.Version && e.loading == "" || e.loading == s.Version {
		return
	}
	e.loading, e.doneAt = s.Version, now+loadTime
}

// run lets time pass; bad versions serve for badLife and crash.
func (e *engine) run(now time.Duration, bad string) {
	if e.loading != "" && now >= e.doneAt {
		e.version, e.loading = e.loading, ""
	}
	if e.loading == "" && e.version == bad && now >= e.doneAt+badLife {
		e.crashed[bad]++
		e.restart()
	}
}

func (e *engine) observe(now time.Duration) Observation {
	return Observation{
		At: now, Incarnation: fmt.Sprint(e.life), Model: "m", Version: e.version, Loading: e.loading, Fence: e.fence,
	}
}

// holder is an instance that holds, or held, the lease.
type holder struct {
	*Controller
	ledger *State
	read   int
	until  time.Duration
	paused bool
}

// flight is an order under way.
type flight struct {
	send OutgoingOrder
	at   time.Duration
}

type entry struct {
	envelope logrec.Envelope
	// fence is the token of a lease record; 0 for others.
	fence int64
}

// world steps some holders against engines, a log and a network that loses,
// repeats and delays.
type world struct {
	rand    *rand.Rand
	now     time.Duration
	goal    Goal
	bad     string
	engines []*engine
	log     []entry
	late    []Record
	holders []*holder
	flights []flight
	faults  bool
	crashes bool
}

func newWorld(seed uint64, targets, floor, loads int) *world {
	w := &world{rand: rand.New(rand.NewPCG(seed, 1)), faults: true}
	w.goal = Goal{Pool: "p", Model: "m", Version: bootVersion, ServingFloor: floor, MaxLoads: loads}
	for i := range targets {
		t := config.Target{Name: fmt.Sprintf("t%02d", i), ChecksFencing: i%2 == 0}
		w.goal.Targets = append(w.goal.Targets, t)
		w.engines = append(w.engines, &engine{Target: t, version: bootVersion, crashed: map[string]int{}})
	}
	w.log = append(w.log, entry{}) // offset 0 is no token
	return w
}

func (w *world) chance(percent int) bool { return w.faults && w.rand.IntN(100) < percent }

// acquire starts a new term. The former holder may go on until its own time
// is over.
func (w *world) acquire() {
	oldEnds := time.Duration(0)
	if n := len(w.holders); n > 0 {
		oldEnds = w.holders[n-1].until
	}
	token := int64(len(w.log))
	w.log = append(w.log, entry{fence: token})
	h := &holder{ledger: NewState(), until: w.now + leaseTime}
	h.catchUp(w, len(w.log))
	h.Controller = NewController(DefaultSettings, h.ledger, token, oldEnds)
	w.holders = append(w.holders, h)
}

func (h *holder) catchUp(w *world, end int) {
	for ; h.read < end; h.read++ {
		if e := w.log[h.read]; e.fence > 0 {
			h.ledger.Fence(e.fence)
		} else if e.envelope.Kind != "" {
			h.ledger.Apply(w.now, e.envelope)
		}
	}
}

func encode(r Record) logrec.Envelope {
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

// append may lose a record, keep it for later, or store it twice.
func (w *world) append(r Record) {
	switch {
	case w.chance(10):
	case w.chance(10):
		w.late = append(w.late, r)
	default:
		w.log = append(w.log, entry{envelope: encode(r)})
		if w.chance(10) {
			w.late = append(w.late, r)
		}
	}
}

func (w *world) step() {
	w.now += stepTime
	if len(w.late) > 0 && w.rand.IntN(10) == 0 {
		w.log = append(w.log, entry{envelope: encode(w.late[0])})
		w.late = w.late[1:]
	}
	newest := w.holders[len(w.holders)-1]
	if w.chance(2) || w.now >= newest.until {
		w.acquire()
	}
	for i, h := range w.holders {
		h.paused = i < len(w.holders)-1 && w.chance(50)
		w.drive(h)
	}
	w.deliver()
	for _, e := range w.engines {
		if w.crashes && w.chance(1) {
			e.restart()
		}
		e.run(w.now, w.bad)
	}
}

// drive is one round of a holder: observe, read the log, decide, act.
func (w *world) drive(h *holder) {
	if h.paused || w.now >= h.until {
		return
	}
	newest := h == w.holders[len(w.holders)-1]
	if newest && !w.chance(5) {
		h.until = w.now + leaseTime
	}
	for _, e := range w.engines {
		if !w.chance(20) {
			h.Observe(e.Name, e.observe(w.now))
		}
	}
	if !w.chance(30) {
		h.catchUp(w, len(w.log))
	}
	r := h.Tick(w.now, h.until, []Goal{w.goal})
	for _, record := range r.Records {
		w.append(record)
	}
	for _, s := range r.Orders {
		for range 1 + w.rand.IntN(2) {
			if !w.chance(20) {
				delay := time.Duration(w.rand.Int64N(int64(DefaultSettings.MaxOrderDelay)))
				w.flights = append(w.flights, flight{s, w.now + delay})
			}
		}
	}
}

func (w *world) deliver() {
	var rest []flight
	for _, f := range w.flights {
		if f.at > w.now {
			rest = append(rest, f)
			continue
		}
		for _, e := range w.engines {
			if e.Name == f.send.Target {
				e.order(w.now, f.send)
			}
		}
	}
	w.flights = rest
}

func (w *world) count(is func(*engine) bool) int {
	n := 0
	for _, e := range w.engines {
		if is(e) {
			n++
		}
	}
	return n
}

func (w *world) loads() int { return w.count(func(e *engine) bool { return e.loading != "" }) }
func (w *world) at(version string) int {
	return w.count(func(e *engine) bool { return e.loading == "" && e.version == version })
}

// state is the newest holder's view of the pool.
func (w *world) state() PoolState {
	h := w.holders[len(w.holders)-1]
	h.catchUp(w, len(w.log))
	s, _ := h.ledger.Pool("p")
	return s
}

func rawEnvelope(kind string, body []byte) logrec.Envelope {
	return logrec.Envelope{Kind: logrec.Kind(kind), Writer: "i", Body: body}
}
