package entry

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/config"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/targetpause"
)

// headerRetryAfter has the pause that a target asks for, in seconds.
const headerRetryAfter = "Retry-After"

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
}

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
	announced := make(map[string]bool)
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
	if before != "" {
		past := append(a.past[address], before)
		a.past[address] = past[max(0, len(past)-maxPastIncarnations):]
		return p
	}
	now := a.clock.now()
	unnamed := targetProcess{address: address}
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

// empty reports whether nothing that a process has announced holds now.
func (a *announcements) empty(now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pauses.Retain(now, func(targetProcess) bool { return true })
	return a.pauses.Empty()
}

// learn records what a response announces.
func (a *announcements) learn(req *http.Request, resp *http.Response) {
	address, incarnation := req.URL.Host, resp.Header.Get(headerIncarnation)
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(headerRetryAfter) == "" {
		if incarnation != "" {
			a.observeIncarnation(address, incarnation)
		}
		return
	}
	pause, err := targetpause.Parse(resp.Header.Get(headerRetryAfter))
	a.mu.Lock()
	p, name := a.observeLocked(address, incarnation), a.names[address]
	begins := a.pauses.Pause(a.clock.now(), p, pause)
	a.mu.Unlock()
	switch {
	case err != nil:
		logline.Error(err, "target_pause_ignored", "target", name, "address", address, "incarnation", p.incarnation, "request", requestOf(req))
	case begins:
		logline.Info("target_paused", "target", name, "address", address, "incarnation", p.incarnation, "pause", pause, "request", requestOf(req))
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
