package wholepath

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// An operator withdraws a key that callers use on persistent connections. Every
// instance refuses it from then on, even after a restart.
func TestWithdrawnKeyIsRefusedByAllInstances(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetSpec{entries: 3, engines: 1, accounts: map[string][2]int{"office": {1e7, 1e7}, "other": {1e7, 1e7}}})
	for _, e := range f.entries {
		is.Equal(f.send(e, "other", "/v1/chat/completions", chatBody("hi", 2)).status, http.StatusOK)
	}
	f.runTool("keys", "withdraw", "--as", "tester", "other-key")
	for _, e := range f.entries {
		f.waitFor(e+" refuses the key", func() bool { return f.refusesKey(e, "other") })
	}
	f.procs["entry0"].kill()
	f.procs["entry0"].start()
	f.waitFor("entry0 is ready", func() bool { return f.isReady("entry0") })
	is.True(f.refusesKey("entry0", "other"))
	is.Equal(f.send("entry0", "office", "/v1/chat/completions", chatBody("hi", 2)).status, http.StatusOK)
}

func (f *fleet) refusesKey(entry, account string) bool {
	return f.send(entry, account, "/v1/chat/completions", chatBody("hi", 2)).code == "invalid_api_key"
}

// A key is withdrawn while an instance is paused. When the instance resumes, its
// first callers must not succeed with the withdrawn key: the instance detects the
// pause and fetches the current configuration before it serves requests.
func TestResumedInstanceRefusesWithdrawnKey(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetSpec{entries: 3, engines: 1, accounts: map[string][2]int{"office": {1e7, 1e7}, "other": {1e7, 1e7}}})
	f.procs["entry0"].signal(syscall.SIGSTOP)
	f.runTool("keys", "withdraw", "--as", "tester", "other-key")
	f.waitFor("entry1 refuses the key", func() bool { return f.refusesKey("entry1", "other") })
	time.Sleep(3 * time.Second) // the length of the pause, no wait for a condition
	responses := make(chan response, 8)
	for range cap(responses) {
		go func() { responses <- f.send("entry0", "other", "/v1/chat/completions", chatBody("hi", 2)) }()
	}
	f.procs["entry0"].signal(syscall.SIGCONT)
	for range cap(responses) {
		a := <-responses
		is.True(a.status != http.StatusOK) // the withdrawn key got an answer
	}
}

// An instance that is restarted while the log is down serves immediately with the
// configuration and rate tokens that it gets from its peers.
func TestRestartDuringLogOutageServesFromPeers(t *testing.T) {
	f := newFleet(t, fleetSpec{entries: 3, engines: 2})
	f.injectFault("log", `{"kind":"outage"}`)
	f.procs["entry1"].kill()
	f.procs["entry1"].start()
	f.waitFor("entry1 is ready", func() bool { return f.isReady("entry1") })
	f.waitFor("entry1 answers", func() bool {
		return f.send("entry1", "office", "/v1/chat/completions", chatBody("hi", 2)).status == http.StatusOK
	})
}

// All instances are killed and restarted at the same time. They restore the previous
// configuration or a newer one, and callers are answered.
func TestFleetServesAfterSimultaneousRestart(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetSpec{entries: 6, engines: 2})
	before, ok := f.readAdminState("entry0")
	is.True(ok)
	for _, e := range f.entries {
		f.procs[e].kill()
	}
	for _, e := range f.entries {
		f.procs[e].start()
	}
	for _, e := range f.entries {
		f.waitFor(e+" is ready", func() bool { return f.isReady(e) })
		after, _ := f.readAdminState(e)
		is.True(after.Revision >= before.Revision)
	}
	f.waitFor("the fleet issues its whole rate", func() bool { return f.totalRateShare(f.entries) > 0.99 })
	f.checkStreams(12, 5, func() {})
}

// The platform lists a target as leaving. Once the instances know, they send it no
// new requests, and callers see no errors.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetSpec{entries: 3, engines: 2})
	f.setInstanceList(`{"instances":[{"id":"engine0","address":"` + f.addressOf("engine0") + `","domain":"north","role":"target","state":"leaving"}]}`)
	for _, e := range f.entries {
		f.waitFor(e+" drains engine0", func() bool { return f.excludesTarget(e, "engine0") })
	}
	before := f.cacheEventCount("engine0")
	f.checkStreams(12, 3, func() {})
	is.Equal(f.cacheEventCount("engine0"), before)
}

// cacheEventCount returns the number of cache events that an engine has published.
// It grows with every prompt that the engine runs.
func (f *fleet) cacheEventCount(engine string) int64 {
	var events struct {
		Next int64 `json:"next"`
	}
	f.getJSON(engine, "/events?from=0", &events)
	return events.Next
}
