package claim

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// searchFaults bounds the faults on one path. Each additional fault takes about 25 times
// as long.
var searchFaults = flag.Int("claim.faults", 1, "faults on one path of the exhaustive search")

// searcher visits every interleaving of a small fleet, each state once.
type searcher struct {
	faults int
	seen   map[[32]byte]bool
	// steps counts the actions executed.
	steps   int
	failure string
}

type searchState struct {
	*fleet
	callsBegun int
	faults     int
	told       map[string]bool
}

// callers lists the node that each call with the key arrives at.
var callers = []int{0, 1, 0}

func newSearchState() *searchState {
	cfg := Config{MaxBatchAge: 1, RetryDelay: 1}
	return &searchState{fleet: newFleet(2, cfg), told: map[string]bool{}}
}

// actions lists what can happen next. The name of an action is used in reports; a faulty
// one uses up one of the faults allowed by budget.
func (w *searchState) actions(budget int) []action {
	var out []action
	add := func(name string, faulty bool, do func(*searchState)) {
		if !faulty || w.faults < budget {
			out = append(out, action{name, faulty, do})
		}
	}
	if w.callsBegun < len(callers) {
		add("begin", false, func(w *searchState) {
			w.callsBegun++
			w.begin(callers[w.callsBegun-1], fmt.Sprintf("r%d", w.callsBegun), "key", false)
		})
	}
	if len(w.lateAppends) > 0 {
		add("store late append", false, func(w *searchState) { w.storeLateAppend() })
	}
	for i := range w.nodes {
		w.nodeActions(i, add)
	}
	return out
}

type action struct {
	name   string
	faulty bool
	do     func(*searchState)
}

func (w *searchState) nodeActions(i int, add func(string, bool, func(*searchState))) {
	n := w.nodes[i]
	on := func(name string, faulty bool, do func(*searchState, *node)) {
		add(fmt.Sprintf("%s %d", name, i), faulty, func(w *searchState) { do(w, w.nodes[i]) })
	}
	if len(n.pending) > 0 {
		for outcome, name := range []string{"stored", "answer lost", "refused", "lost", "late"} {
			on(name, appendOutcome(outcome) != appendStored, func(w *searchState, n *node) { w.append(n, appendOutcome(outcome)) })
		}
	}
	if int(n.machine.ReadFrom()) < len(w.log) {
		on("read", false, func(w *searchState, n *node) { w.read(n, 1) })
	}
	if len(n.toDispatch) > 0 {
		on("dispatch", false, func(w *searchState, n *node) { w.dispatch(n) })
	}
	if len(n.dispatched) > 0 {
		on("finish", false, func(w *searchState, n *node) { w.finish(n, answered) })
		on("outcome unknown", true, func(w *searchState, n *node) { w.finish(n, outcomeUnknown) })
		on("not sent", true, func(w *searchState, n *node) { w.finish(n, neverSent) })
	}
	on("kill", true, func(w *searchState, _ *node) { w.kill(i) })
	on("pause", true, func(_ *searchState, n *node) { n.now += 20 * time.Second })
	if n.now > 0 {
		on("tick", false, func(w *searchState, n *node) { w.tick(n) })
	}
}

// walk replays the path and then tries each possible next action. Replaying takes more
// steps than copying the state, but needs no copies of the machines.
func (s *searcher) walk(path []int, names []string) {
	w := newSearchState()
	for _, a := range path {
		act := w.actions(s.faults)[a]
		if act.faulty {
			w.faults++
		}
		act.do(w)
		s.steps++
	}
	if violation := w.violation(); violation != "" {
		s.failure = fmt.Sprintf("%s after %v", violation, names)
		return
	}
	sum := sha256.Sum256([]byte(fmt.Sprint(w.callsBegun, w.faults, w.dump())))
	if s.seen[sum] {
		return
	}
	s.seen[sum] = true
	for i, a := range w.actions(s.faults) {
		s.walk(append(path[:len(path):len(path)], i), append(names[:len(names):len(names)], a.name))
		if s.failure != "" {
			return
		}
	}
}

// A request is sent three times with the same key, to two instances. In every order of
// append, read, dispatch, kill, pause and lost answer, with up to searchFaults faults
// anywhere, it runs at most once, and no call reported as not_run runs later.
func TestEveryInterleavingRunsAtMostOnce(t *testing.T) {
	is := is.New(t)
	s := &searcher{faults: *searchFaults, seen: map[[32]byte]bool{}}
	s.walk(nil, nil)
	t.Logf("states=%d steps=%d faults=%d", len(s.seen), s.steps, s.faults)
	is.Equal(s.failure, "")
	is.True(len(s.seen) > 1000)
}
