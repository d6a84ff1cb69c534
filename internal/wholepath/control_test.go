package wholepath

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
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
		f.wait(e+" drains engine0", func() bool {
			s, _ := f.state(e)
			for _, target := range s.Targets {
				if target.Name == "engine0" {
					return len(target.RejectedBy) > 0
				}
			}
			return false
		})
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

// One account is hammered at all instances while one of them is killed and
// restarted and the log goes down. What the fleet admits stays within the
// rate and burst: counted by the services, over the time from before the first
// request to after the last answer.
func TestRateHoldsOverFleetUnderFaults(t *testing.T) {
	const rate, burst = 40, 30
	f := newFleet(t, shape{entries: 6, engines: 1, services: 2, accounts: map[string][2]int{"office": {rate, burst}}})
	began := time.Now()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 24 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				f.send(f.entries[(i+n)%len(f.entries)], "office", "/bookings", `{}`)
			}
		}()
	}
	admitted := func() int {
		n := 0
		for _, runs := range f.runs(2) {
			n += runs
		}
		return n
	}
	f.wait("tokens are minted", func() bool { return admitted() > burst })
	f.procs["entry3"].kill()
	f.procs["entry3"].begin()
	f.fault("log", `{"kind":"outage"}`)
	more := admitted() + 2*rate
	f.wait("the fleet goes on", func() bool { return admitted() > more })
	f.fault("log", `{"kind":"none"}`)
	more = admitted() + 2*rate
	f.wait("the fleet goes on", func() bool { return admitted() > more })
	close(stop)
	wg.Wait()
	allowed := burst + rate*time.Since(began).Seconds()
	if n := admitted(); float64(n) > allowed {
		t.Errorf("admitted %d, allowed %.0f", n, allowed)
	}
}

// Two operators publish from the same base. One wins on every instance, the
// loser is told who won, and nothing reverts.
func TestRacingOperators(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, shape{entries: 3, engines: 1})
	file := filepath.Join(f.dir, "config", "all.ini")
	raw, err := os.ReadFile(file)
	is.NoErr(err)
	is.NoErr(os.WriteFile(file, []byte(strings.Replace(string(raw), "deadline = 30s", "deadline = 20s", 1)), 0o600))
	f.publish()
	want, _ := f.state("entry0")
	f.wait("the change is in force everywhere", func() bool {
		for _, e := range f.entries {
			s, _ := f.state(e)
			if s.Revision == 0 || s.Revision < want.Revision {
				return false
			}
		}
		return true
	})
}
