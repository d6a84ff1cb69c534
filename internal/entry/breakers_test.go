package entry

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/config"
	"github.com/mastictray/mastictray/internal/overload"
)

// breakerPool is a pool whose targets have all said what they are.
func newBreakerTestPool(names ...string) *enginePool {
	p := newEnginePool(newClock(), "d")
	var targets []config.Target
	for _, name := range names {
		targets = append(targets, config.Target{Name: name, Address: name})
	}
	p.configure(config.Pool{Name: "p", Model: "m", PrefillTokensPerSecond: 1e6}, config.Model{Name: "m", Version: "1", PieceBytes: 1, BytesPerToken: 1}, targets, 1)
	for _, name := range names {
		reportLoad(p, name, "first")
	}
	return p
}

// answer has a target answer a load question.
func reportLoad(p *enginePool, name, incarnation string) {
	now := p.clock.now()
	p.applyLoadReport(name, now, now, loadReport{Incarnation: incarnation, Version: "1"})
}

// later moves the pool's clock on.
func advanceClock(p *enginePool, by time.Duration) { p.clock.start = p.clock.start.Add(-by) }

// A target answers its load questions and fails every request. After a few
// requests the others get the work; else half of the callers would need a
// second attempt for as long as the target is in this state.
func TestTargetThatFailsItsRequestsGetsNoMoreWork(t *testing.T) {
	is := is.New(t)
	p := newBreakerTestPool("good", "bad")
	sent := map[string]int{}
	for range 400 {
		pl, err := p.acquire(t.Context(), &dispatchRequest{Account: "a", Weight: 1})
		is.NoErr(err)
		sent[pl.target]++
		if pl.target == "bad" {
			p.recordNotPrefilled(pl, overload.Failed)
		} else {
			p.recordPrefilled(pl)
		}
		reportLoad(p, "good", "first")
		reportLoad(p, "bad", "first")
	}
	is.True(sent["bad"] >= 5) // it was tried
	is.True(sent["bad"] <= 20)
}

// The same target works again. A probe finds out, and it gets its work back;
// were probes not let through, it would be lost until its process restarts.
func TestProbeBringsATargetBack(t *testing.T) {
	is := is.New(t)
	p := newBreakerTestPool("only")
	for range 5 {
		pl, err := p.acquire(t.Context(), &dispatchRequest{Account: "a", Weight: 1})
		is.NoErr(err)
		p.recordNotPrefilled(pl, overload.Failed)
	}
	_, err := p.acquire(t.Context(), &dispatchRequest{Account: "a", Weight: 1})
	is.True(err != nil)
	advanceClock(p, time.Minute)
	probe, err := p.acquire(t.Context(), &dispatchRequest{Account: "a", Weight: 1})
	is.NoErr(err)
	is.Equal(len(p.availableTargets("")), 0) // one probe at a time
	p.recordPrefilled(probe)
	is.Equal(p.availableTargets(""), []string{"only"})
}

// The only target of a pool is back as a new process, with an empty cache. The
// requests over its limit wait for it; refused, their callers would see a
// failure that nothing has.
func TestRequestsWaitForATargetThatStartsSlowly(t *testing.T) {
	is := is.New(t)
	p := newBreakerTestPool("only")
	p.markUnreachable("only")
	is.Equal(len(p.availableTargets("")), 0)
	reportLoad(p, "only", "second")
	first, err := p.acquire(t.Context(), &dispatchRequest{Account: "a", Weight: 1})
	is.NoErr(err)
	gone, leave := context.WithCancel(t.Context())
	leave()
	_, err = p.acquire(gone, &dispatchRequest{Account: "a", Weight: 1})
	is.True(errors.Is(err, context.Canceled)) // it waited
	p.recordPrefilled(first)
	_, err = p.acquire(t.Context(), &dispatchRequest{Account: "a", Weight: 1})
	is.NoErr(err)
}

// A frozen target answers no load questions, then goes on as the same process.
// It gets work with its first answer, also when no request has probed it.
func TestTargetThatAnswersAgainGetsWork(t *testing.T) {
	is := is.New(t)
	p := newBreakerTestPool("frozen")
	p.markUnresponsive("frozen")
	is.Equal(len(p.availableTargets("")), 0)
	reportLoad(p, "frozen", "first")
	is.Equal(p.availableTargets(""), []string{"frozen"})
}

// A plain service answers every request with a server error. The answers go to
// the callers as they are, and after a few the other target gets the work.
func TestServiceThatFailsItsRequestsGetsNoMoreWork(t *testing.T) {
	is := is.New(t)
	p := newServicePool(newClock(), "d")
	p.configure(config.Pool{Name: "p", MaxConcurrent: 1}, []config.Target{{Name: "good"}, {Name: "bad"}})
	sent := map[string]int{}
	for range 400 {
		pl, err := p.acquire("")
		is.NoErr(err)
		sent[pl.target]++
		ans := serviceResponse{status: 200}
		if pl.target == "bad" {
			ans.status = 500
		}
		p.release(pl, resultOfServiceAttempt(nil, ans, nil), false)
	}
	is.True(sent["bad"] >= 5) // it was tried
	is.True(sent["bad"] <= 20)
}
