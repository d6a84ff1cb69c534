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

// call is one attempt of a caller.
type call struct {
	id       string
	instance int
	fp       Fingerprint
	poison   bool
	target   string
	// targetLost is true if the target has crashed and the instance has not
	// noticed yet.
	targetLost bool
	// incarnation is the incarnation of the target that was lost.
	incarnation int
}

// fleet simulates a few registries, the targets that they share, and callers.
// The caller of a poison request resends it after each failure; the other
// requests are innocent.
type fleet struct {
	t            *rapid.T
	now          time.Duration
	registries   []*Registry
	inFlight     []envelope
	targets      map[string]int
	calls        []*call
	seq          int
	lostTargets  map[Fingerprint]int
	finalAnswers map[Fingerprint]int
	completed    map[Fingerprint]bool
	extraCopies  int
	// lossy drops one message in four.
	lossy bool
}

const (
	instances = 4
	targets   = 6
)

func newFleet(t *rapid.T) *fleet {
	f := &fleet{
		t: t, targets: map[string]int{}, lostTargets: map[Fingerprint]int{},
		finalAnswers: map[Fingerprint]int{}, completed: map[Fingerprint]bool{},
	}
	for i := range instances {
		f.registries = append(f.registries, New(Config{Self: instanceName(i)}))
	}
	for i, r := range f.registries {
		var peers []string
		for j := range instances {
			if j != i {
				peers = append(peers, instanceName(j))
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

func instanceName(i int) string { return fmt.Sprint("e", i) }

func (f *fleet) send(fp Fingerprint, poison bool) {
	f.seq++
	c := &call{
		id: fmt.Sprint("r", f.seq), fp: fp, poison: poison,
		instance: rapid.IntRange(0, instances-1).Draw(f.t, "instance"),
	}
	f.admit(c)
}

func (f *fleet) admit(c *call) {
	f.calls = append(f.calls, c)
	order := rapid.Permutation(sortedKeys(f.targets)).Draw(f.t, "targets")
	r := f.registries[c.instance]
	switch r.Admit(f.now, c.id, c.fp, "pool", order) {
	case Run:
		c.target = order[0]
		r.Started(c.id, c.target)
	case Quarantined:
		f.end(c, true)
	}
	f.collect(c.instance)
}

func sortedKeys(m map[string]int) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// end removes a call. The caller of a poison request sends it again.
func (f *fleet) end(c *call, quarantined bool) {
	f.calls = slices.DeleteFunc(f.calls, func(o *call) bool { return o == c })
	switch {
	case !c.poison && !quarantined:
		f.completed[c.fp] = true
	case c.poison && quarantined:
		f.finalAnswers[c.fp]++
		if f.finalAnswers[c.fp] < 6 {
			f.send(c.fp, true)
		}
	case c.poison:
		f.send(c.fp, true)
	}
}

func (f *fleet) collect(i int) {
	out := f.registries[i].Ready()
	for _, m := range out.Messages {
		f.inFlight = append(f.inFlight, envelope{from: i, Message: m})
	}
	for _, d := range out.Decisions {
		f.handleDecision(d)
	}
}

func (f *fleet) handleDecision(d Decision) {
	index := slices.IndexFunc(f.calls, func(c *call) bool { return c.id == d.Request })
	if index < 0 {
		return
	}
	c := f.calls[index]
	switch d.Verdict {
	case Isolate:
		c.target = d.Target
	case Run:
		c.target = "t0"
		f.registries[c.instance].Started(c.id, c.target)
	case Retry:
		c.target, c.targetLost = "", false
		f.calls = slices.Delete(f.calls, index, index+1)
		f.admit(c)
	case Quarantined, Refused:
		f.end(c, d.Verdict == Quarantined)
	}
}

func (f *fleet) deliver(i int) {
	m := f.inFlight[i]
	f.inFlight = slices.Delete(f.inFlight, i, i+1)
	if f.lossy && rapid.IntRange(0, 3).Draw(f.t, "lost") == 0 {
		return
	}
	to := slices.IndexFunc(f.registries, func(r *Registry) bool { return r.cfg.Self == m.To })
	f.registries[to].Receive(f.now, instanceName(m.from), m.Body)
	f.collect(to)
}

// crash loses the target and all calls that run on it.
func (f *fleet) crash(target string) {
	for _, c := range f.calls {
		if c.target == target && !c.targetLost {
			c.targetLost, c.incarnation = true, f.targets[target]
		}
	}
	f.targets[target]++
}

// advance completes a running call, crashes its target, or lets its instance
// notice the crash.
func (f *fleet) advance(c *call) {
	r := f.registries[c.instance]
	switch {
	case c.target == "":
	case c.targetLost:
		var lost []string
		for _, o := range f.calls {
			if o.instance == c.instance && o.target == c.target && o.targetLost && o.incarnation == c.incarnation {
				lost = append(lost, o.id)
			}
		}
		target := c.target
		for _, o := range f.calls {
			if slices.Contains(lost, o.id) {
				o.target, o.targetLost = "", false
			}
		}
		r.TargetCrashed(f.now, target, fmt.Sprint(c.incarnation), lost)
	case c.poison:
		f.lostTargets[c.fp]++
		f.crash(c.target)
	default:
		r.Ended(f.now, c.id, true)
		f.end(c, false)
	}
	f.collect(c.instance)
}

// maybeResend lets a caller resend its poison request while the previous attempt
// is still in progress, once all instances know of the first crash.
func (f *fleet) maybeResend() bool {
	if f.extraCopies == 0 || rapid.IntRange(0, 9).Draw(f.t, "resend") > 0 {
		return false
	}
	for _, r := range f.registries {
		if r.ledger.openCrashCount(testFingerprint(0)) == 0 {
			return false
		}
	}
	f.extraCopies--
	f.send(testFingerprint(0), true)
	return true
}

// step takes one action. Time advances only while no message is in flight, so
// that every message arrives within AckTimeout.
func (f *fleet) step() {
	if f.maybeResend() {
		return
	}
	running := slices.DeleteFunc(slices.Clone(f.calls), func(c *call) bool { return c.target == "" })
	pick := rapid.IntRange(0, len(f.inFlight)*2+len(running)).Draw(f.t, "next")
	switch {
	case pick < len(f.inFlight)*2:
		f.deliver(pick / 2)
	case pick < len(f.inFlight)*2+len(running):
		f.advance(running[pick-len(f.inFlight)*2])
	case len(f.inFlight) == 0:
		f.now += 500 * time.Millisecond
		for i, r := range f.registries {
			r.Tick(f.now)
			f.collect(i)
		}
	}
}

func testFingerprint(i int) Fingerprint { return Fingerprint{byte(i + 1)} }

// Callers send poison requests, again after each failure and to any instance,
// among innocent requests that share the targets. Each poison request may take
// down at most two targets and is then refused by all instances. Innocent
// requests complete and are not quarantined, except one that shared a target
// with two different poison requests.
func TestTwoTargetsAreLostAtMost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(rt)
		f.extraCopies = rapid.IntRange(0, 3).Draw(rt, "copies")
		poisons := rapid.IntRange(1, 2).Draw(rt, "poisons")
		innocents := rapid.IntRange(0, 8).Draw(rt, "innocents")
		for i := range innocents {
			f.send(testFingerprint(10+i), false)
		}
		for i := range poisons {
			f.send(testFingerprint(i), true)
		}
		for i := 0; i < 3000 && len(f.calls)+len(f.inFlight) > 0; i++ {
			f.step()
			for fp, n := range f.lostTargets {
				if n > 2 {
					rt.Fatalf("poison request %d crashed %d targets", fp[0], n)
				}
			}
		}
		f.checkFinalState(poisons, innocents)
	})
}

func (f *fleet) checkFinalState(poisons, innocents int) {
	if len(f.calls) > 0 {
		f.t.Fatalf("%d calls without an answer", len(f.calls))
	}
	for i, r := range f.registries {
		for p := range poisons {
			if r.Admit(f.now, "last", testFingerprint(p), "pool", nil) != Quarantined {
				f.t.Fatalf("instance %d does not refuse poison request %d", i, p)
			}
		}
		for n := range innocents {
			if poisons > 1 && r.ledger.quarantined(f.now, testFingerprint(10+n)) {
				continue // it shared a target with each poison request
			}
			if !f.completed[testFingerprint(10+n)] {
				f.t.Fatalf("innocent request %d did not complete", n)
			}
			if r.ledger.quarantined(f.now, testFingerprint(10+n)) {
				f.t.Fatalf("innocent request %d is quarantined at instance %d", n, i)
			}
		}
	}
}

// One message in four between the instances is lost. A poison request may then
// take down more than two targets, but every call gets a verdict within the
// timeouts of acks and permits. When the links are back, one exchange of states
// makes all instances refuse the poison request.
func TestNoCallWaitsForEverOnLostMessages(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(rt)
		f.lossy = true
		for i := range rapid.IntRange(0, 4).Draw(rt, "innocents") {
			f.send(testFingerprint(10+i), false)
		}
		f.send(testFingerprint(0), true)
		for i := 0; i < 5000 && len(f.calls)+len(f.inFlight) > 0; i++ {
			f.step()
		}
		if len(f.calls) > 0 {
			rt.Fatalf("%d calls without an answer", len(f.calls))
		}
		for i, r := range f.registries {
			for j, o := range f.registries {
				if i != j {
					o.Receive(f.now, instanceName(i), r.State(f.now))
				}
			}
		}
		for i, r := range f.registries {
			if r.Admit(f.now, "last", testFingerprint(0), "pool", nil) != Quarantined {
				rt.Fatalf("instance %d does not refuse the poison request", i)
			}
		}
	})
}
