package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/wire"
)

// suspected is a lone instance at which a request has lost one target.
func suspected(cfg Config) *Registry {
	r := New(cfg)
	r.Admit(0, "r1", print(0), "pool", nil)
	r.Started("r1", "t1")
	r.Crashed(0, "t1", "i1", []string{"r1"})
	r.Ready()
	return r
}

// A request was on a target that crashed for another reason. It is isolated
// once, completes, and then runs like any other: without being cleared it
// would queue for a permit until its suspicion expires, and a second crash
// would quarantine it.
func TestCompletedSuspectIsCleared(t *testing.T) {
	is := is.New(t)
	r := suspected(Config{Self: "a"})
	is.Equal(r.Admit(0, "r2", print(0), "pool", []string{"t2"}), Wait)
	is.Equal(r.Ready().Decisions, []Decision{{Request: "r2", Verdict: Isolate, Target: "t2"}})
	r.Ended(0, "r2", true)
	is.Equal(r.Admit(0, "r3", print(0), "pool", []string{"t2"}), Run)
}

// The home of a pool's suspects is replaced. The new one knows no permits yet
// and waits for the holds: granting at once could run a fingerprint on two
// targets at a time.
func TestNewHomeWaitsForHolds(t *testing.T) {
	is := is.New(t)
	fp := print(0)
	r := suspected(Config{Self: "a", PermitTTL: 2 * time.Second})
	r.SetPeers(0, []string{"b"})
	r.SetPeers(time.Minute, nil)
	r.Receive(time.Minute, "c", wire.PoisonPermitRenewal{Fingerprint: fp[:], Target: "t2"})
	is.Equal(r.Admit(time.Minute, "r2", print(0), "pool", []string{"t3"}), Wait)
	r.Tick(time.Minute + time.Second)
	is.Equal(len(r.Ready().Decisions), 0) // held by c
}

// The same, before any hold has arrived.
func TestNewHomeSettlesFirst(t *testing.T) {
	is := is.New(t)
	r := suspected(Config{Self: "a", PermitTTL: 2 * time.Second})
	r.SetPeers(time.Minute, []string{"b"})
	r.SetPeers(time.Minute, nil)
	is.Equal(r.Admit(time.Minute, "r2", print(0), "pool", []string{"t3"}), Wait)
	is.Equal(len(r.Ready().Decisions), 0)
	r.Tick(time.Minute + time.Second)
	is.Equal(len(r.Ready().Decisions), 1)
}

// A suspect waits for the only target it named, on which another one runs, and
// that target crashes. The target is without a suspect then, but gone: given to
// the waiting one, its stream would end at a refused connection. It waits until
// it names others.
func TestCrashedTargetIsNotGivenToTheNextSuspect(t *testing.T) {
	is := is.New(t)
	r := suspected(Config{Self: "a"})
	is.Equal(r.Admit(0, "r1", print(0), "pool", []string{"t2"}), Wait)
	is.Equal(r.Ready().Decisions, []Decision{{Request: "r1", Verdict: Isolate, Target: "t2"}})
	r.Crashed(0, "t1", "i1", nil)
	other := print(1)
	r.Receive(0, "b", wire.PoisonNotice{Crashes: []wire.PoisonCrash{{Target: "t1", Incarnation: "i1", Fingerprints: [][]byte{other[:]}}}})
	is.Equal(r.Admit(time.Second, "r2", other, "pool", []string{"t2"}), Wait)
	r.Crashed(2*time.Second, "t2", "i1", []string{"r1"})
	for _, d := range r.Ready().Decisions {
		is.True(d.Request != "r2") // the crashed target was given out
	}
	is.Equal(r.Admit(3*time.Second, "r2", other, "pool", []string{"t3"}), Wait)
	is.Equal(r.Ready().Decisions, []Decision{{Request: "r2", Verdict: Isolate, Target: "t3"}})
}

// An instance dies together with the target on which it ran a suspect. The
// home granted the permit and counts the crash: otherwise the request could
// take a third target.
func TestHomeCountsCrashOfDeadHolder(t *testing.T) {
	is := is.New(t)
	r := suspected(Config{Self: "a"})
	fp := print(0)
	r.Receive(0, "b", wire.PoisonPermitRequest{Request: "x", Fingerprint: fp[:], Targets: []string{"t2"}})
	r.Crashed(0, "t2", "i1", nil)
	is.Equal(r.Admit(0, "r2", fp, "pool", nil), Quarantined)
}

// An instance learns of the crashes in an order that makes it alone judge the
// request guilty. It tells the one that spreads it, which tells all: the
// request is not refused at one instance and run at another.
func TestOwnJudgementIsSpread(t *testing.T) {
	is := is.New(t)
	fp := print(0)
	for _, self := range []string{"a", "b"} {
		r := New(Config{Self: self})
		r.SetPeers(0, []string{map[string]string{"a": "b", "b": "a"}[self]})
		for _, target := range []string{"t1", "t2"} {
			r.Receive(0, "x", wire.PoisonNotice{Crashes: []wire.PoisonCrash{{Target: target, Fingerprints: [][]byte{fp[:]}}}})
		}
		told := 0
		for _, m := range r.Ready().Messages {
			if n, ok := m.Body.(wire.PoisonNotice); ok && len(n.Quarantines) == 1 {
				told++
			}
		}
		is.Equal(told, 1)
	}
}

// Whatever a peer sends, taking it in neither fails nor grows without bound.
func FuzzReceive(f *testing.F) {
	fp := print(0)
	for _, m := range []Message{
		{Kind: wire.KindPoisonNotice, Body: wire.PoisonNotice{Crashes: []wire.PoisonCrash{{Target: "t", Fingerprints: [][]byte{fp[:]}}}}},
		{Kind: wire.KindPoisonPermitRequest, Body: wire.PoisonPermitRequest{Request: "r", Fingerprint: fp[:], Targets: []string{"t"}}},
		{Kind: wire.KindPoisonPermitRelease, Body: wire.PoisonPermitRelease{Request: "r", Fingerprint: fp[:], Target: "t"}},
	} {
		frame, _ := wire.NewFrame(0, m.Kind, m.Body)
		f.Add(string(frame.Kind), []byte(frame.Body))
	}
	f.Fuzz(func(t *testing.T, kind string, raw []byte) {
		r := suspected(Config{Self: "a", MaxSuspects: 10, MaxCrashes: 10})
		body, err := Decode(wire.Frame{Kind: wire.Kind(kind), Body: raw})
		if err != nil {
			return
		}
		r.Receive(0, "b", body)
		r.Tick(time.Hour)
		if len(r.ledger.suspects) > 10 || len(r.ledger.crashes) > 10 {
			t.Fatal("over its bounds")
		}
	})
}

// An instance starts after a quarantine, or was cut off. One peer's state is
// enough for it to refuse the request; taking it in twice changes nothing.
func TestStateBringsAFreshInstanceUpToDate(t *testing.T) {
	is := is.New(t)
	a, b := New(Config{Self: "a"}), New(Config{Self: "b"})
	for i := range 2 {
		id := fmt.Sprint("r", i)
		a.requests[id] = &request{id: id, fp: print(0), target: "t"}
		a.Crashed(0, "t", fmt.Sprint(i), []string{id})
	}
	for range 2 {
		b.Receive(5*time.Second, "a", a.State(time.Second))
		is.Equal(b.Admit(5*time.Second, "x", print(0), "pool", nil), Quarantined)
		is.Equal(len(b.ledger.crashes), 2)
	}
}

// Memory stays bounded however many requests are lost, and quarantined
// fingerprints are the last to be forgotten.
func TestLedgerIsBounded(t *testing.T) {
	is := is.New(t)
	l := newLedger(Config{MaxCrashes: 4, MaxSuspects: 20}.withDefaults())
	l.quarantine(0, print(200), 0)
	for i := range 100 {
		l.addCrash(time.Duration(i), CrashID{Target: fmt.Sprint(i)}, 0, []Fingerprint{{1, byte(i)}, {2, byte(i)}})
	}
	is.True(len(l.crashes) <= 4)
	is.True(len(l.suspects) <= 20)
	is.True(l.quarantined(1, print(200)))
	l.expire(2 * time.Hour)
	is.Equal(len(l.crashes)+len(l.suspects), 0)
}

// The caller changes what does not matter to the target, or the order of the
// fields, and sends the request again: it is recognised. Another account's
// request never is.
func TestPrint(t *testing.T) {
	is := is.New(t)
	fp := Print("a", "/v1/x", []byte(`{"prompt":"p","n":1,"stream":true}`))
	is.Equal(Print("a", "/v1/x", []byte(`{ "n":1, "prompt":"p" }`)), fp)
	is.True(Print("b", "/v1/x", []byte(`{"prompt":"p","n":1}`)) != fp)
	is.True(Print("a", "/v1/x", []byte(`{"prompt":"p","n":2}`)) != fp)
	is.True(Print("a", "/v1/x", []byte(`not json`)) != Print("a", "/v1/x", []byte(`not json!`)))
}

// The home of the pool's suspects can't be reached. The suspect is refused
// after the bound, and its caller gets an answer: it must not run without a
// permit, nor wait for ever.
func TestSuspectIsRefusedWithoutItsHome(t *testing.T) {
	is := is.New(t)
	r := suspected(Config{Self: "a", AskBound: 5 * time.Second})
	r.SetPeers(0, []string{"b", "c", "d"})
	pool := "pool"
	for homeOf(pool, "a", r.peers) == "a" {
		pool += "x"
	}
	is.Equal(r.Admit(0, "r2", print(0), pool, []string{"t2"}), Wait)
	for now := time.Duration(0); now < 5*time.Second; now += time.Second {
		r.Tick(now)
		is.Equal(len(r.Ready().Decisions), 0)
	}
	r.Tick(5 * time.Second)
	is.Equal(r.Ready().Decisions, []Decision{{Request: "r2", Verdict: Refused}})
}
