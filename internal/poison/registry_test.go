package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/wire"
)

// newRegistryWithSuspect returns a registry without peers on which a request has
// lost one target.
func newRegistryWithSuspect(cfg Config) *Registry {
	r := New(cfg)
	r.Admit(0, "r1", testFingerprint(0), "pool", nil)
	r.Started("r1", "t1")
	r.TargetCrashed(0, "t1", "i1", []string{"r1"})
	r.Ready()
	return r
}

// A request that was on a target that crashed for another reason runs isolated
// once, completes, and then runs like any other. If it were not cleared, it
// would need a permit until the crash expires, and a second crash would
// quarantine it.
func TestCompletedSuspectIsCleared(t *testing.T) {
	is := is.New(t)
	r := newRegistryWithSuspect(Config{Self: "a"})
	is.Equal(r.Admit(0, "r2", testFingerprint(0), "pool", []string{"t2"}), Wait)
	is.Equal(r.Ready().Decisions, []Decision{{Request: "r2", Verdict: Isolate, Target: "t2"}})
	r.Ended(0, "r2", true)
	is.Equal(r.Admit(0, "r3", testFingerprint(0), "pool", []string{"t2"}), Run)
}

// Guards against a new home that grants a permit before it has received the
// renewals of the existing ones: a fingerprint could run on two targets at a time.
func TestNewHomeWaitsForRenewals(t *testing.T) {
	is := is.New(t)
	fp := testFingerprint(0)
	r := newRegistryWithSuspect(Config{Self: "a", PermitTTL: 2 * time.Second})
	r.SetPeers(0, []string{"b"})
	r.SetPeers(time.Minute, nil)
	r.Receive(time.Minute, "c", wire.PoisonPermitRenewal{Fingerprint: fp[:], Target: "t2"})
	is.Equal(r.Admit(time.Minute, "r2", testFingerprint(0), "pool", []string{"t3"}), Wait)
	r.Tick(time.Minute + time.Second)
	is.Equal(len(r.Ready().Decisions), 0) // held by c
}

// As above, before any renewal has arrived.
func TestNewHomeWaitsBeforeGranting(t *testing.T) {
	is := is.New(t)
	r := newRegistryWithSuspect(Config{Self: "a", PermitTTL: 2 * time.Second})
	r.SetPeers(time.Minute, []string{"b"})
	r.SetPeers(time.Minute, nil)
	is.Equal(r.Admit(time.Minute, "r2", testFingerprint(0), "pool", []string{"t3"}), Wait)
	is.Equal(len(r.Ready().Decisions), 0)
	r.Tick(time.Minute + time.Second)
	is.Equal(len(r.Ready().Decisions), 1)
}

// A suspect waits for the only target in its permit request, on which another
// suspect runs, and that target crashes. It has no suspect then but is gone: a
// stream sent there would end with a refused connection. The waiting suspect must
// wait until it names other targets.
func TestCrashedTargetIsNotGivenToTheNextSuspect(t *testing.T) {
	is := is.New(t)
	r := newRegistryWithSuspect(Config{Self: "a"})
	is.Equal(r.Admit(0, "r1", testFingerprint(0), "pool", []string{"t2"}), Wait)
	is.Equal(r.Ready().Decisions, []Decision{{Request: "r1", Verdict: Isolate, Target: "t2"}})
	r.TargetCrashed(0, "t1", "i1", nil)
	other := testFingerprint(1)
	r.Receive(0, "b", wire.PoisonNotice{Crashes: []wire.PoisonCrash{{Target: "t1", Incarnation: "i1", Fingerprints: [][]byte{other[:]}}}})
	is.Equal(r.Admit(time.Second, "r2", other, "pool", []string{"t2"}), Wait)
	r.TargetCrashed(2*time.Second, "t2", "i1", []string{"r1"})
	for _, d := range r.Ready().Decisions {
		is.True(d.Request != "r2") // the crashed target was granted
	}
	is.Equal(r.Admit(3*time.Second, "r2", other, "pool", []string{"t3"}), Wait)
	is.Equal(r.Ready().Decisions, []Decision{{Request: "r2", Verdict: Isolate, Target: "t3"}})
}

// An instance dies together with the target on which it ran a suspect. The home,
// which granted the permit, must count the crash; otherwise the request could
// take down a third target.
func TestHomeCountsCrashOfDeadHolder(t *testing.T) {
	is := is.New(t)
	r := newRegistryWithSuspect(Config{Self: "a"})
	fp := testFingerprint(0)
	r.Receive(0, "b", wire.PoisonPermitRequest{Request: "x", Fingerprint: fp[:], Targets: []string{"t2"}})
	r.TargetCrashed(0, "t2", "i1", nil)
	is.Equal(r.Admit(0, "r2", fp, "pool", nil), Quarantined)
}

// An instance receives the crashes in an order that makes only this instance
// quarantine the request. It must tell the instance that broadcasts the
// quarantine; otherwise the request is refused by one instance and run by
// another.
func TestLocalQuarantineIsSpread(t *testing.T) {
	is := is.New(t)
	fp := testFingerprint(0)
	for _, self := range []string{"a", "b"} {
		r := New(Config{Self: self})
		r.SetPeers(0, []string{map[string]string{"a": "b", "b": "a"}[self]})
		for _, target := range []string{"t1", "t2"} {
			r.Receive(0, "x", wire.PoisonNotice{Crashes: []wire.PoisonCrash{{Target: target, Fingerprints: [][]byte{fp[:]}}}})
		}
		sent := 0
		for _, m := range r.Ready().Messages {
			if n, ok := m.Body.(wire.PoisonNotice); ok && len(n.Quarantines) == 1 {
				sent++
			}
		}
		is.Equal(sent, 1)
	}
}

// No message from a peer may cause a panic or unbounded growth.
func FuzzReceive(f *testing.F) {
	fp := testFingerprint(0)
	for _, m := range []Message{
		{Kind: wire.KindPoisonNotice, Body: wire.PoisonNotice{Crashes: []wire.PoisonCrash{{Target: "t", Fingerprints: [][]byte{fp[:]}}}}},
		{Kind: wire.KindPoisonPermitRequest, Body: wire.PoisonPermitRequest{Request: "r", Fingerprint: fp[:], Targets: []string{"t"}}},
		{Kind: wire.KindPoisonPermitRelease, Body: wire.PoisonPermitRelease{Request: "r", Fingerprint: fp[:], Target: "t"}},
	} {
		frame, _ := wire.NewFrame(0, m.Kind, m.Body)
		f.Add(string(frame.Kind), []byte(frame.Body))
	}
	f.Fuzz(func(t *testing.T, kind string, raw []byte) {
		r := newRegistryWithSuspect(Config{Self: "a", MaxSuspects: 10, MaxCrashes: 10})
		body, err := Decode(wire.Frame{Kind: wire.Kind(kind), Body: raw})
		if err != nil {
			return
		}
		r.Receive(0, "b", body)
		r.Tick(time.Hour)
		if len(r.ledger.suspects) > 10 || len(r.ledger.crashes) > 10 {
			t.Fatal("ledger exceeds its limits")
		}
	})
}

// An instance starts after a quarantine or was partitioned. The state of one
// peer is enough for it to refuse the request, and merging it twice changes
// nothing.
func TestStateBringsAFreshInstanceUpToDate(t *testing.T) {
	is := is.New(t)
	a, b := New(Config{Self: "a"}), New(Config{Self: "b"})
	for i := range 2 {
		id := fmt.Sprint("r", i)
		a.requests[id] = &request{id: id, fp: testFingerprint(0), target: "t"}
		a.TargetCrashed(0, "t", fmt.Sprint(i), []string{id})
	}
	for range 2 {
		b.Receive(5*time.Second, "a", a.State(time.Second))
		is.Equal(b.Admit(5*time.Second, "x", testFingerprint(0), "pool", nil), Quarantined)
		is.Equal(len(b.ledger.crashes), 2)
	}
}

// Memory is bounded however many requests are lost, and quarantined fingerprints
// are evicted last.
func TestLedgerIsBounded(t *testing.T) {
	is := is.New(t)
	l := newLedger(Config{MaxCrashes: 4, MaxSuspects: 20}.withDefaults())
	l.quarantine(0, testFingerprint(200), 0)
	for i := range 100 {
		l.addCrash(time.Duration(i), CrashID{Target: fmt.Sprint(i)}, 0, []Fingerprint{{1, byte(i)}, {2, byte(i)}})
	}
	is.True(len(l.crashes) <= 4)
	is.True(len(l.suspects) <= 20)
	is.True(l.quarantined(1, testFingerprint(200)))
	l.expire(2 * time.Hour)
	is.Equal(len(l.crashes)+len(l.suspects), 0)
}

// A request that is resent with changes that do not matter to the target, or
// with its fields in another order, keeps its fingerprint. Requests of different
// accounts never share one.
func TestFingerprintOf(t *testing.T) {
	is := is.New(t)
	fp := FingerprintOf("a", "/v1/x", []byte(`{"prompt":"p","n":1,"stream":true}`))
	is.Equal(FingerprintOf("a", "/v1/x", []byte(`{ "n":1, "prompt":"p" }`)), fp)
	is.True(FingerprintOf("b", "/v1/x", []byte(`{"prompt":"p","n":1}`)) != fp)
	is.True(FingerprintOf("a", "/v1/x", []byte(`{"prompt":"p","n":2}`)) != fp)
	is.True(FingerprintOf("a", "/v1/x", []byte(`not json`)) != FingerprintOf("a", "/v1/x", []byte(`not json!`)))
}

// The home of the pool is unreachable. The suspect must be refused after
// PermitRequestTimeout: it must neither run without a permit nor wait forever.
func TestSuspectIsRefusedWithoutItsHome(t *testing.T) {
	is := is.New(t)
	r := newRegistryWithSuspect(Config{Self: "a", PermitRequestTimeout: 5 * time.Second})
	r.SetPeers(0, []string{"b", "c", "d"})
	pool := "pool"
	for homeOf(pool, "a", r.peers) == "a" {
		pool += "x"
	}
	is.Equal(r.Admit(0, "r2", testFingerprint(0), pool, []string{"t2"}), Wait)
	for now := time.Duration(0); now < 5*time.Second; now += time.Second {
		r.Tick(now)
		is.Equal(len(r.Ready().Decisions), 0)
	}
	r.Tick(5 * time.Second)
	is.Equal(r.Ready().Decisions, []Decision{{Request: "r2", Verdict: Refused}})
}
