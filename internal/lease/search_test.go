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

// world is a small fleet at one moment: real holders, the log and everything
// on the way. What is on the way may arrive at any later step or never, so
// losses, delays and reordering need no steps of their own; a process that
// takes no turn is frozen.
type world struct {
	now     time.Duration // true time
	log     []logrec.Envelope
	members []*actor
	appends []flight
	calls   []call
	spare   int // incarnations that may still be started
	started int
	hold    time.Duration
	logHash uint64
}

// actor is one process. Worlds share actors until a step changes one.
type actor struct {
	hash  uint64 // of its state; 0 when it has to be computed
	h     *Holder
	speed float64
	start time.Duration
	read  int
	dead  bool
}

type flight struct {
	by  int
	seq uint64
	env logrec.Envelope
	sum uint64
}

// call is a promise asked for, or with answer set its answer.
type call struct {
	by     int
	ask    Ask
	answer *wire.LeasePromiseResponse
}

const unit = time.Second

// slot is the resource that all compete for.
var slot = Mint("d", 0)

func searchSettings(self Member, hold time.Duration) Settings {
	s := DefaultSettings(self, []Resource{slot})
	s.TTL, s.PromiseFor, s.RenewEvery, s.Hold = 2*unit, 2*unit, unit/2, hold
	s.Margin, s.Drift, s.Stagger = unit/2, 0.05, 0
	return s
}

// newWorld starts members on addresses of their own; the clocks run apart.
func newWorld(n, spare int, hold time.Duration) *world {
	w := &world{spare: spare, hold: hold}
	for i := range n {
		w.boot(fmt.Sprintf("a%d", i), 1+0.05*float64(1-2*(i%2)))
	}
	for range 3 { // join, acquire, renew
		for i := range w.members {
			w.turn(i, true)
			for len(w.appends) > 0 {
				w.land(0)
			}
		}
	}
	return w
}

func (w *world) boot(addr string, speed float64) {
	w.started++
	id := fmt.Sprintf("%s#%d", addr, w.started)
	h := NewHolder(searchSettings(Member{ID: id, Domain: "d", Address: addr}, w.hold))
	w.members = append(w.members, &actor{h: h, speed: speed, start: w.now})
}

func (a *actor) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now-a.start) * a.speed)
}

// turn lets a member read the log, or not, and do what is due.
func (w *world) turn(i int, read bool) {
	a := w.change(i)
	now := a.clock(w.now)
	for ; read && a.read < len(w.log); a.read++ {
		_ = a.h.Apply(now, platform.Offset(a.read), w.log[a.read])
	}
	if read {
		a.h.CaughtUp()
	}
	work := a.h.Tick(now)
	for _, r := range work.Records {
		e := framed(a.h.settings.Self.ID, r)
		w.appends = append(w.appends, flight{by: i, seq: r.Seq, env: e, sum: hashOf(e.Kind, e.By, e.Body)})
	}
	for _, ask := range work.Asks {
		w.calls = append(w.calls, call{by: i, ask: ask})
	}
}

func framed(by string, r Record) logrec.Envelope {
	data, err := logrec.Encode(r.Kind, by, 0, r.Body)
	if err != nil {
		panic(err)
	}
	e, err := logrec.Decode(data)
	if err != nil {
		panic(err)
	}
	return e
}

func (w *world) land(k int) {
	e := w.appends[k].env
	w.log = append(w.log, e)
	w.logHash = hashOf(w.logHash, e.Kind, e.By, e.Body)
	w.appends = slices.Delete(w.appends, k, k+1)
}

// refuse tells the writer that an append had no effect.
func (w *world) refuse(k int) {
	f := w.appends[k]
	w.appends = slices.Delete(w.appends, k, k+1)
	w.change(f.by).h.Appended(f.seq, platform.ErrOutage)
}

// carry delivers a call to whoever lives at the address, or its answer.
func (w *world) carry(k int) {
	c := w.calls[k]
	w.calls = slices.Delete(w.calls, k, k+1)
	if c.answer != nil {
		w.change(c.by).h.HandleAnswer(c.ask.ID, *c.answer)
		return
	}
	for i, a := range w.members {
		if !a.dead && a.h.settings.Self.Address == c.ask.Member.Address {
			a = w.change(i)
			answer := a.h.HandleAsk(a.clock(w.now), c.ask.Body)
			w.calls = append(w.calls, call{by: c.by, ask: c.ask, answer: &answer})
		}
	}
}

// restart replaces a process by a new incarnation at its address.
func (w *world) restart(i int) {
	w.spare--
	w.change(i).dead = true
	w.boot(w.members[i].h.settings.Self.Address, w.members[i].speed)
}

// next calls visit with every world that one step leads to.
func (w *world) next(visit func(step string, next *world)) {
	do := func(step string, f func(*world)) {
		c := w.clone()
		f(c)
		visit(step, c)
	}
	do("time", func(c *world) { c.now += unit })
	for i, a := range w.members {
		if a.dead {
			continue
		}
		do(fmt.Sprint("turn ", i), func(c *world) { c.turn(i, true) })
		do(fmt.Sprint("turn without log ", i), func(c *world) { c.turn(i, false) })
		if w.spare > 0 {
			do(fmt.Sprint("restart ", i), func(c *world) { c.restart(i) })
		}
	}
	for k := range w.appends {
		do(fmt.Sprint("land ", k), func(c *world) { c.land(k) })
		do(fmt.Sprint("refuse ", k), func(c *world) { c.refuse(k) })
	}
	for k := range w.calls {
		do(fmt.Sprint("carry ", k), func(c *world) { c.carry(k) })
	}
	if w.spare > 0 {
		do("join", func(c *world) {
			c.spare--
			c.boot("a9", 1.05)
		})
	}
}

// holders counts the live members that may use the lease, or its floor, now.
// Each may wake up and act at this instant.
func (w *world) holders() (lease, floor int) {
	for _, a := range w.members {
		if a.dead {
			continue
		}
		now := a.clock(w.now)
		for _, g := range a.h.Grants(now) {
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

func (w *world) clone() *world {
	c := *w
	c.log = slices.Clone(w.log)
	c.appends, c.calls = slices.Clone(w.appends), slices.Clone(w.calls)
	c.members = slices.Clone(w.members)
	return &c
}

// change is a member as this world's own copy.
func (w *world) change(i int) *actor {
	a := *w.members[i]
	if !a.dead {
		a.h = a.h.clone()
	}
	a.hash = 0
	w.members[i] = &a
	return &a
}

func (h *Holder) clone() *Holder {
	c := *h
	c.fold = &Fold{next: h.fold.next, members: maps.Clone(h.fold.members), states: maps.Clone(h.fold.states)}
	c.sent, c.asks, c.promised = maps.Clone(h.sent), maps.Clone(h.asks), maps.Clone(h.promised)
	c.held, c.acquires = map[Resource]*holding{}, map[Resource]attempt{}
	for r, l := range h.held {
		n := *l
		n.promises = maps.Clone(l.promises)
		c.held[r] = &n
	}
	for r, a := range h.acquires {
		a.seqs = slices.Clone(a.seqs)
		c.acquires[r] = a
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

// print identifies a state.
func (w *world) print() uint64 {
	var m maphash.Hash
	m.SetSeed(seed)
	fmt.Fprint(&m, w.now, w.spare, w.logHash)
	for _, f := range w.appends {
		fmt.Fprint(&m, f.sum, ",")
	}
	for _, c := range w.calls {
		fmt.Fprint(&m, c.by, c.ask.ID, c.answer, ",")
	}
	for _, a := range w.members {
		if a.hash == 0 {
			a.hash = a.print()
		}
		fmt.Fprint(&m, a.hash, ",")
	}
	return m.Sum64()
}

func (a *actor) print() uint64 {
	h := a.h
	if a.dead {
		return 1
	}
	var held *holding
	if held = h.held[slot]; held == nil {
		held = &holding{}
	}
	return hashOf(a.read, h.seq, h.joinAt, h.renewAt, h.askAt, h.sent, h.acquires, h.promised, h.asks,
		h.fold.states, *held, h.settings.Self.ID)
}
