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

// engine answers with the same words to each attempt of its incarnation.
type engine struct {
	incarnation int
	words       []string
	ran         map[string]bool
}

type leg struct {
	no, pos     int
	attempt     string
	target      int
	incarnation int
}

// world is one request, three engines and the connections between.
type world struct {
	t        *rapid.T
	s        *Stream
	p        Policy
	engines  []*engine
	texts    [][]string
	legs     []leg
	attempts int
	runs     int
	got      []string
	ended    bool
	whole    bool
	now      time.Duration
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, p: Policy{RequestID: "req", Idempotent: rapid.Bool().Draw(t, "repeatable")}}
	w.s = NewStream(w.p)
	n := rapid.IntRange(1, 6).Draw(t, "words")
	for range 3 {
		e := &engine{ran: map[string]bool{}}
		e.words = w.text(n)
		w.engines = append(w.engines, e)
	}
	return w
}

// text is what an engine answers: now and then it differs from some word on,
// or is shorter.
func (w *world) text(n int) []string {
	odd := n
	if rapid.IntRange(0, 2).Draw(w.t, "odd") == 0 {
		odd = rapid.IntRange(0, n).Draw(w.t, "from")
		n = rapid.IntRange(odd, n).Draw(w.t, "length")
	}
	var words []string
	for i := range n {
		word := fmt.Sprint("w", i)
		if i >= odd {
			word = fmt.Sprintf("other%d.%d", len(w.texts), i)
		}
		words = append(words, word)
	}
	words = append(words, doneData)
	w.texts = append(w.texts, words)
	return words
}

// restart is a new incarnation. Some engines are wrong to know the attempts
// of the one before.
func (w *world) restart(e *engine) {
	e.incarnation++
	e.words = w.text(6)
	if rapid.Bool().Draw(w.t, "forgets") {
		clear(e.ran)
	}
}

func (w *world) dispatch(faults bool) {
	target := rapid.IntRange(0, 2).Draw(w.t, "target")
	w.attempts++
	a := fmt.Sprint("a", w.attempts)
	no := w.s.Dispatch(w.now, a, fmt.Sprint(target))
	if faults && rapid.IntRange(0, 5).Draw(w.t, "dial") == 0 {
		w.do(w.s.ConnectionFailed(no, CauseDial), faults)
		return
	}
	w.s.SendStarted(no)
	e := w.engines[target]
	e.ran[a] = true
	w.runs++
	w.connect(leg{no: no, attempt: a, target: target, incarnation: e.incarnation}, faults)
}

func (w *world) connect(l leg, faults bool) {
	w.legs = append(w.legs, l)
	e := w.engines[l.target]
	h := ResponseHead{Attempt: l.attempt, Incarnation: fmt.Sprint(e.incarnation), Version: "1"}
	w.do(w.s.ResponseStarted(w.now, l.no, h), faults)
}

func (w *world) resume(a Action, faults bool) {
	target, _ := strconv.Atoi(a.Target)
	no := w.s.BeginResume(w.now)
	e := w.engines[target]
	if !e.ran[a.Attempt] {
		w.do(w.s.ConnectionFailed(no, CauseUnknownStream), faults)
		return
	}
	w.connect(leg{no: no, attempt: a.Attempt, target: target, pos: int(a.LastSeq) + 1, incarnation: e.incarnation}, faults)
}

func (w *world) do(a Action, faults bool) {
	switch a.Kind {
	case Relay:
		w.relay(a)
	case Resume:
		w.resume(a, faults)
	case Redispatch:
		w.dispatch(faults)
	case EndError:
		w.ended = true
		if a.Outcome == NotRun && w.runs > 0 {
			w.t.Fatalf("not_run after %d runs", w.runs)
		}
		if a.Partial != (len(w.got) > 0) {
			w.t.Fatalf("partial=%v with %d chunks relayed", a.Partial, len(w.got))
		}
	}
}

func (w *world) relay(a Action) {
	if int(a.Seq) != len(w.got) || w.ended {
		w.t.Fatalf("seq %d after %d chunks, ended=%v", a.Seq, len(w.got), w.ended)
	}
	if a.Done {
		w.ended, w.whole = true, true
		w.got = append(w.got, doneData)
		return
	}
	var c struct {
		ID      string `json:"id"`
		Choices []struct {
			Delta struct{ Content string }
		}
	}
	if json.Unmarshal(a.Data, &c) != nil || c.ID != "cmpl-req" {
		w.t.Fatalf("chunk %s", a.Data)
	}
	w.got = append(w.got, c.Choices[0].Delta.Content)
}

// send delivers the event at the leg's place, if its engine still runs.
func (w *world) send(l *leg, attempt string, skip int) {
	e := w.engines[l.target]
	l.pos = max(0, l.pos+skip)
	if l.incarnation != e.incarnation || l.pos >= len(e.words) {
		w.do(w.s.ConnectionFailed(l.no, CauseClosed), true)
		return
	}
	ev := event(attempt, l.pos, e.words[l.pos])
	if attempt != l.attempt {
		ev = event(attempt, l.pos, "another request's")
	}
	l.pos++
	w.do(w.s.Event(w.now, l.no, ev), true)
}

func (w *world) step() {
	// An earlier leg is picked now and then: its events are late.
	i := len(w.legs) - 1 - max(0, rapid.IntRange(-3, len(w.legs)-1).Draw(w.t, "leg"))
	if i < 0 {
		return
	}
	l := w.legs[i]
	switch rapid.IntRange(0, 11).Draw(w.t, "step") {
	case 0:
		w.send(&l, l.attempt, 1)
	case 1:
		w.send(&l, l.attempt, -2)
	case 2:
		w.send(&l, "foreign", 0)
	case 3:
		w.do(w.s.ConnectionFailed(l.no, CauseReset), true)
	case 4:
		w.restart(w.engines[l.target])
	case 5:
		w.now += time.Minute
		w.do(w.s.Tick(w.now), true)
	default:
		w.send(&l, l.attempt, 0)
	}
	w.legs[i].pos = l.pos
}

func (w *world) check() {
	if !w.p.Idempotent && w.runs > 1 {
		w.t.Fatalf("not repeatable, ran %d times", w.runs)
	}
	got := strings.Join(w.got, " ")
	for _, text := range w.texts {
		words := strings.Join(text, " ")
		if strings.HasPrefix(words+" ", got+" ") || got == "" || w.whole && words == got {
			return
		}
	}
	w.t.Fatalf("the caller got a mixture: %s", got)
}

// Chunks of a stream are dropped, doubled, late from an old connection, or
// another request's; engines restart, and now and then answer differently.
// The caller gets one engine's text in order and to its end, or an explicit
// error; a request that may not be repeated runs once; not_run is true.
func TestCallerGetsOneWholeAnswer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt)
		w.dispatch(true)
		for i := 0; i < 200 && !w.ended; i++ {
			w.step()
			w.check()
		}
		for i := 0; i < 500 && !w.ended; i++ {
			w.send(&w.legs[len(w.legs)-1], w.legs[len(w.legs)-1].attempt, 0)
			w.check()
		}
		if !w.ended {
			rt.Fatal("neither whole nor an error after the faults ended")
		}
	})
}

// The connection closes cleanly in the middle of an answer. A relay that took
// this for the end would hand the caller a truncated answer as a whole one.
func TestCleanCloseBeforeDoneIsNoEnd(t *testing.T) {
	is := is.New(t)
	s := NewStream(Policy{RequestID: "req"})
	no := s.Dispatch(0, "a1", "t1")
	s.SendStarted(no)
	s.ResponseStarted(0, no, ResponseHead{Attempt: "a1", Incarnation: "i1"})
	is.Equal(s.Event(0, no, event("a1", 0, "x")).Kind, Relay)
	a := s.ConnectionFailed(no, CauseClosed)
	is.Equal(a.Kind, Resume)
	is.Equal(a.LastSeq, int64(0))
	no = s.BeginResume(0)
	a = s.ConnectionFailed(no, CauseUnknownStream)
	is.Equal(a.Kind, EndError)
	is.Equal(a.Outcome, MayHaveRun)
	is.True(strings.Contains(string(ErrorBody("req", a)), "stream_broken"))
}

// A connection that was given up brings its rest, or ends, after the request
// has gone on elsewhere. Neither may break the answer under way.
func TestLateLegChangesNothing(t *testing.T) {
	is := is.New(t)
	s := NewStream(Policy{RequestID: "req", Idempotent: true})
	old := s.Dispatch(0, "a1", "t1")
	s.SendStarted(old)
	is.Equal(s.ConnectionFailed(old, CauseReset).Kind, Redispatch)
	no := s.Dispatch(0, "a2", "t2")
	s.SendStarted(no)
	is.Equal(s.Event(0, old, event("a1", 0, "x")).Kind, None)
	is.Equal(s.ConnectionFailed(old, CauseClosed).Kind, None)
	is.Equal(s.Event(0, no, event("a2", 0, "x")).Kind, Relay)
}

// Each connection to an engine is cut at once. The relay gives up after its
// bounds with an error: it neither loops nor leaves the caller hanging.
func TestRetriesAreBounded(t *testing.T) {
	is := is.New(t)
	s := NewStream(Policy{RequestID: "req", Idempotent: true})
	a := Action{Kind: Redispatch}
	legs := 0
	for ; a.Kind != EndError && legs < 100; legs++ {
		var no int
		if a.Kind == Resume {
			no = s.BeginResume(0)
		} else {
			no = s.Dispatch(0, fmt.Sprint("a", legs), "t")
			s.SendStarted(no)
		}
		s.ResponseStarted(0, no, ResponseHead{Attempt: s.attempt, Incarnation: "i"})
		a = s.ConnectionFailed(no, CauseReset)
	}
	is.Equal(legs, defaultMaxDispatches+defaultMaxResumes)
	is.Equal(a.Outcome, MayHaveRun)
}

// An answer without a stream comes back on a reused connection and is another
// request's. It is not relayed; the request is sent again.
func TestCrossedAnswer(t *testing.T) {
	is := is.New(t)
	s := NewStream(Policy{RequestID: "req", Idempotent: true})
	no := s.Dispatch(0, "a1", "t1")
	s.SendStarted(no)
	is.Equal(s.FullResponse(no, []byte(`{"id":"cmpl-a0"}`)).Kind, Redispatch)
	no = s.Dispatch(0, "a2", "t2")
	s.SendStarted(no)
	a := s.FullResponse(no, []byte(`{"id":"cmpl-a2","x":"\"cmpl-a2\""}`))
	is.Equal(a.Kind, EndOK)
	is.Equal(string(a.Data), `{"id":"cmpl-req","x":"\"cmpl-a2\""}`)
}
