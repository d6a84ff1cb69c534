package wholepath

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// An engine freezes during streams: its connections stay open but carry no more
// data. Callers still get complete answers, since the router detects that the engine
// doesn't respond and resumes the streams on other engines.
func TestStreamsSurviveFrozenEngine(t *testing.T) {
	f := newFleet(t, fleetSpec{entries: 3, engines: 3, engineFlags: []string{"--itl-ms", "20"}})
	f.checkStreams(24, 60, func() {
		f.waitFor("engine0 runs streams", func() bool { return f.runningStreams("engine0") > 0 })
		f.injectFault("engine0", `{"kind":"freeze"}`)
	})
}

// With a slow log, chats are answered, a booking that is sent several times runs
// at most once and is never falsely reported as not run, and a configuration change
// takes effect on all instances.
func TestSlowLogCausesNoErrors(t *testing.T) {
	f := newFleet(t, fleetSpec{entries: 3, engines: 2, services: 2})
	f.injectFault("log", `{"kind":"slow","ms":400}`)
	f.checkStreams(6, 5, func() {})
	for i := range 6 {
		responses := f.bookFourTimes(i)
		f.checkBooking(i, f.runCounts(2)[bookingKey(i)], responses)
		f.waitFor("the booking is confirmed", func() bool {
			return f.send("entry0", "office", "/bookings", fmt.Sprintf(`{"seat":%d}`, i), "Idempotency-Key", bookingKey(i)).status == http.StatusOK
		})
	}
	for key, n := range f.runCounts(2) {
		if n != 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
	f.replaceAndPublish("tokens-per-second = 10000000", "tokens-per-second = 9000000")
	f.waitFor("the change is in force everywhere", func() bool { return f.accountRateInForce(f.entries) == 9_000_000 })
}

// oldestLogOffset returns the offset of the oldest record that the log retains.
func (f *fleet) oldestLogOffset(stream string) int64 {
	var ans struct {
		Start int64 `json:"start"`
	}
	f.getJSON("log", "/v1/streams/"+stream+"/records?from=0", &ans)
	return ans.Start
}

// The log retains only 12 records, so the first lease and configuration records are
// trimmed before instances are restarted: first those that issue no tokens, then one
// that does. They restore the configuration from a snapshot or a peer, and none acquires
// a rate slot that another instance holds, although the record of its acquisition is
// gone.
func TestRestartAfterLogTrimKeepsState(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetSpec{entries: 6, engines: 2, logFlags: []string{"--retain-records", "12"}})
	f.runTool("keys", "create", "--as", "tester", "--account", "office", "second-key")
	f.waitForLogTrim(t)
	before, _ := f.readAdminState("entry0")
	issuer, nonIssuers := f.findIssuer()
	nonIssuers = slices.DeleteFunc(nonIssuers, func(e string) bool { s, _ := f.readAdminState(e); return s.RateShare > 0 })
	is.True(len(nonIssuers) > 0)
	for _, e := range append(nonIssuers, issuer) {
		f.procs[e].kill()
		f.procs[e].start()
		f.waitFor(e+" is ready", func() bool { return f.isReady(e) })
		after, _ := f.readAdminState(e)
		is.True(after.Revision >= before.Revision) // the configuration was reverted
	}
	f.waitForLogTrim(t)
	f.waitForRateShare(0.99)
	f.checkStreams(12, 5, func() {})
}

// waitForLogTrim waits until all records now in the control stream are trimmed. It
// fails if two instances issue the share of the same slot in the meantime.
func (f *fleet) waitForLogTrim(t *testing.T) {
	t.Helper()
	before := f.oldestLogOffset("control")
	f.waitFor("the lease records are trimmed", func() bool {
		if f.exceedsWholeRate() {
			t.Fatal("the instances issue more than the whole rate together")
		}
		return f.oldestLogOffset("control") > before+12
	})
}

// repeatsConfirmation retries a booking and reports whether the response equals the
// given one.
func (f *fleet) repeatsConfirmation(entry string, i int, body string) bool {
	a := f.send(entry, "office", "/bookings", fmt.Sprintf(`{"seat":%d}`, i), "Idempotency-Key", bookingKey(i))
	return a.status == http.StatusOK && a.body == body
}

// Every instance is restarted while the platform is down, so none has a
// configuration. Requests are refused and not run. Once the platform is back, the
// instances restore the previous configuration or a newer one, and a retry of a
// booking that was confirmed before gets that confirmation and doesn't run again.
func TestSimultaneousRestartDuringPlatformOutage(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetSpec{entries: 3, engines: 2, services: 2})
	before, _ := f.readAdminState("entry0")
	booked := f.send("entry0", "office", "/bookings", `{"seat":0}`, "Idempotency-Key", bookingKey(0))
	is.Equal(booked.status, http.StatusOK)
	f.waitFor("the answer is recorded", func() bool { return f.repeatsConfirmation("entry1", 0, booked.body) })
	f.injectFault("log", `{"kind":"outage"}`)
	f.injectFault("instances", `{"kind":"outage"}`)
	for _, e := range f.entries {
		f.procs[e].kill()
	}
	for _, e := range f.entries {
		f.procs[e].start()
	}
	for i, e := range f.entries {
		f.waitFor(e+" listens", func() bool { return f.isListening(e) })
		a := f.send(e, "office", "/bookings", `{"seat":1}`, "Idempotency-Key", bookingKey(1+i))
		is.Equal(a.status, http.StatusServiceUnavailable)
		is.Equal(a.outcome, "not_run")
	}
	is.Equal(len(f.runCounts(2)), 1) // a refused booking ran
	f.injectFault("log", `{"kind":"none"}`)
	f.injectFault("instances", `{"kind":"none"}`)
	for _, e := range f.entries {
		f.waitFor(e+" is ready", func() bool { return f.isReady(e) })
		after, _ := f.readAdminState(e)
		is.True(after.Revision >= before.Revision)
	}
	f.waitForRateShare(0.99)
	f.waitFor("the retry is answered", func() bool { return f.repeatsConfirmation("entry1", 0, booked.body) })
	is.Equal(f.runCounts(2)[bookingKey(0)], 1)
	f.checkStreams(6, 5, func() {})
}

// Requests that can't be served are refused with the right status and code and marked
// as not run. None reaches a target.
func TestRefusalsAreMarkedNotRun(t *testing.T) {
	f := newFleet(t, fleetSpec{entries: 3, engines: 1, services: 1, entryFlags: []string{"--max-body-bytes", "4096"}})
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
	is.Equal(len(f.runCounts(1)), 0)
	is.Equal(f.cacheEventCount("engine0"), int64(0))
}
