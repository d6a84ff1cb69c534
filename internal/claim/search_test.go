package claim

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// searchFaults bounds the faults on one path; each more costs about 25 times.
var searchFaults = flag.Int("claim.faults", 1, "faults on one path of the exhaustive search")

// searcher walks every interleaving of a small fleet, each state once.
type searcher struct {
	faults int
	seen   map[[32]byte]bool
	// steps counts executed actions.
	steps int
	fail  string
}

type world struct {
	*fleet
	begun  int
	faults int
	told   map[string]bool
}

// callers are the calls of one key: where each repeat arrives.
var callers = []int{0, 1, 0}

func newWorld() *world {
	cfg := Config{MaxBatchAge: 1, RetryDelay: 1}
	return &world{fleet: newFleet(2, cfg), told: map[string]bool{}}
}

// actions lists what can happen next; each has a name for the report and
// faulty says whether it uses up the fault budget.
func (w *world) actions(budget int) []action {
	var out []action
	add := func(name string, faulty bool, do func(*world)) {
		if !faulty || w.faults < budget {
			out = append(out, action{name, faulty, do})
		}
	}
	if w.begun < len(callers) {
		add("begin", false, func(w *world) {
			w.begun++
			w.begin(callers[w.begun-1], fmt.Sprintf("r%d", w.begun), "key", false)
		})
	}
	if len(w.late) > 0 {
		add("land", false, func(w *world) { w.land() })
	}
	for i := range w.nodes {
		w.nodeActions(i, add)
	}
	return out
}

type action struct {
	name   string
	faulty bool
	do     func(*world)
}

func (w *world) nodeActions(i int, add func(string, bool, func(*world))) {
	n := w.nodes[i]
	on := func(what string, faulty bool, do func(*world, *node)) {
		add(fmt.Sprintf("%s %d", what, i), faulty, func(w *world) { do(w, w.nodes[i]) })
	}
	if len(n.pending) > 0 {
		for how, name := range []string{"stored", "answer lost", "refused", "lost", "late"} {
			on(name, fate(how) != stored, func(w *world, n *node) { w.append(n, fate(how)) })
		}
	}
	if int(n.m.ReadFrom()) < len(w.recs) {
		on("read", false, func(w *world, n *node) { w.read(n, 1) })
	}
	if len(n.run) > 0 {
		on("dispatch", false, func(w *world, n *node) { w.dispatch(n) })
	}
	if len(n.sent) > 0 {
		on("finish", false, func(w *world, n *node) { w.finish(n, answered) })
		on("outcome unknown", true, func(w *world, n *node) { w.finish(n, outcomeUnknown) })
		on("not sent", true, func(w *world, n *node) { w.finish(n, neverSent) })
	}
	on("kill", true, func(w *world, _ *node) { w.kill(i) })
	on("pause", true, func(_ *world, n *node) { n.now += 20 * time.Second })
	if n.now > 0 {
		on("tick", false, func(w *world, n *node) { w.tick(n) })
	}
}

// walk replays the path, then tries each next action. Replaying costs steps
// but needs no copies of the machines.
func (s *searcher) walk(path []int, names []string) {
	w := newWorld()
	for _, a := range path {
		act := w.actions(s.faults)[a]
		if act.faulty {
			w.faults++
		}
		act.do(w)
		s.steps++
	}
	if why := w.broken(); why != "" {
		s.fail = fmt.Sprintf("%s after %v", why, names)
		return
	}
	sum := sha256.Sum256([]byte(fmt.Sprint(w.begun, w.faults, w.dump())))
	if s.seen[sum] {
		return
	}
	s.seen[sum] = true
	for i, a := range w.actions(s.faults) {
		s.walk(append(path[:len(path):len(path)], i), append(names[:len(names):len(names)], a.name))
		if s.fail != "" {
			return
		}
	}
}

// The caller of one booking sends it three times, to two instances. Every
// order of append, read, dispatch, kill, pause and lost answer is tried, with
// searchFaults faults in any place: the booking runs at most once, and no call that
// was told not_run runs later.
func TestEveryInterleavingRunsAtMostOnce(t *testing.T) {
	is := is.New(t)
	s := &searcher{faults: *searchFaults, seen: map[[32]byte]bool{}}
	s.walk(nil, nil)
	t.Logf("states=%d steps=%d faults=%d", len(s.seen), s.steps, s.faults)
	is.Equal(s.fail, "")
	is.True(len(s.seen) > 1000)
}
