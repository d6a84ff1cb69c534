package wholepath

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// exitRejected is the exit status of a publish that lost against another one.
const exitRejected = 4

// publishResult is the outcome of one operator's publish.
type publishResult struct {
	name, out string
	rate      int
	status    int
}

var ratePattern = regexp.MustCompile(`tokens-per-second = \d+`)

// writeOperatorConfig writes a copy of the configuration with another rate for the
// account and returns its root folder.
func (f *fleet) writeOperatorConfig(name string, rate int) string {
	raw, err := os.ReadFile(filepath.Join(f.dir, "config", "all.ini"))
	f.must(err)
	root := filepath.Join(f.dir, name)
	f.must(os.MkdirAll(filepath.Join(root, "config"), 0o700))
	changed := ratePattern.ReplaceAllString(string(raw), fmt.Sprintf("tokens-per-second = %d", rate))
	f.must(os.WriteFile(filepath.Join(root, "config", "all.ini"), []byte(changed), 0o600))
	return root
}

// publishConcurrently has two operators concurrently publish different changes to the
// same revision.
func (f *fleet) publishConcurrently(baseRevision int64, rates [2]int) [2]publishResult {
	var results [2]publishResult
	var wg sync.WaitGroup
	for i, name := range []string{"anna", "beat"} {
		root := f.writeOperatorConfig(name, rates[i])
		wg.Add(1)
		go func() {
			defer wg.Done()
			out, status := f.tryTool("publish", "--as", name, "--expect", fmt.Sprint(baseRevision), "--root", root, filepath.Join(root, "config"))
			results[i] = publishResult{name: name, out: out, rate: rates[i], status: status}
		}()
	}
	wg.Wait()
	return results
}

// accountRateInForce returns the account's rate if all instances agree on it, and 0
// otherwise.
func (f *fleet) accountRateInForce(entries []string) int {
	rate := 0
	for _, e := range entries {
		s, ok := f.readAdminState(e)
		if !ok || len(s.Accounts) != 1 || (rate != 0 && int(s.Accounts[0].TokensPerSecond) != rate) {
			return 0
		}
		rate = int(s.Accounts[0].TokensPerSecond)
	}
	return rate
}

// Two operators concurrently publish different changes to the same revision, also
// with a log so slow that both read it before either appends. One wins: its change is
// in force on every instance and stays so after a restart. The other's command exits
// with status 4 and names the winner.
func TestConcurrentPublishHasOneWinner(t *testing.T) {
	f := newFleet(t, fleetSpec{entries: 3, engines: 1})
	for round := range 6 {
		if round == 3 {
			f.injectFault("log", `{"kind":"slow","ms":300}`)
		}
		base, _ := f.readAdminState("entry0")
		results := f.publishConcurrently(base.Revision, [2]int{1_000_000 + 2*round, 1_000_000 + 2*round + 1})
		winner := f.requireSingleWinner(results)
		f.waitFor("the winner's change is in force everywhere", func() bool { return f.accountRateInForce(f.entries) == winner.rate })
	}
	f.injectFault("log", `{"kind":"none"}`)
	last := f.accountRateInForce(f.entries)
	f.procs["entry1"].kill()
	f.procs["entry1"].start()
	f.waitFor("entry1 is ready", func() bool { return f.isReady("entry1") })
	is.New(t).Equal(f.accountRateInForce(f.entries), last)
}

// requireSingleWinner checks that exactly one operator won and returns its result.
func (f *fleet) requireSingleWinner(results [2]publishResult) publishResult {
	f.t.Helper()
	winner, loser := results[0], results[1]
	if winner.status != 0 {
		winner, loser = loser, winner
	}
	if winner.status != 0 || loser.status != exitRejected || !strings.Contains(loser.out, winner.name) {
		f.t.Fatalf("%s: status %d\n%s\n%s: status %d\n%s", winner.name, winner.status, winner.out, loser.name, loser.status, loser.out)
	}
	return winner
}
