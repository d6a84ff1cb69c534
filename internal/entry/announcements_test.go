package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/attempt"
	"github.com/mastictray/mastictray/internal/config"
	"github.com/mastictray/mastictray/internal/openai"
	"github.com/mastictray/mastictray/internal/platform"
)

// prepareEntry returns an entry that has the system's configuration but does not run, and
// whose requests call hook when they check their key.
func (s *testSystem) prepareEntry(hook func(e *Entry)) *Entry {
	s.t.Helper()
	is := is.New(s.t)
	e := newTestEntry(s.t, s.logURL)
	s.t.Cleanup(e.cancel)
	batch, err := e.log.Read(s.t.Context(), platform.StreamConfig, 0, tailBatchLimit, 0)
	is.NoErr(err)
	is.NoErr(e.config.handleBatch(batch))
	now := time.Duration(0)
	e.config.guard = newPauseGuard(func() time.Duration { return now }, func() {
		e.config.guard.handleAnswer(now)
		hook(e)
	})
	now = time.Minute
	return e
}

// newTestCall returns a call that may be sent.
func (s *testSystem) newTestCall(e *Entry) *call {
	r := httptest.NewRequestWithContext(s.t.Context(), http.MethodPost, "/", strings.NewReader("{}"))
	return &call{id: "c", r: r, apiKey: testKey, deadline: e.clock.now() + time.Minute, attempts: 1, route: config.Route{Idempotent: true}}
}

// recordPause records that the current process at an address has asked for a pause.
func recordPause(e *Entry, address string) {
	a := e.pools.announcements
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pauses.Pause(a.clock.now(), targetProcess{address: address, incarnation: a.current[address]}, longPause)
}

// Guards against a request that is sent to a target which asked for a pause after it was
// chosen, while the request waited for its last checks.
func TestPauseIsSeenAfterTheTargetWasChosen(t *testing.T) {
	t.Run("model server", func(t *testing.T) {
		is := is.New(t)
		s := newSystem(t, 2)
		chosen := ""
		e := s.prepareEntry(func(e *Entry) {
			pool := e.pools.engine("p")
			pool.mu.Lock()
			defer pool.mu.Unlock()
			for name, b := range pool.breakers.byTarget {
				if b.InFlight() > 0 {
					chosen = name
					recordPause(e, b.address)
				}
			}
		})
		waitFor(t, "load reports", func() bool {
			for _, v := range e.pools.engine("p").targetViews() {
				if v.Incarnation == "" {
					return false
				}
			}
			return true
		})
		pool := e.pools.engine("p")
		r := &engineRun{server: e.server, pool: pool, stream: attempt.NewStream(attempt.Policy{}), call: &engineCall{call: s.newTestCall(e), pool: pool.cfg}}
		pl, err := r.placeForDispatch()
		is.NoErr(err)
		is.True(chosen != "")
		is.True(pl.target != chosen)
	})
	t.Run("plain service", func(t *testing.T) {
		is := is.New(t)
		s := newSystem(t, 2)
		var chosen *requestTarget
		e := s.prepareEntry(func(e *Entry) {
			pool := e.pools.service("s")
			pool.mu.Lock()
			defer pool.mu.Unlock()
			for _, target := range pool.targets {
				if target.Outstanding > 0 {
					chosen = s.services[int(target.Name[1]-'0')]
					recordPause(e, chosen.address)
				}
			}
		})
		resp, err := e.server.sendService(s.newTestCall(e), e.pools.service("s").cfg, nil)
		is.NoErr(err)
		is.Equal(resp.status, http.StatusOK)
		is.True(chosen != nil)
		is.Equal(chosen.requests.Load(), int64(0))
	})
}

// Guards against a request under suspicion that waits for leave to run in isolation while all
// targets pause: no target can be named for it.
func TestSuspectIsRefusedAtOnceWhileAllTargetsPause(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 2)
	e := s.prepareEntry(func(*Entry) {})
	for _, target := range s.engines {
		pauseTarget(e.pools.announcements, target.address, "", "300")
	}
	pool := e.pools.engine("p")
	r := &engineRun{server: e.server, pool: pool, stream: attempt.NewStream(attempt.Policy{}), call: &engineCall{call: s.newTestCall(e), pool: pool.cfg}}
	e.poison.registerRunning("crashed", r.call.fingerprint(), "p", "e0", nil)
	e.poison.registry.TargetCrashed(e.clock.now(), "e0", "first", []string{"crashed"})
	is.True(!e.poison.noSuspects())
	var refused *openai.Error
	is.True(errors.As(r.checkPoison(), &refused))
	is.Equal(refused.Code, openai.CodeNoTarget)
	is.True(refused.RetryAfter > time.Minute)
}

// pauseTarget makes the target at the address ask for a pause.
func pauseTarget(a *announcements, address, incarnation, retryAfter string) {
	respond(a, address, http.StatusServiceUnavailable, http.Header{headerRetryAfter: {retryAfter}, headerIncarnation: {incarnation}})
}

// respond makes the instance learn from a response of the target at the address.
func respond(a *announcements, address string, status int, header http.Header) {
	req := httptest.NewRequest(http.MethodPost, "http://"+address+"/", nil)
	req.Header.Set(headerRequestID, "request.0")
	for name, values := range header {
		if values[0] == "" {
			delete(header, name)
		}
	}
	a.learn(req, &http.Response{StatusCode: status, Header: header})
}

// Guards against a pool whose second choice ignores the pauses: after the loss of all its
// targets, requests may exceed the limits of the slow start.
func TestServicePoolSecondChoiceRespectsPause(t *testing.T) {
	is := is.New(t)
	p := newServicePool(newClock(), "d")
	p.configure(config.Pool{Name: "p", MaxConcurrent: 10}, []config.Target{{Name: "s", Address: "s"}})
	p.breakers.byTarget["s"].Restarted()
	for range 2 { // the second is over the limit
		_, err := p.acquire("")
		is.NoErr(err)
	}
	pauseTarget(p.announcements, "s", "", "60")
	_, err := p.acquire("")
	is.True(err != nil)
}

// Guards against isolated requests that run on a target during its pause, and against a pause
// that a new configuration ends, also one that moves the target to another pool.
func TestPauseHoldsForIsolatedRequestsAndNewConfigurations(t *testing.T) {
	is := is.New(t)
	ps := newPools(t.Context(), newClock(), "d", nil)
	model := config.Model{Name: "m", Version: "1", PieceBytes: 1, BytesPerToken: 1}
	targets := []config.Target{{Name: "a", Address: "a"}, {Name: "b", Address: "b"}}
	ps.configurePool(config.Pool{Name: "p", Model: "m", PrefillTokensPerSecond: 1e6}, model, targets, 1)
	p := ps.engine("p")
	reportLoad(p, "a", "first")
	reportLoad(p, "b", "first")
	pauseTarget(ps.announcements, "a", "first", "60")
	check := func(p *enginePool) {
		t.Helper()
		_, err := p.acquireOn("a", &dispatchRequest{Account: "a", Weight: 1})
		is.True(err != nil)
		is.Equal(p.availableTargets(""), []string{"b"})
		for range 20 {
			pl, err := p.acquire(t.Context(), &dispatchRequest{Account: "a", Weight: 1})
			is.NoErr(err)
			is.Equal(pl.target, "b")
			p.recordPrefilled(pl)
		}
	}
	check(p)
	ps.configurePool(config.Pool{Name: "p", Model: "m", PrefillTokensPerSecond: 2e6}, model, targets, 1)
	check(p)
	ps.configurePool(config.Pool{Name: "other", Model: "m", PrefillTokensPerSecond: 1e6}, model, targets, 1)
	check(ps.engine("other"))
	advanceClock(p, 61*time.Second)
	is.Equal(p.availableTargets(""), []string{"a", "b"})
}

// Guards against a pause that binds the wrong process: a late response of an ended process
// must not pause its successor, and a restart ends the pause, whichever response shows it.
func TestPauseBelongsToTheIncarnation(t *testing.T) {
	is := is.New(t)
	p := newBreakerTestPool("only")
	pauseTarget(p.announcements, "only", "first", "60")
	is.Equal(len(p.availableTargets("")), 0)
	respond(p.announcements, "only", http.StatusOK, http.Header{headerIncarnation: {"second"}})
	is.Equal(p.availableTargets(""), []string{"only"})
	pauseTarget(p.announcements, "only", "first", "60") // late
	is.Equal(p.availableTargets(""), []string{"only"})
	pauseTarget(p.announcements, "only", "second", "60")
	is.Equal(len(p.availableTargets("")), 0)
	pauseTarget(p.announcements, "only", "third", "60") // no load report tells of it yet
	is.Equal(len(p.availableTargets("")), 0)
	reportLoad(p, "only", "fourth")
	is.Equal(p.availableTargets(""), []string{"only"})
}

// Guards against a pause that is lost because the target's incarnation was not known when it
// asked for it.
func TestPauseOfUnknownIncarnationPassesToTheFirstObserved(t *testing.T) {
	is := is.New(t)
	p := newEnginePool(newClock(), "d")
	p.configure(config.Pool{Name: "p", Model: "m", PrefillTokensPerSecond: 1e6}, config.Model{Name: "m", Version: "1", PieceBytes: 1, BytesPerToken: 1}, []config.Target{{Name: "a", Address: "a"}}, 1)
	pauseTarget(p.announcements, "a", "", "60")
	is.Equal(len(p.availableTargets("")), 0)
	reportLoad(p, "a", "first")
	is.Equal(len(p.availableTargets("")), 0)
	reportLoad(p, "a", "second")
	is.Equal(p.availableTargets(""), []string{"a"})
}

// Guards against a pause that ends because a configuration leaves the target out for a while,
// and against addresses of earlier configurations that stay in memory.
func TestPauseOutlastsConfigurationWithoutTheTarget(t *testing.T) {
	is := is.New(t)
	a := newAnnouncements(newClock())
	targets := []config.Target{{Name: "a", Address: "a"}, {Name: "b", Address: "b"}}
	a.setTargets(targets)
	pauseTarget(a, "a", "first", "60")
	respond(a, "b", http.StatusOK, http.Header{headerIncarnation: {"first"}})
	a.setTargets(nil)
	is.Equal(len(a.current), 1)
	a.setTargets(targets)
	is.True(!a.maySend(a.clock.now(), "a"))
	is.True(a.maySend(a.clock.now(), "b"))
	a.revisionAt(a.clock.now() + 61*time.Second)
	is.True(a.pauses.Empty())
}

// Guards against a pool that waits for the weights of targets which all pause, although
// others serve.
func TestActiveVersionFollowsPausedTargets(t *testing.T) {
	is := is.New(t)
	p := newBreakerTestPool("old1", "old2", "new")
	now := p.clock.now()
	p.cfg.ServingFloor, p.model.Version = 0, "2"
	p.applyLoadReport("new", now, now, loadReport{Incarnation: "first", Version: "2"})
	is.Equal(p.activeVersion(), "2")
	pauseTarget(p.announcements, "new", "first", "60")
	pl, err := p.acquire(t.Context(), &dispatchRequest{Account: "a", Weight: 1})
	is.NoErr(err)
	is.True(pl.target != "new")
	is.Equal(p.activeVersion(), "1")
}

// Guards against a target that is kept out of use by Retry-After in other answers than a
// refusal with 503, such as one to a caller over its rate.
func TestOnlyUnavailabilityIsAPause(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusTooManyRequests, http.StatusBadGateway} {
		is := is.New(t)
		a := newAnnouncements(newClock())
		respond(a, "a", status, http.Header{headerRetryAfter: {"60"}})
		is.True(a.maySend(a.clock.now(), "a"))
	}
}

// Guards against log lines of a pause that do not name the caller's request.
func TestRequestOfAttempt(t *testing.T) {
	is := is.New(t)
	req := httptest.NewRequest(http.MethodPost, "http://a/v1/completions", nil)
	req.Header.Set(headerRequestID, "request.0")
	is.Equal(requestOf(req), "request")
	is.Equal(requestOf(httptest.NewRequest(http.MethodGet, "http://a"+streamsPath+"request.12", nil)), "request")
	is.Equal(requestOf(httptest.NewRequest(http.MethodGet, "http://a/load", nil)), "")
}
