package wholepath

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// An engine freezes while it streams: its connections stay open and nothing
// comes. Callers see whole answers: the router finds that the engine answers
// no questions and takes the streams up elsewhere.
func TestStreamsSurviveFrozenEngine(t *testing.T) {
	f := newFleet(t, shape{entries: 3, engines: 3, engineFlags: []string{"--itl-ms", "20"}})
	f.stream(24, 60, func() {
		f.wait("engine0 runs streams", func() bool { return f.running("engine0") > 0 })
		f.fault("engine0", `{"kind":"freeze"}`)
	})
}

// The log answers every call late. Chats are answered, a booking that is sent
// twice runs once at most and its refusals are true, and a change of the
// configuration comes into force everywhere.
func TestSlowLogDelaysOnly(t *testing.T) {
	f := newFleet(t, shape{entries: 3, engines: 2, services: 2})
	f.fault("log", `{"kind":"slow","ms":400}`)
	f.stream(6, 5, func() {})
	for i := range 6 {
		answers := f.book(i)
		f.checkBooking(i, f.runs(2)[bookingKey(i)], answers)
		f.wait("the booking is confirmed", func() bool {
			return f.send("entry0", "office", "/bookings", fmt.Sprintf(`{"seat":%d}`, i), "Idempotency-Key", bookingKey(i)).status == http.StatusOK
		})
	}
	for key, n := range f.runs(2) {
		if n != 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
	f.republish("tokens-per-second = 10000000", "tokens-per-second = 9000000")
	f.wait("the change is in force everywhere", func() bool { return f.rateInForce(f.entries) == 9_000_000 })
}

// logStart is the offset of the oldest record that the log has kept.
func (f *fleet) logStart(stream string) int64 {
	var ans struct {
		Start int64 `json:"start"`
	}
	f.get("log", "/v1/streams/"+stream+"/records?from=0", &ans)
	return ans.Start
}

// The log keeps few records, so those of the leases and of the configuration
// from the start are gone when instances are restarted: first those that mint
// nothing, then one that does. They have the configuration from a snapshot or a
// peer. None takes a slot of the rates that another holds, although the records
// that say so are gone.
func TestTrimmedLogIsNoReset(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, shape{entries: 6, engines: 2, logFlags: []string{"--retain-records", "12"}})
	f.tool("keys", "create", "--as", "tester", "--account", "office", "second-key")
	f.logMovesOn(t)
	before, _ := f.state("entry0")
	minter, idle := f.minter()
	idle = slices.DeleteFunc(idle, func(e string) bool { s, _ := f.state(e); return s.RateShare > 0 })
	is.True(len(idle) > 0)
	for _, e := range append(idle, minter) {
		f.procs[e].kill()
		f.procs[e].begin()
		f.wait(e+" is ready", func() bool { return f.ready(e) })
		after, _ := f.state(e)
		is.True(after.Revision >= before.Revision) // the configuration went back
	}
	f.logMovesOn(t)
	f.neverMintsTwice(0.99)
	f.stream(12, 5, func() {})
}

// logMovesOn waits until no record of the leases is left that is in the log
// now, and fails when a slot is minted for twice meanwhile.
func (f *fleet) logMovesOn(t *testing.T) {
	t.Helper()
	was := f.logStart("control")
	f.wait("the lease records are trimmed", func() bool {
		if f.overMinted() {
			t.Fatal("the instances mint more than the whole rate together")
		}
		return f.logStart("control") > was+12
	})
}

// confirms sends a booking again and reports whether the answer is the one from
// before.
func (f *fleet) confirms(entry string, i int, body string) bool {
	a := f.send(entry, "office", "/bookings", fmt.Sprintf(`{"seat":%d}`, i), "Idempotency-Key", bookingKey(i))
	return a.status == http.StatusOK && a.body == body
}

// The platform is down and every instance is restarted meanwhile, so nobody
// has a configuration. Requests are refused, truly not run. When the platform
// is back the configuration is the one from before, and a repeat of a booking
// that was confirmed before gets that confirmation and does not run again.
func TestHerdRestartWhilePlatformIsDown(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, shape{entries: 3, engines: 2, services: 2})
	before, _ := f.state("entry0")
	booked := f.send("entry0", "office", "/bookings", `{"seat":0}`, "Idempotency-Key", bookingKey(0))
	is.Equal(booked.status, http.StatusOK)
	f.wait("the answer is recorded", func() bool { return f.confirms("entry1", 0, booked.body) })
	f.fault("log", `{"kind":"outage"}`)
	f.fault("instances", `{"kind":"outage"}`)
	for _, e := range f.entries {
		f.procs[e].kill()
	}
	for _, e := range f.entries {
		f.procs[e].begin()
	}
	for i, e := range f.entries {
		f.wait(e+" listens", func() bool { return f.listens(e) })
		a := f.send(e, "office", "/bookings", `{"seat":1}`, "Idempotency-Key", bookingKey(1+i))
		is.Equal(a.status, http.StatusServiceUnavailable)
		is.Equal(a.outcome, "not_run")
	}
	is.Equal(len(f.runs(2)), 1) // a refused booking ran
	f.fault("log", `{"kind":"none"}`)
	f.fault("instances", `{"kind":"none"}`)
	for _, e := range f.entries {
		f.wait(e+" is ready", func() bool { return f.ready(e) })
		after, _ := f.state(e)
		is.True(after.Revision >= before.Revision)
	}
	f.neverMintsTwice(0.99)
	f.wait("the repeat is answered", func() bool { return f.confirms("entry1", 0, booked.body) })
	is.Equal(f.runs(2)[bookingKey(0)], 1)
	f.stream(6, 5, func() {})
}

// Requests that cannot be served are refused with their status and code, and
// the refusal says that they have not run. None reaches a target.
func TestRefusalsSayNotRun(t *testing.T) {
	f := newFleet(t, shape{entries: 3, engines: 1, services: 1, entryFlags: []string{"--max-body-bytes", "4096"}})
	f.keys["stranger"], f.keys["nobody"] = "mt-no-such-key", ""
	large := chatBody(strings.Repeat("x", 5000), 2)
	for _, x := range []struct {
		name, account, path, body string
		status                    int
		code                      string
	}{
		{"no key", "nobody", "/bookings", `{}`, http.StatusUnauthorized, "invalid_api_key"},
		{"unknown key", "stranger", "/bookings", `{}`, http.StatusUnauthorized, "invalid_api_key"},
		{"unknown path", "office", "/elsewhere", `{}`, http.StatusNotFound, "not_found"},
		{"unknown path without a key", "nobody", "/elsewhere", `{}`, http.StatusUnauthorized, "invalid_api_key"},
		{"large chat", "office", "/v1/chat/completions", large, http.StatusRequestEntityTooLarge, "request_too_large"},
		{"large booking", "office", "/bookings", large, http.StatusRequestEntityTooLarge, "request_too_large"},
		{"not JSON", "office", "/v1/chat/completions", "{", http.StatusBadRequest, "invalid_request"},
		{"unknown model", "office", "/v1/chat/completions", strings.Replace(chatBody("hi", 2), `"m"`, `"n"`, 1), http.StatusNotFound, "not_found"},
	} {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			a := f.send("entry0", x.account, x.path, x.body)
			is.NoErr(a.err)
			is.Equal(a.status, x.status)
			is.Equal(a.code, x.code)
			is.Equal(a.outcome, "not_run")
		})
	}
	is := is.New(t)
	is.Equal(len(f.runs(1)), 0)
	is.Equal(f.attempts("engine0"), int64(0))
}
