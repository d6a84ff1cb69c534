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

// newBreakerTestPool returns a pool whose targets have all reported their load.
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

// reportLoad applies a load report of the target with the given incarnation.
func reportLoad(p *enginePool, name, incarnation string) {
	now := p.clock.now()
	p.applyLoadReport(name, now, now, loadReport{Incarnation: incarnation, Version: "1"})
}

// advanceClock advances the pool's clock.
func advanceClock(p *enginePool, by time.Duration) { p.clock.start = p.clock.start.Add(-by) }

// A target that answers load queries but fails every request must receive no
// more work after a few failures. Otherwise half of the requests to a pool of two
// targets would need a second attempt for as long as the fault lasts.
func TestBreakerOpensForTargetThatFailsRequests(t *testing.T) {
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

// A target that has recovered must be available again after a successful probe.
// If probes were not allowed, it would receive no work until its process
// restarts.
func TestTargetIsAvailableAfterSuccessfulProbe(t *testing.T) {
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

// The only target of a pool has restarted with an empty cache and is in slow
// start. Requests over its limit must wait: refusing them would return errors
// although the pool works.
func TestRequestsQueueForTargetInSlowStart(t *testing.T) {
	is := is.New(t)
	p := newBreakerTestPool("only")
	p.markUnreachable("only")
	is.Equal(len(p.availableTargets("")), 0)
	reportLoad(p, "only", "second")
	first, err := p.acquire(t.Context(), &dispatchRequest{Account: "a", Weight: 1})
	is.NoErr(err)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = p.acquire(cancelled, &dispatchRequest{Account: "a", Weight: 1})
	is.True(errors.Is(err, context.Canceled)) // it was queued
	p.recordPrefilled(first)
	_, err = p.acquire(t.Context(), &dispatchRequest{Account: "a", Weight: 1})
	is.NoErr(err)
}

// A process is suspended, so that it does not answer load queries, and then
// resumes as the same incarnation. It must be available from its next load
// report on, even if no request has probed it.
func TestUnresponsiveTargetIsAvailableAfterNextLoadReport(t *testing.T) {
	is := is.New(t)
	p := newBreakerTestPool("suspended")
	p.markUnresponsive("suspended")
	is.Equal(len(p.availableTargets("")), 0)
	reportLoad(p, "suspended", "first")
	is.Equal(p.availableTargets(""), []string{"suspended"})
}

// A plain service that answers every request with a server error must receive no
// more work after a few failures, although its responses are forwarded to the
// callers.
func TestBreakerOpensForServiceThatReturnsServerErrors(t *testing.T) {
	is := is.New(t)
	p := newServicePool(newClock(), "d")
	p.configure(config.Pool{Name: "p", MaxConcurrent: 1}, []config.Target{{Name: "good"}, {Name: "bad"}})
	sent := map[string]int{}
	for range 400 {
		pl, err := p.acquire("")
		is.NoErr(err)
		sent[pl.target]++
		resp := serviceResponse{status: 200}
		if pl.target == "bad" {
			resp.status = 500
		}
		p.release(pl, resultOfServiceAttempt(nil, resp, nil), false)
	}
	is.True(sent["bad"] >= 5) // it was tried
	is.True(sent["bad"] <= 20)
}
