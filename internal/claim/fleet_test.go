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

// fleet is a few machines around one log, stepped by hand.
type fleet struct {
	cfg   Config
	wall  int64
	start platform.Offset
	recs  [][]byte
	nodes []*node
	// late are appends whose caller was told "unknown" and that the log has
	// not stored yet.
	late [][][]byte
	seq  int
	runs map[string][]string
	// answers has each key with each answer that a target gave to it.
	answers map[string]bool
	notRun  map[string]bool
	keyOf   map[string]string
	bad     []string
}

type node struct {
	m *Machine
	// now is the node's clock; skew its wall clock's error in ms.
	now         time.Duration
	skew        int64
	incarnation string
	pending     []Append
	run         []string
	sent        []string
}

func newFleet(n int, cfg Config) *fleet {
	f := &fleet{
		cfg: cfg, wall: 1_800_000_000_000, runs: map[string][]string{},
		answers: map[string]bool{}, notRun: map[string]bool{}, keyOf: map[string]string{},
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
	n.m = New(cfg)
	n.pending, n.run, n.sent = nil, nil, nil
}

func (f *fleet) nodeWall(n *node) int64 { return f.wall + n.skew }

// ready collects the node's work and checks each answer.
func (f *fleet) ready(n *node) {
	out := n.m.Ready(n.now + 2)
	n.pending = append(n.pending, out.Appends...)
	for _, a := range out.Answers {
		switch {
		case a.State == Run:
			n.run = append(n.run, a.ID)
		case a.State == Replay && !a.Result.BodyDropped && !f.answers[f.keyOf[a.ID]+string(a.Result.Body)]:
			f.bad = append(f.bad, "replay of another answer: "+a.ID)
		}
		if a.State.NotRun() {
			f.notRun[a.ID] = true
		}
	}
}

func (f *fleet) begin(i int, id, key string, runWhenDown bool) {
	n := f.nodes[i]
	f.keyOf[id] = key
	err := n.m.Begin(n.now, f.nodeWall(n), Request{
		ID: id, Account: "a", Key: key, Deadline: n.now + 10*time.Second, RunWhenLogDown: runWhenDown,
	})
	if err != nil {
		panic(err)
	}
	f.ready(n)
}

type fate int

const (
	stored fate = iota
	storedAnswerLost
	refused
	lostUnknown
	lateUnknown
)

func (f *fleet) append(n *node, how fate) {
	a := n.pending[0]
	n.pending = n.pending[1:]
	var err error
	switch how {
	case stored:
		f.recs = append(f.recs, a.Records...)
	case storedAnswerLost:
		f.recs = append(f.recs, a.Records...)
		err = platform.ErrOutcomeUnknown
	case refused:
		err = platform.ErrOutage
	case lostUnknown:
		err = platform.ErrOutcomeUnknown
	case lateUnknown:
		f.late = append(f.late, a.Records)
		err = platform.ErrOutcomeUnknown
	}
	n.m.AppendDone(n.now, a.ID, err)
	f.ready(n)
}

func (f *fleet) land() {
	f.recs = append(f.recs, f.late[0]...)
	f.late = f.late[1:]
}

func (f *fleet) read(n *node, limit int) {
	from := n.m.ReadFrom()
	if from < f.start {
		n.m.Trimmed(n.now, f.nodeWall(n), f.start)
		from = f.start
	}
	b := platform.Batch{Start: f.start, Next: platform.Offset(len(f.recs))}
	for o := from; o < b.Next && len(b.Records) < limit; o++ {
		b.Records = append(b.Records, platform.Record{Offset: o, Data: f.recs[o]})
	}
	if err := n.m.Records(n.now, f.nodeWall(n), b); err != nil {
		f.bad = append(f.bad, err.Error())
	}
	f.ready(n)
}

// dispatch sends the request at the head of n.run to a target.
func (f *fleet) dispatch(n *node) {
	id := n.run[0]
	n.run = n.run[1:]
	if n.m.BeginDispatch(n.now, id) != nil {
		f.notRun[id] = true
		f.ready(n)
		return
	}
	n.sent = append(n.sent, id)
	f.ready(n)
}

type ending int

const (
	answered ending = iota
	outcomeUnknown
	neverSent
)

func (f *fleet) finish(n *node, how ending) {
	id := n.sent[0]
	n.sent = n.sent[1:]
	if how == neverSent {
		f.notRun[id] = true
		n.m.Cancel(n.now, id)
		f.ready(n)
		return
	}
	key := f.keyOf[id]
	f.runs[key] = append(f.runs[key], id)
	res := Result{Status: 200, Body: []byte("ran " + id)}
	if how == outcomeUnknown {
		res = Result{Unknown: true}
	}
	f.answers[key+string(res.Body)] = true
	if err := n.m.Finish(n.now, id, res); err != nil {
		f.bad = append(f.bad, err.Error())
	}
	f.ready(n)
}

// kill restarts a node. What it had begun to send may have run.
func (f *fleet) kill(i int) {
	n := f.nodes[i]
	for _, id := range n.sent {
		f.runs[f.keyOf[id]] = append(f.runs[f.keyOf[id]], id)
	}
	f.restart(i)
}

func (f *fleet) tick(n *node) {
	n.m.Tick(n.now, f.nodeWall(n))
	f.ready(n)
}

// loose begins the keys of a route that runs without a claim while the log is
// down: they may run more than once.
const loose = "loose"

// broken is the checker: the promises of this package, over all history.
func (f *fleet) broken() string {
	for key, ids := range f.runs {
		if len(ids) > 1 && !strings.HasPrefix(key, loose) {
			return fmt.Sprintf("key %s ran %d times: %v", key, len(ids), ids)
		}
		for _, id := range ids {
			if f.notRun[id] {
				return fmt.Sprintf("%s was told not_run and ran", id)
			}
		}
	}
	return strings.Join(f.bad, "; ")
}

func datedKey(millis int64, n int) string {
	id := uuid.UUID{}
	for i := range 6 {
		id[i] = byte(millis >> (40 - 8*i))
	}
	id[6], id[8], id[15] = 0x70, 0x80, byte(n)
	return id.String()
}

// dump writes all state of the fleet that decides what can still happen.
func (f *fleet) dump() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d %x %x %v %v %v\n", f.start, f.recs, f.late, f.runs, f.answers, f.notRun)
	for _, n := range f.nodes {
		fmt.Fprintf(&b, "%d %v %v %v %x\n", n.now, n.incarnation, n.run, n.sent, n.pending)
		dumpMachine(&b, n.m)
	}
	return b.String()
}

func dumpMachine(b *strings.Builder, m *Machine) {
	t := m.table
	fmt.Fprintf(b, "%d-%d %d %v %v f%d nb%d", t.start, t.next, m.batch.nextID, m.orphans, m.gone, m.batch.failures, m.batch.notBefore)
	for _, hs := range []map[KeyHash]*Holder{t.holders, m.ahead} {
		lines := []string{}
		for _, h := range hs {
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
	for _, i := range m.batch.queue {
		fmt.Fprintf(b, " %x", i.data)
	}
	b.WriteString("\n")
}
