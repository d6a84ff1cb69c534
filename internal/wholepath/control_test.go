package wholepath

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// An operator withdraws a key that callers use on kept connections. Every
// instance refuses it from then on and never takes it again, also not after a
// restart.
func TestWithdrawnKeyStopsEverywhere(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, shape{entries: 3, engines: 1, accounts: map[string][2]int{"office": {1e7, 1e7}, "other": {1e7, 1e7}}})
	for _, e := range f.entries {
		is.Equal(f.send(e, "other", "/v1/chat/completions", chatBody("hi", 2)).status, http.StatusOK)
	}
	f.tool("keys", "withdraw", "--as", "tester", "other-key")
	for _, e := range f.entries {
		f.wait(e+" refuses the key", func() bool { return f.refusesKey(e, "other") })
	}
	f.procs["entry0"].kill()
	f.procs["entry0"].begin()
	f.wait("entry0 is ready", func() bool { return f.ready("entry0") })
	is.True(f.refusesKey("entry0", "other"))
	is.Equal(f.send("entry0", "office", "/v1/chat/completions", chatBody("hi", 2)).status, http.StatusOK)
}

func (f *fleet) refusesKey(entry, account string) bool {
	return f.send(entry, account, "/v1/chat/completions", chatBody("hi", 2)).code == "invalid_api_key"
}

// An instance is paused, a key is withdrawn meanwhile, and the instance thaws.
// Its first callers must not get through with the withdrawn key: it knows that
// it was away, and looks for a newer configuration before it serves.
func TestThawedInstanceRefusesWithdrawnKey(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, shape{entries: 3, engines: 1, accounts: map[string][2]int{"office": {1e7, 1e7}, "other": {1e7, 1e7}}})
	f.procs["entry0"].signal(syscall.SIGSTOP)
	f.tool("keys", "withdraw", "--as", "tester", "other-key")
	f.wait("entry1 refuses the key", func() bool { return f.refusesKey("entry1", "other") })
	time.Sleep(3 * time.Second) // the pause itself; nothing is measured by it
	answers := make(chan answer, 8)
	for range cap(answers) {
		go func() { answers <- f.send("entry0", "other", "/v1/chat/completions", chatBody("hi", 2)) }()
	}
	f.procs["entry0"].signal(syscall.SIGCONT)
	for range cap(answers) {
		a := <-answers
		is.True(a.status != http.StatusOK) // the withdrawn key got an answer
	}
}

// The log is down and an instance is restarted. It serves at once from what
// its peers have: configuration, and tokens of the account's rate.
func TestRestartDuringLogOutageServesFromPeers(t *testing.T) {
	f := newFleet(t, shape{entries: 3, engines: 2})
	f.fault("log", `{"kind":"outage"}`)
	f.procs["entry1"].kill()
	f.procs["entry1"].begin()
	f.wait("entry1 is ready", func() bool { return f.ready("entry1") })
	f.wait("entry1 answers", func() bool {
		return f.send("entry1", "office", "/v1/chat/completions", chatBody("hi", 2)).status == http.StatusOK
	})
}

// All instances are killed and come back at once. The configuration in force
// is the one from before, and callers are answered.
func TestHerdRestartServesAgain(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, shape{entries: 6, engines: 2})
	before, ok := f.state("entry0")
	is.True(ok)
	for _, e := range f.entries {
		f.procs[e].kill()
	}
	for _, e := range f.entries {
		f.procs[e].begin()
	}
	for _, e := range f.entries {
		f.wait(e+" is ready", func() bool { return f.ready(e) })
		after, _ := f.state(e)
		is.True(after.Revision >= before.Revision)
	}
	f.wait("the fleet mints its whole rate", func() bool { return f.share(f.entries) > 0.99 })
	f.stream(12, 5, func() {})
}

// The platform's list says that a target leaves. Once an instance has seen
// that, the target gets no new work from it, and callers notice nothing.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, shape{entries: 3, engines: 2})
	f.list(`{"instances":[{"id":"engine0","address":"` + f.addr("engine0") + `","domain":"north","role":"target","state":"leaving"}]}`)
	for _, e := range f.entries {
		f.wait(e+" drains engine0", func() bool { return f.rejects(e, "engine0") })
	}
	before := f.attempts("engine0")
	f.stream(12, 3, func() {})
	is.Equal(f.attempts("engine0"), before)
}

// attempts is the number of load events that an engine has published: it
// stores pieces for every prompt it runs.
func (f *fleet) attempts(engine string) int64 {
	var events struct {
		Next int64 `json:"next"`
	}
	f.get(engine, "/events?from=0", &events)
	return events.Next
}
