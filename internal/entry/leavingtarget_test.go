package entry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/config"
	"github.com/mastictray/mastictray/internal/platform"
	"github.com/mastictray/mastictray/internal/standin"
	"github.com/mastictray/mastictray/internal/standin/instances"
	"github.com/mastictray/mastictray/internal/targetleaving"
)

// leave makes the target announce in its responses that it leaves.
func (rt *requestTarget) leave(t *testing.T) {
	t.Helper()
	if !rt.faults.Load().Set(standin.Fault{Kind: "leaving"}) {
		t.Fatal("the stand-in does not know the fault")
	}
}

// Guards against a target that gets new requests after a response has announced that it
// leaves, while the instance list still shows it as live.
func TestLeavingTargetGetsNoMoreRequests(t *testing.T) {
	for kind := range testPaths {
		t.Run(kind, func(t *testing.T) {
			is := is.New(t)
			s := startSystem(t, 2)
			leaving := s.targets(kind)[0]
			leaving.leave(t)
			if kind == "model server" {
				waitFor(t, "load report", func() bool { return len(s.rejectedTargets()) > 0 }) // no request is needed
			} else {
				s.sendUntilReached(kind, leaving)
			}
			before := leaving.requests.Load()
			for i := range 100 {
				r := s.send(kind, fmt.Sprint("later ", i))
				is.Equal(r.status, http.StatusOK) // by the other target
				is.Equal(r.header.Get("X-Target-Leaving"), "")
			}
			is.Equal(leaving.requests.Load()-before, int64(0))
		})
	}
}

// Guards against callers that see the announcement, which is meant for instances.
func TestCallersDoNotSeeThatATargetLeaves(t *testing.T) {
	for kind := range testPaths {
		t.Run(kind, func(t *testing.T) {
			is := is.New(t)
			s := startSystem(t, 1)
			s.targets(kind)[0].leave(t)
			for range 3 {
				is.Equal(s.send(kind, "hello").header.Get("X-Target-Leaving"), "")
			}
		})
	}
}

// Guards against requests that wait, or that are sent all the same, while all targets leave,
// and against a restarted target that is not used again.
func TestRequestsAreRefusedAtOnceWhileAllTargetsLeave(t *testing.T) {
	for kind := range testPaths {
		t.Run(kind, func(t *testing.T) {
			is := is.New(t)
			s := startSystem(t, 1)
			target := s.targets(kind)[0]
			target.leave(t)
			s.send(kind, "may be served")
			before := target.requests.Load()
			for range 20 {
				r := s.send(kind, "hello")
				is.Equal(r.status, http.StatusServiceUnavailable)
				is.Equal(r.code, "no_target")
			}
			is.Equal(target.requests.Load(), before)
			if kind == "model server" {
				target.setProcess(newEngineProcess(t))
				waitFor(t, "use of the new incarnation", func() bool { return s.send(kind, "hello").status == http.StatusOK })
			}
		})
	}
}

// Guards against a broken stream that is resumed at a target which has announced in the
// meantime that it leaves.
func TestStreamIsNotResumedAtLeavingTarget(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 2)
	broken, complete := s.startStreamThatBreaks(func(broken *requestTarget) {
		broken.leave(t)
		waitFor(t, "load report", func() bool { return len(s.rejectedTargets()) > 0 })
	})
	is.True(complete)
	is.Equal(broken.resumes.Load(), int64(0))
}

// Guards against a leaving target that loses the requests it runs: they go on there.
func TestStreamGoesOnAtLeavingTarget(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 1)
	release := make(chan struct{})
	goOn := sync.OnceFunc(func() { close(release) })
	defer goOn()
	target := s.engines[0]
	target.setProcess(holdStream(*target.handler.Load(), release), target.faults.Load())
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	before := target.requests.Load()
	complete := make(chan bool, 1)
	go func() { complete <- sendRequest(client, s.caller, "streamed") }()
	waitFor(t, "stream", func() bool { return target.requests.Load() > before })
	target.leave(t)
	waitFor(t, "load report", func() bool { return len(s.rejectedTargets()) > 0 })
	goOn()
	is.True(<-complete)
	is.Equal(target.requests.Load(), before+1)
}

// Guards against a plain service that is out of use for long after a restart: it tells no
// incarnation, so the instance list has to show that it was away and is live again.
func TestPlainServiceIsUsedAgainWhenListed(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 1)
	list := instances.New(0)
	srv := httptest.NewServer(list.Handler())
	t.Cleanup(srv.Close)
	setState := func(state string) {
		list.Set(time.Now(), []instances.Instance{{ID: "s0", Address: s.services[0].address, Domain: "d", Role: "target", State: state}})
	}
	setState("live")
	s.entry = newTestEntry(t, s.logURL)
	s.entry.members.lister = platform.NewHTTPInstances(srv.URL, nil)
	s.caller = s.entry.settings.CallerListen
	t.Cleanup(runEntry(t, s.entry))
	waitForListed := func(want bool, after int64) {
		waitFor(t, fmt.Sprint("list with live ", want), func() bool {
			s.entry.members.mu.Lock()
			defer s.entry.members.mu.Unlock()
			live, asOf, ok := s.entry.members.view.Listed("s0")
			return ok && live == want && asOf > after
		})
	}
	waitFor(t, "service", func() bool { return s.send("plain service", "hello").status == http.StatusOK })
	waitForListed(true, 0)
	s.services[0].leave(t)
	is.Equal(s.send("plain service", "hello").status, http.StatusOK) // it announces it
	before := s.services[0].requests.Load()
	waitForListed(true, time.Now().UnixMilli()) // as the list lags
	is.Equal(s.send("plain service", "hello").status, http.StatusServiceUnavailable)
	setState("leaving")
	waitForListed(false, 0)
	is.Equal(s.send("plain service", "hello").status, http.StatusServiceUnavailable)
	is.Equal(s.services[0].requests.Load(), before)
	is.True(s.services[0].faults.Load().Set(standin.Fault{Kind: standin.KindNone}))
	setState("live")
	waitFor(t, "use of the restarted service", func() bool { return s.send("plain service", "hello").status == http.StatusOK })
}

// announceLeaving makes the instance learn that the process at the address leaves.
func announceLeaving(a *announcements, address, incarnation string) {
	respond(a, address, http.StatusOK, http.Header{headerLeaving: {"1"}, headerIncarnation: {incarnation}})
}

// Guards against isolated requests that run on a leaving target, and against an announcement
// that is forgotten when the instance list still shows the target as live, or with a new
// configuration, also one that moves the target to another pool.
func TestLeavingHoldsForIsolatedRequestsAndNewConfigurations(t *testing.T) {
	is := is.New(t)
	ps := newPools(t.Context(), newClock(), "d", nil)
	model := config.Model{Name: "m", Version: "1", PieceBytes: 1, BytesPerToken: 1}
	targets := []config.Target{{Name: "a", Address: "a"}, {Name: "b", Address: "b"}}
	ps.configurePool(config.Pool{Name: "p", Model: "m", PrefillTokensPerSecond: 1e6}, model, targets, 1)
	p := ps.engine("p")
	reportLoad(p, "a", "first")
	reportLoad(p, "b", "first")
	announceLeaving(ps.announcements, "a", "first")
	check := func(p *enginePool) {
		t.Helper()
		_, err := p.acquireOn("a", &dispatchRequest{Account: "a", Weight: 1})
		is.True(err != nil)
		is.Equal(p.availableTargets(""), []string{"b"})
	}
	check(p)
	ps.setDraining(func(string) bool { return false })
	ps.announcements.applyListed(func(string) (bool, int64, bool) { return true, ps.clock.wallMillis() + 1000, true })
	check(p)
	ps.configurePool(config.Pool{Name: "p", Model: "m", PrefillTokensPerSecond: 2e6}, model, targets, 1)
	check(p)
	ps.configurePool(config.Pool{Name: "other", Model: "m", PrefillTokensPerSecond: 1e6}, model, targets, 1)
	check(ps.engine("other"))
	ps.announcements.setTargets(nil)
	ps.announcements.setTargets(targets)
	check(p)
}

// Guards against an announcement that binds the wrong process: a late response of an ended one
// must not keep its successor out of use, and a restart ends the mark, whichever response
// shows it.
func TestLeavingBelongsToTheIncarnation(t *testing.T) {
	is := is.New(t)
	p := newBreakerTestPool("only")
	announceLeaving(p.announcements, "only", "first")
	is.Equal(len(p.availableTargets("")), 0)
	reportLoad(p, "only", "first")
	is.Equal(len(p.availableTargets("")), 0)
	respond(p.announcements, "only", http.StatusOK, http.Header{headerIncarnation: {"second"}})
	is.Equal(p.availableTargets(""), []string{"only"})
	announceLeaving(p.announcements, "only", "first") // late
	is.True(!p.announcements.leaving.Leaving(targetProcess{"only", "first"}))
	is.Equal(p.availableTargets(""), []string{"only"})
	announceLeaving(p.announcements, "only", "third") // no load report tells of it yet
	is.Equal(len(p.availableTargets("")), 0)
	reportLoad(p, "only", "fourth")
	is.Equal(p.availableTargets(""), []string{"only"})
}

// Guards against an announcement that is lost because the target's incarnation was not known.
func TestLeavingOfUnknownIncarnationPassesToTheFirstObserved(t *testing.T) {
	is := is.New(t)
	a := newAnnouncements(newClock())
	announceLeaving(a, "a", "")
	a.observeIncarnation("a", "first")
	is.True(a.leavingNow("a"))
	a.observeIncarnation("a", "second")
	is.True(!a.leavingNow("a"))
}

// Guards against a plain service that one announcement keeps out of use for good where the
// instance list never shows it as away.
func TestLeavingOfPlainServiceEndsAfterLimit(t *testing.T) {
	is := is.New(t)
	a := newAnnouncements(newClock())
	a.setTargets([]config.Target{{Name: "s", Address: "s"}, {Name: "e", Address: "e"}})
	announceLeaving(a, "s", "")
	announceLeaving(a, "e", "first")
	unknown := func(string) (bool, int64, bool) { return false, 0, false }
	a.applyListed(unknown)
	is.True(a.leavingNow("s"))
	a.clock.start = a.clock.start.Add(-targetleaving.Limit)
	a.applyListed(unknown)
	is.True(!a.leavingNow("s"))
	is.True(a.leavingNow("e")) // its incarnation is still the current one
}

// Guards against a request that is sent to a target which announced that it leaves after it
// was chosen, while the request waited for its last checks.
func TestLeavingIsSeenAfterTheTargetWasChosen(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 2)
	var chosen *requestTarget
	e := s.prepareEntry(func(e *Entry) {
		for _, target := range e.pools.service("s").targets {
			if target.Outstanding > 0 {
				chosen = s.services[int(target.Name[1]-'0')]
				announceLeaving(e.pools.announcements, chosen.address, "")
			}
		}
	})
	resp, err := e.server.sendService(s.newTestCall(e), e.pools.service("s").cfg, nil)
	is.NoErr(err)
	is.Equal(resp.status, http.StatusOK)
	is.True(chosen != nil)
	is.Equal(chosen.requests.Load(), int64(0))
}
