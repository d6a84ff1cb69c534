package poison

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mastictray/mastictray/internal/propertytest"
)

func TestMain(m *testing.M) { propertytest.Main(m, 1500) }

type envelope struct {
	from int
	Message
}

// call is one request on its way.
type call struct {
	id     string
	node   int
	fp     Fingerprint
	poison bool
	target string
	// lost says that its target crashed and its instance has not noticed.
	lost bool
	// incarnation is the one that it was lost with.
	incarnation int
}

// fleet is a few registries, the targets they share, and callers: one for
// each poison request, which sends it again after each failure, and some for
// innocent ones.
type fleet struct {
	t       *rapid.T
	now     time.Duration
	regs    []*Registry
	mail    []envelope
	targets map[string]int
	calls   []*call
	seq     int
	losses  map[Fingerprint]int
	final   map[Fingerprint]int
	done    map[Fingerprint]bool
	copies  int
	// lossy drops one message in four.
	lossy bool
}

const (
	instances = 4
	targets   = 6
)

func newFleet(t *rapid.T) *fleet {
	f := &fleet{
		t: t, targets: map[string]int{}, losses: map[Fingerprint]int{},
		final: map[Fingerprint]int{}, done: map[Fingerprint]bool{},
	}
	for i := range instances {
		f.regs = append(f.regs, New(Config{Self: name(i)}))
	}
	for i, r := range f.regs {
		var peers []string
		for j := range instances {
			if j != i {
				peers = append(peers, name(j))
			}
		}
		r.SetPeers(0, peers)
	}
	f.now = 10 * time.Second
	for i := range targets {
		f.targets[fmt.Sprint("t", i)] = 0
	}
	return f
}

func name(i int) string { return fmt.Sprint("e", i) }

func (f *fleet) send(fp Fingerprint, poison bool) {
	f.seq++
	c := &call{
		id: fmt.Sprint("r", f.seq), fp: fp, poison: poison,
		node: rapid.IntRange(0, instances-1).Draw(f.t, "instance"),
	}
	f.admit(c)
}

func (f *fleet) admit(c *call) {
	f.calls = append(f.calls, c)
	order := rapid.Permutation(sortedKeys(f.targets)).Draw(f.t, "targets")
	r := f.regs[c.node]
	switch r.Admit(f.now, c.id, c.fp, "pool", order) {
	case Run:
		c.target = order[0]
		r.Started(c.id, c.target)
	case Quarantined:
		f.end(c, true)
	}
	f.collect(c.node)
}

func sortedKeys(m map[string]int) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// end takes a call away. The caller of a poison request sends it again.
func (f *fleet) end(c *call, quarantined bool) {
	f.calls = slices.DeleteFunc(f.calls, func(o *call) bool { return o == c })
	switch {
	case !c.poison && !quarantined:
		f.done[c.fp] = true
	case c.poison && quarantined:
		f.final[c.fp]++
		if f.final[c.fp] < 6 {
			f.send(c.fp, true)
		}
	case c.poison:
		f.send(c.fp, true)
	}
}

func (f *fleet) collect(i int) {
	out := f.regs[i].Ready()
	for _, m := range out.Messages {
		f.mail = append(f.mail, envelope{from: i, Message: m})
	}
	for _, d := range out.Decisions {
		f.decided(d)
	}
}

func (f *fleet) decided(d Decision) {
	at := slices.IndexFunc(f.calls, func(c *call) bool { return c.id == d.Request })
	if at < 0 {
		return
	}
	c := f.calls[at]
	switch d.Verdict {
	case Isolate:
		c.target = d.Target
	case Run:
		c.target = "t0"
		f.regs[c.node].Started(c.id, c.target)
	case Retry:
		c.target, c.lost = "", false
		f.calls = slices.Delete(f.calls, at, at+1)
		f.admit(c)
	case Quarantined, Refused:
		f.end(c, d.Verdict == Quarantined)
	}
}

func (f *fleet) deliver(i int) {
	m := f.mail[i]
	f.mail = slices.Delete(f.mail, i, i+1)
	if f.lossy && rapid.IntRange(0, 3).Draw(f.t, "lost") == 0 {
		return
	}
	to := slices.IndexFunc(f.regs, func(r *Registry) bool { return r.cfg.Self == m.To })
	f.regs[to].Receive(f.now, name(m.from), m.Body)
	f.collect(to)
}

// crash loses the target and all that runs on it.
func (f *fleet) crash(target string) {
	for _, c := range f.calls {
		if c.target == target && !c.lost {
			c.lost, c.incarnation = true, f.targets[target]
		}
	}
	f.targets[target]++
}

// progress ends or notices one running call.
func (f *fleet) progress(c *call) {
	r := f.regs[c.node]
	switch {
	case c.target == "":
	case c.lost:
		var lost []string
		for _, o := range f.calls {
			if o.node == c.node && o.target == c.target && o.lost && o.incarnation == c.incarnation {
				lost = append(lost, o.id)
			}
		}
		target := c.target
		for _, o := range f.calls {
			if slices.Contains(lost, o.id) {
				o.target, o.lost = "", false
			}
		}
		r.TargetCrashed(f.now, target, fmt.Sprint(c.incarnation), lost)
	case c.poison:
		f.losses[c.fp]++
		f.crash(c.target)
	default:
		r.Ended(f.now, c.id, true)
		f.end(c, false)
	}
	f.collect(c.node)
}

// impatient lets a caller send its poison request again while the one before
// is still under way, once all instances know of the first crash.
func (f *fleet) impatient() bool {
	if f.copies == 0 || rapid.IntRange(0, 9).Draw(f.t, "impatient") > 0 {
		return false
	}
	for _, r := range f.regs {
		if r.ledger.suspicion(print(0)) == 0 {
			return false
		}
	}
	f.copies--
	f.send(print(0), true)
	return true
}

// step does one thing; the time moves on only when no message is under way,
// so that each arrives within the hold bound.
func (f *fleet) step() {
	if f.impatient() {
		return
	}
	running := slices.DeleteFunc(slices.Clone(f.calls), func(c *call) bool { return c.target == "" })
	pick := rapid.IntRange(0, len(f.mail)*2+len(running)).Draw(f.t, "next")
	switch {
	case pick < len(f.mail)*2:
		f.deliver(pick / 2)
	case pick < len(f.mail)*2+len(running):
		f.progress(running[pick-len(f.mail)*2])
	case len(f.mail) == 0:
		f.now += 500 * time.Millisecond
		for i, r := range f.regs {
			r.Tick(f.now)
			f.collect(i)
		}
	}
}

func print(i int) Fingerprint { return Fingerprint{byte(i + 1)} }

// Callers send requests that crash each target, again after each failure and
// at any instance, among innocent ones that share the targets. Each poison
// request takes two targets at most, then gets its final answer everywhere;
// the innocent ones complete and are not blamed, but for one that shared a target
// with two different poison requests.
func TestTwoTargetsAreLostAtMost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(rt)
		f.copies = rapid.IntRange(0, 3).Draw(rt, "copies")
		poisons := rapid.IntRange(1, 2).Draw(rt, "poisons")
		innocents := rapid.IntRange(0, 8).Draw(rt, "innocents")
		for i := range innocents {
			f.send(print(10+i), false)
		}
		for i := range poisons {
			f.send(print(i), true)
		}
		for i := 0; i < 3000 && len(f.calls)+len(f.mail) > 0; i++ {
			f.step()
			for fp, n := range f.losses {
				if n > 2 {
					rt.Fatalf("poison request %d took %d targets", fp[0], n)
				}
			}
		}
		f.settled(poisons, innocents)
	})
}

func (f *fleet) settled(poisons, innocents int) {
	if len(f.calls) > 0 {
		f.t.Fatalf("%d calls without an answer", len(f.calls))
	}
	for i, r := range f.regs {
		for p := range poisons {
			if r.Admit(f.now, "last", print(p), "pool", nil) != Quarantined {
				f.t.Fatalf("instance %d does not refuse poison request %d", i, p)
			}
		}
		for n := range innocents {
			if poisons > 1 && r.ledger.quarantined(f.now, print(10+n)) {
				continue // it shared a target with each poison request
			}
			if !f.done[print(10+n)] {
				f.t.Fatalf("innocent request %d did not complete", n)
			}
			if r.ledger.quarantined(f.now, print(10+n)) {
				f.t.Fatalf("innocent request %d is blamed at instance %d", n, i)
			}
		}
	}
}

// One message in four between the instances is lost. A poison request may then
// take more than two targets, but no call waits for ever: each gets a verdict
// within the bounds of holds and permits. When the links are back, one exchange
// of states makes all instances refuse the poison request.
func TestNoCallWaitsForEverOnLostMessages(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(rt)
		f.lossy = true
		for i := range rapid.IntRange(0, 4).Draw(rt, "innocents") {
			f.send(print(10+i), false)
		}
		f.send(print(0), true)
		for i := 0; i < 5000 && len(f.calls)+len(f.mail) > 0; i++ {
			f.step()
		}
		if len(f.calls) > 0 {
			rt.Fatalf("%d calls without an answer", len(f.calls))
		}
		for i, r := range f.regs {
			for j, o := range f.regs {
				if i != j {
					o.Receive(f.now, name(i), r.State(f.now))
				}
			}
		}
		for i, r := range f.regs {
			if r.Admit(f.now, "last", print(0), "pool", nil) != Quarantined {
				rt.Fatalf("instance %d does not refuse the poison request", i)
			}
		}
	})
}
