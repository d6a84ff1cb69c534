package lease

import (
	"fmt"
	"hash/maphash"
	"maps"
	"slices"
	"time"

	"github.com/mastictray/mastictray/internal/logrec"
	"github.com/mastictray/mastictray/internal/platform"
	"github.com/mastictray/mastictray/internal/wire"
)

// simulation is the state of a small fleet: real holders, the log, and all
// appends and calls in flight. What is in flight may arrive at any later step
// or never, so losses, delays and reordering need no steps of their own. A
// process that takes no step is suspended.
type simulation struct {
	trueTime       time.Duration
	log            []logrec.Envelope
	members        []*process
	pendingAppends []pendingAppend
	pendingCalls   []promiseCall
	sparesLeft     int // incarnations that may still be started
	started        int
	hold           time.Duration
	logHash        uint64
}

// process is one incarnation of an instance. Simulations share processes until a step changes
// one.
type process struct {
	hash      uint64 // fingerprint of the state; 0 when it has to be computed
	h         *Holder
	clockRate float64
	startedAt time.Duration
	nextRead  int
	dead      bool
}

type pendingAppend struct {
	member int // index of the writer
	seq    uint64
	env    logrec.Envelope
	hash   uint64
}

// promiseCall is a promise request in flight or, with answer set, its answer.
type promiseCall struct {
	member  int // index of the requester
	request PromiseRequest
	answer  *wire.LeasePromiseResponse
}

const unit = time.Second

// slot is the resource that all processes compete for.
var slot = RateSlot("d", 0)

func searchSettings(self Member, hold time.Duration) Settings {
	s := DefaultSettings(self, []Resource{slot})
	s.TTL, s.PromiseTime, s.RenewInterval, s.HoldTime = 2*unit, 2*unit, unit/2, hold
	s.Margin, s.MaxDrift, s.Stagger = unit/2, 0.05, 0
	return s
}

// newSimulation starts n members at different addresses, with clocks that drift
// apart.
func newSimulation(n, spares int, hold time.Duration) *simulation {
	sim := &simulation{sparesLeft: spares, hold: hold}
	for i := range n {
		sim.startProcess(fmt.Sprintf("a%d", i), 1+0.05*float64(1-2*(i%2)))
	}
	for range 3 { // join, acquire, renew
		for i := range sim.members {
			sim.runProcess(i, true)
			for len(sim.pendingAppends) > 0 {
				sim.deliverAppend(0)
			}
		}
	}
	return sim
}

func (sim *simulation) startProcess(addr string, clockRate float64) {
	sim.started++
	id := fmt.Sprintf("%s#%d", addr, sim.started)
	h := NewHolder(searchSettings(Member{ID: id, Domain: "d", Address: addr}, sim.hold))
	sim.members = append(sim.members, &process{h: h, clockRate: clockRate, startedAt: sim.trueTime})
}

func (p *process) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now-p.startedAt) * p.clockRate)
}

// runProcess lets a member read the log if read is set, then tick.
func (sim *simulation) runProcess(i int, read bool) {
	p := sim.mutableProcess(i)
	now := p.clock(sim.trueTime)
	for ; read && p.nextRead < len(sim.log); p.nextRead++ {
		_ = p.h.Apply(now, platform.Offset(p.nextRead), sim.log[p.nextRead])
	}
	if read {
		p.h.MarkCaughtUp()
	}
	actions := p.h.Tick(now)
	for _, r := range actions.Records {
		e := encodeRecord(p.h.settings.Self.ID, r)
		sim.pendingAppends = append(sim.pendingAppends, pendingAppend{member: i, seq: r.Seq, env: e, hash: hashOf(e.Kind, e.Writer, e.Body)})
	}
	for _, req := range actions.PromiseRequests {
		sim.pendingCalls = append(sim.pendingCalls, promiseCall{member: i, request: req})
	}
}

func encodeRecord(writer string, r Record) logrec.Envelope {
	data, err := logrec.Encode(r.Kind, writer, 0, r.Body)
	if err != nil {
		panic(err)
	}
	e, err := logrec.Decode(data)
	if err != nil {
		panic(err)
	}
	return e
}

func (sim *simulation) deliverAppend(k int) {
	e := sim.pendingAppends[k].env
	sim.log = append(sim.log, e)
	sim.logHash = hashOf(sim.logHash, e.Kind, e.Writer, e.Body)
	sim.pendingAppends = slices.Delete(sim.pendingAppends, k, k+1)
}

// rejectAppend tells the writer that an append had no effect.
func (sim *simulation) rejectAppend(k int) {
	f := sim.pendingAppends[k]
	sim.pendingAppends = slices.Delete(sim.pendingAppends, k, k+1)
	sim.mutableProcess(f.member).h.HandleAppendResult(f.seq, platform.ErrOutage)
}

// deliverCall delivers a request to the live process at its address, or an
// answer to the requester.
func (sim *simulation) deliverCall(k int) {
	c := sim.pendingCalls[k]
	sim.pendingCalls = slices.Delete(sim.pendingCalls, k, k+1)
	if c.answer != nil {
		sim.mutableProcess(c.member).h.HandlePromiseAnswer(c.request.ID, *c.answer)
		return
	}
	for i, p := range sim.members {
		if !p.dead && p.h.settings.Self.Address == c.request.Member.Address {
			p = sim.mutableProcess(i)
			answer := p.h.HandlePromiseRequest(p.clock(sim.trueTime), c.request.Body)
			sim.pendingCalls = append(sim.pendingCalls, promiseCall{member: c.member, request: c.request, answer: &answer})
		}
	}
}

// restart replaces a process by a new incarnation at the same address.
func (sim *simulation) restart(i int) {
	sim.sparesLeft--
	sim.mutableProcess(i).dead = true
	sim.startProcess(sim.members[i].h.settings.Self.Address, sim.members[i].clockRate)
}

// eachSuccessor calls visit with every state that one step leads to.
func (sim *simulation) eachSuccessor(visit func(step string, next *simulation)) {
	do := func(step string, f func(*simulation)) {
		c := sim.clone()
		f(c)
		visit(step, c)
	}
	do("time", func(c *simulation) { c.trueTime += unit })
	for i, p := range sim.members {
		if p.dead {
			continue
		}
		do(fmt.Sprint("run ", i), func(c *simulation) { c.runProcess(i, true) })
		do(fmt.Sprint("run without log ", i), func(c *simulation) { c.runProcess(i, false) })
		if sim.sparesLeft > 0 {
			do(fmt.Sprint("restart ", i), func(c *simulation) { c.restart(i) })
		}
	}
	for k := range sim.pendingAppends {
		do(fmt.Sprint("deliver append ", k), func(c *simulation) { c.deliverAppend(k) })
		do(fmt.Sprint("reject append ", k), func(c *simulation) { c.rejectAppend(k) })
	}
	for k := range sim.pendingCalls {
		do(fmt.Sprint("deliver call ", k), func(c *simulation) { c.deliverCall(k) })
	}
	if sim.sparesLeft > 0 {
		do("join", func(c *simulation) {
			c.sparesLeft--
			c.startProcess("a9", 1.05)
		})
	}
}

// countHolders counts the live members that may use the lease, and those that
// may use its floor, at this instant.
func (sim *simulation) countHolders() (lease, floor int) {
	for _, p := range sim.members {
		if p.dead {
			continue
		}
		now := p.clock(sim.trueTime)
		for _, g := range p.h.Grants(now) {
			if now < g.Until {
				lease++
			}
			if now < g.FloorUntil {
				floor++
			}
		}
	}
	return lease, floor
}

func (sim *simulation) clone() *simulation {
	c := *sim
	c.log = slices.Clone(sim.log)
	c.pendingAppends, c.pendingCalls = slices.Clone(sim.pendingAppends), slices.Clone(sim.pendingCalls)
	c.members = slices.Clone(sim.members)
	return &c
}

// mutableProcess replaces a member by a copy that only this simulation refers
// to, and returns it.
func (sim *simulation) mutableProcess(i int) *process {
	p := *sim.members[i]
	if !p.dead {
		p.h = p.h.clone()
	}
	p.hash = 0
	sim.members[i] = &p
	return &p
}

func (h *Holder) clone() *Holder {
	c := *h
	c.table = &Table{nextOffset: h.table.nextOffset, members: maps.Clone(h.table.members), leases: maps.Clone(h.table.leases)}
	c.sendTimes, c.pendingRequests, c.promisedUntil = maps.Clone(h.sendTimes), maps.Clone(h.pendingRequests), maps.Clone(h.promisedUntil)
	c.held, c.pendingAcquires = map[Resource]*heldLease{}, map[Resource]pendingAcquire{}
	for r, l := range h.held {
		n := *l
		n.promises = maps.Clone(l.promises)
		c.held[r] = &n
	}
	for r, a := range h.pendingAcquires {
		a.seqs = slices.Clone(a.seqs)
		c.pendingAcquires[r] = a
	}
	return &c
}

var seed = maphash.MakeSeed()

func hashOf(parts ...any) uint64 {
	var m maphash.Hash
	m.SetSeed(seed)
	fmt.Fprint(&m, parts...)
	return m.Sum64()
}

// fingerprint hashes the state, to recognize states already visited.
func (sim *simulation) fingerprint() uint64 {
	var m maphash.Hash
	m.SetSeed(seed)
	fmt.Fprint(&m, sim.trueTime, sim.sparesLeft, sim.logHash)
	for _, f := range sim.pendingAppends {
		fmt.Fprint(&m, f.hash, ",")
	}
	for _, c := range sim.pendingCalls {
		fmt.Fprint(&m, c.member, c.request.ID, c.answer, ",")
	}
	for _, p := range sim.members {
		if p.hash == 0 {
			p.hash = p.fingerprint()
		}
		fmt.Fprint(&m, p.hash, ",")
	}
	return m.Sum64()
}

func (p *process) fingerprint() uint64 {
	h := p.h
	if p.dead {
		return 1
	}
	var held *heldLease
	if held = h.held[slot]; held == nil {
		held = &heldLease{}
	}
	return hashOf(p.nextRead, h.seq, h.joinSentAt, h.renewSentAt, h.requestsSentAt, h.sendTimes, h.pendingAcquires, h.promisedUntil, h.pendingRequests,
		h.table.leases, *held, h.settings.Self.ID)
}
