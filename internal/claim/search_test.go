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
	callsBegun     int
	faults         int
	reportedNotRun map[string]bool
}

// callers lists the node that each call with the key arrives at.
var callers = []int{0, 1, 0}

func newSearchState() *searchState {
	cfg := Config{MaxBatchAge: 1, RetryDelay: 1}
	return &searchState{fleet: newFleet(2, cfg), reportedNotRun: map[string]bool{}}
}

// actions lists what can happen next. The name of an action is used in reports; a faulty
// one uses up one of the faults allowed by budget.
func (st *searchState) actions(budget int) []action {
	var out []action
	add := func(name string, faulty bool, do func(*searchState)) {
		if !faulty || st.faults < budget {
			out = append(out, action{name, faulty, do})
		}
	}
	if st.callsBegun < len(callers) {
		add("begin", false, func(st *searchState) {
			st.callsBegun++
			st.begin(callers[st.callsBegun-1], fmt.Sprintf("r%d", st.callsBegun), "key", false)
		})
	}
	if len(st.lateAppends) > 0 {
		add("store late append", false, func(st *searchState) { st.storeLateAppend() })
	}
	for i := range st.nodes {
		st.nodeActions(i, add)
	}
	return out
}

type action struct {
	name   string
	faulty bool
	do     func(*searchState)
}

func (st *searchState) nodeActions(i int, add func(string, bool, func(*searchState))) {
	n := st.nodes[i]
	on := func(name string, faulty bool, do func(*searchState, *node)) {
		add(fmt.Sprintf("%s %d", name, i), faulty, func(st *searchState) { do(st, st.nodes[i]) })
	}
	if len(n.pending) > 0 {
		for outcome, name := range []string{"stored", "answer lost", "refused", "lost", "late"} {
			on(name, appendOutcome(outcome) != appendStored, func(st *searchState, n *node) { st.append(n, appendOutcome(outcome)) })
		}
	}
	if int(n.machine.ReadFrom()) < len(st.log) {
		on("read", false, func(st *searchState, n *node) { st.read(n, 1) })
	}
	if len(n.toDispatch) > 0 {
		on("dispatch", false, func(st *searchState, n *node) { st.dispatch(n) })
	}
	if len(n.dispatched) > 0 {
		on("finish", false, func(st *searchState, n *node) { st.finish(n, answered) })
		on("outcome unknown", true, func(st *searchState, n *node) { st.finish(n, outcomeUnknown) })
		on("not sent", true, func(st *searchState, n *node) { st.finish(n, neverSent) })
	}
	on("kill", true, func(st *searchState, _ *node) { st.kill(i) })
	on("pause", true, func(_ *searchState, n *node) { n.now += 20 * time.Second })
	if n.now > 0 {
		on("tick", false, func(st *searchState, n *node) { st.tick(n) })
	}
}

// walk replays the path and then tries each possible next action. Replaying takes more
// steps than copying the state, but needs no copies of the machines.
func (s *searcher) walk(path []int, names []string) {
	st := newSearchState()
	for _, a := range path {
		act := st.actions(s.faults)[a]
		if act.faulty {
			st.faults++
		}
		act.do(st)
		s.steps++
	}
	if violation := st.violation(); violation != "" {
		s.failure = fmt.Sprintf("%s after %v", violation, names)
		return
	}
	sum := sha256.Sum256([]byte(fmt.Sprint(st.callsBegun, st.faults, st.dump())))
	if s.seen[sum] {
		return
	}
	s.seen[sum] = true
	for i, a := range st.actions(s.faults) {
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
