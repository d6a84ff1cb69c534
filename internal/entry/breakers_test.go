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
func breakerPool(names ...string) *enginePool {
	p := newEnginePool(newClock(), "d")
	var targets []config.Target
	for _, name := range names {
		targets = append(targets, config.Target{Name: name, Address: name})
	}
	p.configure(config.Pool{Name: "p", Model: "m", PrefillTokensPerSecond: 1e6}, config.Model{Name: "m", Version: "1", PieceBytes: 1, BytesPerToken: 1}, targets, 1)
	for _, name := range names {
		answer(p, name, "first")
	}
	return p
}

// answer has a target answer a load question.
func answer(p *enginePool, name, incarnation string) {
	now := p.clock.now()
	p.observe(name, now, now, loadReport{Incarnation: incarnation, Version: "1"})
}

// later moves the pool's clock on.
func later(p *enginePool, by time.Duration) { p.clock.start = p.clock.start.Add(-by) }

// A target answers its load questions and fails every request. After a few
// requests the others get the work; else half of the callers would need a
// second attempt for as long as the target is in this state.
func TestTargetThatFailsItsRequestsGetsNoMoreWork(t *testing.T) {
	is := is.New(t)
	p := breakerPool("good", "bad")
	sent := map[string]int{}
	for range 400 {
		pl, err := p.acquire(t.Context(), &request{Account: "a", Weight: 1})
		is.NoErr(err)
		sent[pl.target]++
		if pl.target == "bad" {
			p.lost(pl, overload.Failed)
		} else {
			p.served(pl)
		}
		answer(p, "good", "first")
		answer(p, "bad", "first")
	}
	is.True(sent["bad"] >= 5) // it was tried
	is.True(sent["bad"] <= 20)
}

// The same target works again. A probe finds out, and it gets its work back;
// were probes not let through, it would be lost until its process restarts.
func TestProbeBringsATargetBack(t *testing.T) {
	is := is.New(t)
	p := breakerPool("only")
	for range 5 {
		pl, err := p.acquire(t.Context(), &request{Account: "a", Weight: 1})
		is.NoErr(err)
		p.lost(pl, overload.Failed)
	}
	_, err := p.acquire(t.Context(), &request{Account: "a", Weight: 1})
	is.True(err != nil)
	later(p, time.Minute)
	probe, err := p.acquire(t.Context(), &request{Account: "a", Weight: 1})
	is.NoErr(err)
	is.Equal(len(p.targets("")), 0) // one probe at a time
	p.served(probe)
	is.Equal(p.targets(""), []string{"only"})
}

// The only target of a pool is back as a new process, with an empty cache. The
// requests over its limit wait for it; refused, their callers would see a
// failure that nothing has.
func TestRequestsWaitForATargetThatStartsSlowly(t *testing.T) {
	is := is.New(t)
	p := breakerPool("only")
	p.open("only")
	is.Equal(len(p.targets("")), 0)
	answer(p, "only", "second")
	first, err := p.acquire(t.Context(), &request{Account: "a", Weight: 1})
	is.NoErr(err)
	gone, leave := context.WithCancel(t.Context())
	leave()
	_, err = p.acquire(gone, &request{Account: "a", Weight: 1})
	is.True(errors.Is(err, context.Canceled)) // it waited
	p.served(first)
	_, err = p.acquire(t.Context(), &request{Account: "a", Weight: 1})
	is.NoErr(err)
}

// A frozen target answers no load questions, then goes on as the same process.
// It gets work with its first answer, also when no request has probed it.
func TestTargetThatAnswersAgainGetsWork(t *testing.T) {
	is := is.New(t)
	p := breakerPool("frozen")
	p.unanswered("frozen")
	is.Equal(len(p.targets("")), 0)
	answer(p, "frozen", "first")
	is.Equal(p.targets(""), []string{"frozen"})
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
		ans := serviceAnswer{status: 200}
		if pl.target == "bad" {
			ans.status = 500
		}
		p.release(pl, serviceResult(nil, ans, nil), false)
	}
	is.True(sent["bad"] >= 5) // it was tried
	is.True(sent["bad"] <= 20)
}
