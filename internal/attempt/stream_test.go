package attempt

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/mastictray/mastictray/internal/propertytest"
	"github.com/mastictray/mastictray/internal/sse"
)

func TestMain(m *testing.M) { propertytest.Main(m, 5000) }

func event(attempt string, seq int, text string) sse.Event {
	data := doneData
	if text != doneData {
		data = fmt.Sprintf(`{"id":"cmpl-%s","choices":[{"index":0,"delta":{"content":%q}}]}`, attempt, text)
	}
	return sse.Event{ID: strconv.Itoa(seq), HasID: true, Data: []byte(data)}
}

// engine simulates an engine that gives the same response to all attempts of one
// incarnation.
type engine struct {
	incarnation   int
	words         []string
	knownAttempts map[string]bool
}

// connection is a connection to a target; pos is the engine's next word.
type connection struct {
	number, pos int
	attempt     string
	target      int
	incarnation int
}

// simulation simulates one request, three engines and the connections to them.
type simulation struct {
	t           *rapid.T
	stream      *Stream
	policy      Policy
	engines     []*engine
	texts       [][]string
	connections []connection
	attempts    int
	runs        int
	relayed     []string
	ended       bool
	complete    bool
	now         time.Duration
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{t: t, policy: Policy{RequestID: "req", Idempotent: rapid.Bool().Draw(t, "idempotent")}}
	sim.stream = NewStream(sim.policy)
	n := rapid.IntRange(1, 6).Draw(t, "words")
	for range 3 {
		e := &engine{knownAttempts: map[string]bool{}}
		e.words = sim.newText(n)
		sim.engines = append(sim.engines, e)
	}
	return sim
}

// newText returns an engine's response. Some responses differ from the usual one from a
// random word on, or are shorter.
func (sim *simulation) newText(n int) []string {
	divergeAt := n
	if rapid.IntRange(0, 2).Draw(sim.t, "diverges") == 0 {
		divergeAt = rapid.IntRange(0, n).Draw(sim.t, "from")
		n = rapid.IntRange(divergeAt, n).Draw(sim.t, "length")
	}
	var words []string
	for i := range n {
		word := fmt.Sprint("w", i)
		if i >= divergeAt {
			word = fmt.Sprintf("other%d.%d", len(sim.texts), i)
		}
		words = append(words, word)
	}
	words = append(words, doneData)
	sim.texts = append(sim.texts, words)
	return words
}

// restart gives the engine a new incarnation. Some engines wrongly keep the attempts of the
// previous one.
func (sim *simulation) restart(e *engine) {
	e.incarnation++
	e.words = sim.newText(6)
	if rapid.Bool().Draw(sim.t, "forgets") {
		clear(e.knownAttempts)
	}
}

func (sim *simulation) dispatch(faults bool) {
	target := rapid.IntRange(0, 2).Draw(sim.t, "target")
	sim.attempts++
	a := fmt.Sprint("a", sim.attempts)
	conn := sim.stream.Dispatch(sim.now, a, fmt.Sprint(target))
	if faults && rapid.IntRange(0, 5).Draw(sim.t, "dial") == 0 {
		sim.perform(sim.stream.ConnectionFailed(conn, CauseDial), faults)
		return
	}
	sim.stream.SendStarted(conn)
	e := sim.engines[target]
	e.knownAttempts[a] = true
	sim.runs++
	sim.connect(connection{number: conn, attempt: a, target: target, incarnation: e.incarnation}, faults)
}

func (sim *simulation) connect(conn connection, faults bool) {
	sim.connections = append(sim.connections, conn)
	e := sim.engines[conn.target]
	h := ResponseHead{Attempt: conn.attempt, Incarnation: fmt.Sprint(e.incarnation), Version: "1"}
	sim.perform(sim.stream.ResponseStarted(sim.now, conn.number, h), faults)
}

func (sim *simulation) resume(a Action, faults bool) {
	target, _ := strconv.Atoi(a.Target)
	conn := sim.stream.BeginResume(sim.now)
	e := sim.engines[target]
	if !e.knownAttempts[a.Attempt] {
		sim.perform(sim.stream.ConnectionFailed(conn, CauseUnknownStream), faults)
		return
	}
	sim.connect(connection{number: conn, attempt: a.Attempt, target: target, pos: int(a.LastSeq) + 1, incarnation: e.incarnation}, faults)
}

func (sim *simulation) perform(a Action, faults bool) {
	switch a.Kind {
	case Relay:
		sim.relay(a)
	case Resume:
		sim.resume(a, faults)
	case Redispatch:
		sim.dispatch(faults)
	case EndError:
		sim.ended = true
		if a.Outcome == NotRun && sim.runs > 0 {
			sim.t.Fatalf("not_run after %d runs", sim.runs)
		}
		if a.Partial != (len(sim.relayed) > 0) {
			sim.t.Fatalf("partial=%v with %d chunks relayed", a.Partial, len(sim.relayed))
		}
	}
}

func (sim *simulation) relay(a Action) {
	if int(a.Seq) != len(sim.relayed) || sim.ended {
		sim.t.Fatalf("seq %d after %d chunks, ended=%v", a.Seq, len(sim.relayed), sim.ended)
	}
	if a.Done {
		sim.ended, sim.complete = true, true
		sim.relayed = append(sim.relayed, doneData)
		return
	}
	var c struct {
		ID      string `json:"id"`
		Choices []struct {
			Delta struct{ Content string }
		}
	}
	if json.Unmarshal(a.Data, &c) != nil || c.ID != "cmpl-req" {
		sim.t.Fatalf("chunk %s", a.Data)
	}
	sim.relayed = append(sim.relayed, c.Choices[0].Delta.Content)
}

// send delivers the event at the connection's position, after moving the position by skip.
// If the engine has restarted or has no more words, it closes the connection instead.
func (sim *simulation) send(conn *connection, attempt string, skip int) {
	e := sim.engines[conn.target]
	conn.pos = max(0, conn.pos+skip)
	if conn.incarnation != e.incarnation || conn.pos >= len(e.words) {
		sim.perform(sim.stream.ConnectionFailed(conn.number, CauseClosed), true)
		return
	}
	ev := event(attempt, conn.pos, e.words[conn.pos])
	if attempt != conn.attempt {
		ev = event(attempt, conn.pos, "another request's")
	}
	conn.pos++
	sim.perform(sim.stream.Event(sim.now, conn.number, ev), true)
}

func (sim *simulation) step() {
	// Sometimes an earlier connection is chosen, whose events are late.
	i := len(sim.connections) - 1 - max(0, rapid.IntRange(-3, len(sim.connections)-1).Draw(sim.t, "connection"))
	if i < 0 {
		return
	}
	conn := sim.connections[i]
	switch rapid.IntRange(0, 11).Draw(sim.t, "step") {
	case 0:
		sim.send(&conn, conn.attempt, 1)
	case 1:
		sim.send(&conn, conn.attempt, -2)
	case 2:
		sim.send(&conn, "foreign", 0)
	case 3:
		sim.perform(sim.stream.ConnectionFailed(conn.number, CauseReset), true)
	case 4:
		sim.restart(sim.engines[conn.target])
	case 5:
		sim.now += time.Minute
		sim.perform(sim.stream.Tick(sim.now), true)
	default:
		sim.send(&conn, conn.attempt, 0)
	}
	sim.connections[i].pos = conn.pos
}

func (sim *simulation) check() {
	if !sim.policy.Idempotent && sim.runs > 1 {
		sim.t.Fatalf("not idempotent, ran %d times", sim.runs)
	}
	got := strings.Join(sim.relayed, " ")
	for _, text := range sim.texts {
		words := strings.Join(text, " ")
		if strings.HasPrefix(words+" ", got+" ") || got == "" || sim.complete && words == got {
			return
		}
	}
	sim.t.Fatalf("the caller got a mixture of responses: %s", got)
}

// Chunks of a stream are lost, duplicated, late from an old connection or from another
// request; engines restart and sometimes give different responses. The caller must get one
// engine's complete response in order, or an explicit error. A non-idempotent request runs
// at most once, and not_run is reported only if nothing ran.
func TestCallerGetsOneWholeAnswer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rt)
		sim.dispatch(true)
		for i := 0; i < 200 && !sim.ended; i++ {
			sim.step()
			sim.check()
		}
		for i := 0; i < 500 && !sim.ended; i++ {
			sim.send(&sim.connections[len(sim.connections)-1], sim.connections[len(sim.connections)-1].attempt, 0)
			sim.check()
		}
		if !sim.ended {
			rt.Fatal("neither a complete response nor an error after the faults ended")
		}
	})
}

// The connection is closed cleanly in the middle of a response. If that counted as the end,
// the caller would take a truncated response for a complete one.
func TestCleanCloseBeforeDoneIsNoEnd(t *testing.T) {
	is := is.New(t)
	s := NewStream(Policy{RequestID: "req"})
	conn := s.Dispatch(0, "a1", "t1")
	s.SendStarted(conn)
	s.ResponseStarted(0, conn, ResponseHead{Attempt: "a1", Incarnation: "i1"})
	is.Equal(s.Event(0, conn, event("a1", 0, "x")).Kind, Relay)
	a := s.ConnectionFailed(conn, CauseClosed)
	is.Equal(a.Kind, Resume)
	is.Equal(a.LastSeq, int64(0))
	conn = s.BeginResume(0)
	a = s.ConnectionFailed(conn, CauseUnknownStream)
	is.Equal(a.Kind, EndError)
	is.Equal(a.Outcome, MayHaveRun)
	is.True(strings.Contains(string(ErrorBody("req", a)), "stream_broken"))
}

// An abandoned connection delivers more data, or ends, after the request was sent to another
// target. Neither may affect the current response.
func TestAbandonedConnectionIsIgnored(t *testing.T) {
	is := is.New(t)
	s := NewStream(Policy{RequestID: "req", Idempotent: true})
	old := s.Dispatch(0, "a1", "t1")
	s.SendStarted(old)
	is.Equal(s.ConnectionFailed(old, CauseReset).Kind, Redispatch)
	conn := s.Dispatch(0, "a2", "t2")
	s.SendStarted(conn)
	is.Equal(s.Event(0, old, event("a1", 0, "x")).Kind, None)
	is.Equal(s.ConnectionFailed(old, CauseClosed).Kind, None)
	is.Equal(s.Event(0, conn, event("a2", 0, "x")).Kind, Relay)
}

// Every connection to an engine fails at once. The relay must end with an error after a
// bounded number of retries, instead of looping or leaving the caller without an answer.
func TestRetriesAreBounded(t *testing.T) {
	is := is.New(t)
	s := NewStream(Policy{RequestID: "req", Idempotent: true})
	a := Action{Kind: Redispatch}
	connections := 0
	for ; a.Kind != EndError && connections < 100; connections++ {
		var conn int
		if a.Kind == Resume {
			conn = s.BeginResume(0)
		} else {
			conn = s.Dispatch(0, fmt.Sprint("a", connections), "t")
			s.SendStarted(conn)
		}
		s.ResponseStarted(0, conn, ResponseHead{Attempt: s.attempt, Incarnation: "i"})
		a = s.ConnectionFailed(conn, CauseReset)
	}
	is.Equal(connections, defaultMaxDispatches+defaultMaxResumes)
	is.Equal(a.Outcome, MayHaveRun)
}

// On a reused connection, the response to another request arrives. It must not be relayed;
// the request is sent again.
func TestCrossedAnswer(t *testing.T) {
	is := is.New(t)
	s := NewStream(Policy{RequestID: "req", Idempotent: true})
	conn := s.Dispatch(0, "a1", "t1")
	s.SendStarted(conn)
	is.Equal(s.FullResponse(conn, []byte(`{"id":"cmpl-a0"}`)).Kind, Redispatch)
	conn = s.Dispatch(0, "a2", "t2")
	s.SendStarted(conn)
	a := s.FullResponse(conn, []byte(`{"id":"cmpl-a2","x":"\"cmpl-a2\""}`))
	is.Equal(a.Kind, EndOK)
	is.Equal(string(a.Data), `{"id":"cmpl-req","x":"\"cmpl-a2\""}`)
}
