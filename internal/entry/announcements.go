package entry

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/config"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/targetleaving"
	"github.com/mastictray/mastictray/internal/targetpause"
)

const (
	// headerRetryAfter has the pause that a target asks for, in seconds.
	headerRetryAfter = "Retry-After"
	// headerLeaving is "1" in the responses of a target that leaves.
	headerLeaving = "X-Target-Leaving"
)

// maxPastIncarnations is the number of earlier incarnations kept per address. Their late
// responses say nothing about the current one.
const maxPastIncarnations = 4

// targetProcess identifies a process that serves as a target. Plain services tell no
// incarnation, so theirs is empty.
type targetProcess struct{ address, incarnation string }

// announcements holds what the targets have announced in their responses. It is kept by
// process rather than by pool or target name, so that it outlasts every configuration.
type announcements struct {
	clock clock

	mu sync.Mutex
	// names has the targets' names by address.
	names map[string]string
	// current has the incarnation of each address, past has the earlier ones.
	current map[string]string
	past    map[string][]string
	pauses  targetpause.Pauses[targetProcess]
	leaving targetleaving.Marks[targetProcess]
	// revision changes with everything that pools read here; runningPauses is how many
	// pauses were running then.
	revision      uint64
	runningPauses int
}

// listedFunc returns whether the instance list shows a target as live, as of which time, and
// false if it does not know the target.
type listedFunc func(target string) (live bool, asOfMillis int64, ok bool)

func newAnnouncements(c clock) *announcements {
	return &announcements{clock: c, names: make(map[string]string), current: make(map[string]string), past: make(map[string][]string)}
}

// setTargets sets the targets of the configuration in force. Of other addresses it keeps what
// still holds: a later configuration may have them again.
func (a *announcements) setTargets(targets []config.Target) {
	a.mu.Lock()
	defer a.mu.Unlock()
	clear(a.names)
	for _, t := range targets {
		a.names[t.Address] = t.Name
	}
	a.revision++
	announced := make(map[string]bool)
	a.leaving.Keys(func(p targetProcess) { announced[p.address] = true })
	a.pauses.Retain(a.clock.now(), func(p targetProcess) bool {
		announced[p.address] = true
		return true
	})
	for address := range a.current {
		if _, configured := a.names[address]; !configured && !announced[address] {
			delete(a.current, address)
			delete(a.past, address)
		}
	}
}

// isTarget reports whether the configuration in force has a target at the address.
func (a *announcements) isTarget(address string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.names[address] != ""
}

// observeIncarnation records the incarnation that a process at the address has stated, and
// returns the process.
func (a *announcements) observeIncarnation(address, incarnation string) targetProcess {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.observeLocked(address, incarnation)
}

// observeLocked is observeIncarnation with a.mu held. What a process announced before its
// incarnation was known passes on to the first incarnation that is observed.
func (a *announcements) observeLocked(address, incarnation string) targetProcess {
	before := a.current[address]
	if incarnation == "" {
		return targetProcess{address, before}
	}
	p := targetProcess{address, incarnation}
	if incarnation == before || slices.Contains(a.past[address], incarnation) {
		return p
	}
	a.current[address] = incarnation
	a.revision++
	if before != "" {
		a.leaving.Forget(targetProcess{address, before})
		past := append(a.past[address], before)
		a.past[address] = past[max(0, len(past)-maxPastIncarnations):]
		return p
	}
	now := a.clock.now()
	unnamed := targetProcess{address: address}
	if a.leaving.Leaving(unnamed) {
		a.leaving.Forget(unnamed)
		a.leaving.Announce(now, a.clock.wallMillis(), p)
	}
	if end, ok := a.pauses.Until(now, unnamed); ok {
		a.pauses.Pause(now, p, end-now)
	}
	return p
}

// pausedUntil returns when the pause of the process at the address ends, and whether one is
// running.
func (a *announcements) pausedUntil(now time.Duration, address string) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.pauses.Until(now, targetProcess{address, a.current[address]})
}

// leavingNow reports whether the process at the address has announced that it leaves.
func (a *announcements) leavingNow(address string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leaving.Leaving(targetProcess{address, a.current[address]})
}

// revisionAt ends what no longer holds and returns a number that changes with everything
// that pools read here.
func (a *announcements) revisionAt(now time.Duration) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	running := 0
	a.pauses.Retain(now, func(targetProcess) bool {
		running++
		return true
	})
	if running != a.runningPauses {
		a.runningPauses = running
		a.revision++
	}
	return a.revision
}

// applyListed applies what the instance list shows. It ends the marks of leaving processes
// without incarnation; those with one hold until there is another one, as long as their
// address is configured.
func (a *announcements) applyListed(listed listedFunc) {
	now := a.clock.now()
	a.mu.Lock()
	var unnamed []targetProcess
	a.leaving.Keys(func(p targetProcess) {
		if p.incarnation == "" {
			unnamed = append(unnamed, p)
		}
	})
	names := make([]string, len(unnamed))
	for i, p := range unnamed {
		names[i] = a.names[p.address]
	}
	a.mu.Unlock()
	for i, p := range unnamed {
		if live, asOf, ok := listed(names[i]); ok {
			a.applyListedTo(p, names[i], live, asOf)
		}
	}
	a.mu.Lock()
	ended := a.leaving.Retain(now, func(p targetProcess) bool { return p.incarnation != "" && a.names[p.address] != "" })
	if len(ended) > 0 {
		a.revision++
	}
	a.mu.Unlock()
	for _, p := range ended {
		logline.Info("target_leaving_ended", "address", p.address, "incarnation", p.incarnation, "why", "limit")
	}
}

// applyListedTo applies what the instance list shows of one process.
func (a *announcements) applyListedTo(p targetProcess, name string, live bool, asOfMillis int64) {
	a.mu.Lock()
	ended := a.leaving.Listed(p, live, asOfMillis)
	if ended {
		a.revision++
	}
	a.mu.Unlock()
	if ended {
		logline.Info("target_leaving_ended", "target", name, "address", p.address, "why", "listed")
	}
}

// learn records what a response announces.
func (a *announcements) learn(req *http.Request, resp *http.Response) {
	address, incarnation := req.URL.Host, resp.Header.Get(headerIncarnation)
	leaves := resp.Header.Get(headerLeaving) == "1"
	pauses := resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(headerRetryAfter) != ""
	if incarnation == "" && !leaves && !pauses {
		return
	}
	a.mu.Lock()
	p, name := a.observeLocked(address, incarnation), a.names[address]
	newlyLeaves := leaves && a.current[address] == p.incarnation && a.leaving.Announce(a.clock.now(), a.clock.wallMillis(), p)
	if newlyLeaves {
		a.revision++
	}
	a.mu.Unlock()
	if newlyLeaves {
		logline.Info("target_leaving", "target", name, "address", address, "incarnation", p.incarnation, "request", requestOf(req))
	}
	if pauses {
		a.learnPause(p, name, req, resp)
	}
}

// learnPause records the pause that a process asks for in a response.
func (a *announcements) learnPause(p targetProcess, name string, req *http.Request, resp *http.Response) {
	pause, err := targetpause.Parse(resp.Header.Get(headerRetryAfter))
	if err != nil {
		logline.Error(err, "target_pause_ignored", "target", name, "address", p.address, "incarnation", p.incarnation, "request", requestOf(req))
		return
	}
	a.mu.Lock()
	begins := a.pauses.Pause(a.clock.now(), p, pause)
	a.revision++
	a.mu.Unlock()
	if begins {
		logline.Info("target_paused", "target", name, "address", p.address, "incarnation", p.incarnation, "pause", pause, "request", requestOf(req))
	}
}

// requestOf returns the id of the caller's request for which a request was sent to a target;
// empty for requests of this instance's own.
func requestOf(req *http.Request) string {
	attempt := req.Header.Get(headerRequestID)
	if attempt == "" {
		attempt, _ = strings.CutPrefix(req.URL.Path, streamsPath)
	}
	if at := strings.LastIndexByte(attempt, '.'); at >= 0 {
		return attempt[:at]
	}
	return ""
}

// follow makes the clients learn from all their responses.
func (a *announcements) follow(clients ...*http.Client) {
	for _, c := range clients {
		c.Transport = &announcementTransport{next: c.Transport, learn: a.learn}
	}
}

// announcementTransport passes each response to learn before its caller gets it.
type announcementTransport struct {
	next  http.RoundTripper
	learn func(*http.Request, *http.Response)
}

// RoundTrip implements http.RoundTripper.
func (t *announcementTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(req)
	if err == nil {
		t.learn(req, resp)
	}
	return resp, err
}

// CloseIdleConnections closes the idle connections of the transport below.
func (t *announcementTransport) CloseIdleConnections() {
	(&http.Client{Transport: t.next}).CloseIdleConnections()
}
