package claim

import (
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/mastictray/mastictray/internal/platform"
	"github.com/mastictray/mastictray/internal/propertytest"
)

func TestMain(m *testing.M) { propertytest.Main(m, 2000) }

// fleet simulates a few machines that share a log. The tests choose each step.
type fleet struct {
	cfg      Config
	wall     int64
	logStart platform.Offset
	log      [][]byte
	nodes    []*node
	// lateAppends holds appends whose outcome was reported as unknown and that the
	// log has not stored yet.
	lateAppends [][][]byte
	seq         int
	// runs lists the requests that ran, by key.
	runs map[string][]string
	// targetResponses holds each key concatenated with each response body that a
	// target gave to it.
	targetResponses map[string]bool
	// notRun holds the requests that were reported to their callers as not run.
	notRun     map[string]bool
	keyOf      map[string]string
	violations []string
}

type node struct {
	machine *Machine
	// now is the node's monotonic clock, skewMillis the error of its wall clock.
	now         time.Duration
	skewMillis  int64
	incarnation string
	pending     []Append
	toDispatch  []string
	dispatched  []string
}

func newFleet(n int, cfg Config) *fleet {
	f := &fleet{
		cfg: cfg, wall: 1_800_000_000_000, runs: map[string][]string{},
		targetResponses: map[string]bool{}, notRun: map[string]bool{}, keyOf: map[string]string{},
	}
	for range n {
		f.nodes = append(f.nodes, &node{})
		f.restart(len(f.nodes) - 1)
	}
	return f
}

func (f *fleet) restart(i int) {
	f.seq++
	n := f.nodes[i]
	n.incarnation = fmt.Sprintf("inc%d.%d", i, f.seq)
	cfg := f.cfg
	cfg.Incarnation = n.incarnation
	n.machine = New(cfg)
	n.pending, n.toDispatch, n.dispatched = nil, nil, nil
}

func (f *fleet) nodeWall(n *node) int64 { return f.wall + n.skewMillis }

// ready collects the node's pending work and checks each answer.
func (f *fleet) ready(n *node) {
	out := n.machine.Ready(n.now + 2)
	n.pending = append(n.pending, out.Appends...)
	for _, a := range out.Answers {
		switch {
		case a.State == Run:
			n.toDispatch = append(n.toDispatch, a.ID)
		case a.State == Replay && !a.Result.BodyDropped && !f.targetResponses[f.keyOf[a.ID]+string(a.Result.Body)]:
			f.violations = append(f.violations, "replay of a response to another key: "+a.ID)
		}
		if a.State.NotRun() {
			f.notRun[a.ID] = true
		}
	}
}

func (f *fleet) begin(i int, id, key string, runWhenDown bool) {
	n := f.nodes[i]
	f.keyOf[id] = key
	err := n.machine.Begin(n.now, f.nodeWall(n), Request{
		ID: id, Account: "a", Key: key, Deadline: n.now + 10*time.Second, RunWhenLogDown: runWhenDown,
	})
	if err != nil {
		panic(err)
	}
	f.ready(n)
}

type appendOutcome int

const (
	appendStored appendOutcome = iota
	appendStoredAnswerLost
	appendRefused
	appendLost
	appendLate
)

func (f *fleet) append(n *node, outcome appendOutcome) {
	a := n.pending[0]
	n.pending = n.pending[1:]
	var err error
	switch outcome {
	case appendStored:
		f.log = append(f.log, a.Records...)
	case appendStoredAnswerLost:
		f.log = append(f.log, a.Records...)
		err = platform.ErrOutcomeUnknown
	case appendRefused:
		err = platform.ErrOutage
	case appendLost:
		err = platform.ErrOutcomeUnknown
	case appendLate:
		f.lateAppends = append(f.lateAppends, a.Records)
		err = platform.ErrOutcomeUnknown
	}
	n.machine.AppendDone(n.now, a.ID, err)
	f.ready(n)
}

// storeLateAppend stores the first of lateAppends in the log.
func (f *fleet) storeLateAppend() {
	f.log = append(f.log, f.lateAppends[0]...)
	f.lateAppends = f.lateAppends[1:]
}

// read lets the node apply up to limit records of the log.
func (f *fleet) read(n *node, limit int) {
	from := n.machine.ReadFrom()
	if from < f.logStart {
		n.machine.Trimmed(n.now, f.nodeWall(n), f.logStart)
		from = f.logStart
	}
	b := platform.Batch{Start: f.logStart, Next: platform.Offset(len(f.log))}
	for o := from; o < b.Next && len(b.Records) < limit; o++ {
		b.Records = append(b.Records, platform.Record{Offset: o, Data: f.log[o]})
	}
	if err := n.machine.ApplyRecords(n.now, f.nodeWall(n), b); err != nil {
		f.violations = append(f.violations, err.Error())
	}
	f.ready(n)
}

// dispatch sends the next request that may run to a target.
func (f *fleet) dispatch(n *node) {
	id := n.toDispatch[0]
	n.toDispatch = n.toDispatch[1:]
	if n.machine.BeginDispatch(n.now, id) != nil {
		f.notRun[id] = true
		f.ready(n)
		return
	}
	n.dispatched = append(n.dispatched, id)
	f.ready(n)
}

type dispatchOutcome int

const (
	answered dispatchOutcome = iota
	outcomeUnknown
	neverSent
)

func (f *fleet) finish(n *node, outcome dispatchOutcome) {
	id := n.dispatched[0]
	n.dispatched = n.dispatched[1:]
	if outcome == neverSent {
		f.notRun[id] = true
		n.machine.Cancel(n.now, id)
		f.ready(n)
		return
	}
	key := f.keyOf[id]
	f.runs[key] = append(f.runs[key], id)
	res := Result{Status: 200, Body: []byte("ran " + id)}
	if outcome == outcomeUnknown {
		res = Result{Unknown: true}
	}
	f.targetResponses[key+string(res.Body)] = true
	if err := n.machine.Finish(n.now, id, res); err != nil {
		f.violations = append(f.violations, err.Error())
	}
	f.ready(n)
}

// kill restarts a node. The requests that it had dispatched count as run.
func (f *fleet) kill(i int) {
	n := f.nodes[i]
	for _, id := range n.dispatched {
		f.runs[f.keyOf[id]] = append(f.runs[f.keyOf[id]], id)
	}
	f.restart(i)
}

func (f *fleet) tick(n *node) {
	n.machine.Tick(n.now, f.nodeWall(n))
	f.ready(n)
}

// unclaimedPrefix starts the keys of a route that runs requests without a claim while the
// log is down. These may run more than once.
const unclaimedPrefix = "unclaimed"

// violation checks the guarantees of this package over the whole history and describes a
// violation, if there is one.
func (f *fleet) violation() string {
	for key, ids := range f.runs {
		if len(ids) > 1 && !strings.HasPrefix(key, unclaimedPrefix) {
			return fmt.Sprintf("key %s ran %d times: %v", key, len(ids), ids)
		}
		for _, id := range ids {
			if f.notRun[id] {
				return fmt.Sprintf("%s was reported as not_run and ran", id)
			}
		}
	}
	return strings.Join(f.violations, "; ")
}

// datedKey returns a UUIDv7 with the given creation time.
func datedKey(millis int64, n int) string {
	id := uuid.UUID{}
	for i := range 6 {
		id[i] = byte(millis >> (40 - 8*i))
	}
	id[6], id[8], id[15] = 0x70, 0x80, byte(n)
	return id.String()
}

// dump returns all state of the fleet that future behavior depends on.
func (f *fleet) dump() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d %x %x %v %v %v\n", f.logStart, f.log, f.lateAppends, f.runs, f.targetResponses, f.notRun)
	for _, n := range f.nodes {
		fmt.Fprintf(&b, "%d %v %v %v %x\n", n.now, n.incarnation, n.toDispatch, n.dispatched, n.pending)
		dumpMachine(&b, n.machine)
	}
	return b.String()
}

func dumpMachine(b *strings.Builder, m *Machine) {
	t := m.table
	fmt.Fprintf(b, "%d-%d %d %v %v f%d nb%d", t.start, t.next, m.batcher.nextID, m.orphans, m.endedProcesses, m.batcher.consecutiveFailures, m.batcher.notBefore)
	for _, holders := range []map[KeyHash]*Holder{t.holders, m.localRuns} {
		lines := []string{}
		for _, h := range holders {
			lines = append(lines, fmt.Sprintf("%s@%d %v", h.Attempt, h.Offset, h.Result != nil))
		}
		sort.Strings(lines)
		fmt.Fprintf(b, "%v", lines)
	}
	lines := []string{}
	for _, r := range m.byID {
		lines = append(lines, fmt.Sprintf("%s %s %d %v", r.ID, r.attempt, r.phase, r.unclaimed))
	}
	sort.Strings(lines)
	fmt.Fprintf(b, "%v", lines)
	for _, q := range m.batcher.queue {
		fmt.Fprintf(b, " %x", q.data)
	}
	b.WriteString("\n")
}
