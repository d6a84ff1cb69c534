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

// exitRejected is the status of a publish that lost.
const exitRejected = 4

// published is what one operator's publish came to.
type published struct {
	name, out string
	rate      int
	status    int
}

var ratePattern = regexp.MustCompile(`tokens-per-second = \d+`)

// checkout gives an operator files in which the account has another rate.
func (f *fleet) checkout(name string, rate int) string {
	raw, err := os.ReadFile(filepath.Join(f.dir, "config", "all.ini"))
	f.must(err)
	root := filepath.Join(f.dir, name)
	f.must(os.MkdirAll(filepath.Join(root, "config"), 0o700))
	changed := ratePattern.ReplaceAllString(string(raw), fmt.Sprintf("tokens-per-second = %d", rate))
	f.must(os.WriteFile(filepath.Join(root, "config", "all.ini"), []byte(changed), 0o600))
	return root
}

// race lets two operators publish at once what they made from one revision.
func (f *fleet) race(base int64, rates [2]int) [2]published {
	var results [2]published
	var wg sync.WaitGroup
	for i, name := range []string{"anna", "beat"} {
		root := f.checkout(name, rates[i])
		wg.Add(1)
		go func() {
			defer wg.Done()
			out, status := f.tryTool("publish", "--as", name, "--expect", fmt.Sprint(base), "--root", root, filepath.Join(root, "config"))
			results[i] = published{name: name, out: out, rate: rates[i], status: status}
		}()
	}
	wg.Wait()
	return results
}

// rateInForce is the account's rate on every instance, or 0 while they differ.
func (f *fleet) rateInForce(entries []string) int {
	rate := 0
	for _, e := range entries {
		s, ok := f.state(e)
		if !ok || len(s.Accounts) != 1 || (rate != 0 && int(s.Accounts[0].TokensPerSecond) != rate) {
			return 0
		}
		rate = int(s.Accounts[0].TokensPerSecond)
	}
	return rate
}

// Two operators publish different changes from the same base at once, also
// with a log so slow that both have read before either appends. One wins, and
// its change is in force on every instance and stays so after a restart. The
// other's command ends with status 4 and names the winner.
func TestRacingOperators(t *testing.T) {
	f := newFleet(t, shape{entries: 3, engines: 1})
	for round := range 6 {
		if round == 3 {
			f.fault("log", `{"kind":"slow","ms":300}`)
		}
		base, _ := f.state("entry0")
		results := f.race(base.Revision, [2]int{1_000_000 + 2*round, 1_000_000 + 2*round + 1})
		winner := f.judgeRace(results)
		f.wait("the winner's change is in force everywhere", func() bool { return f.rateInForce(f.entries) == winner.rate })
	}
	f.fault("log", `{"kind":"none"}`)
	last := f.rateInForce(f.entries)
	f.procs["entry1"].kill()
	f.procs["entry1"].begin()
	f.wait("entry1 is ready", func() bool { return f.ready("entry1") })
	is.New(t).Equal(f.rateInForce(f.entries), last)
}

// judgeRace checks that exactly one operator won, and returns it.
func (f *fleet) judgeRace(results [2]published) published {
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
