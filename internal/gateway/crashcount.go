package gateway

import (
	"context"
	"io"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/logline"
)

const (
	// maxCrashes is the number of targets at which a request lost its connection, over all
	// repeats of it and all instances, at which the request is refused. Two can be a
	// coincidence, because every request at a target fails when the target crashes. The
	// third means that the request itself crashes its targets.
	maxCrashes = 3
	// crashRetention is how long a request's crashes are remembered after the last one.
	crashRetention = 60 * time.Second
	// maxTrackedRequests is the number of requests with crashes at which expired ones are
	// removed.
	maxTrackedRequests = 4096
)

// crashCounts counts the targets at which requests lost their connections, by request
// fingerprint. Otherwise a request that crashes every target that runs it would take down
// one target after another as its caller repeats it.
type crashCounts struct {
	byRequest map[uint64]crashCount
	// unreported lists the crashes seen by this instance since its last update to the
	// peers.
	unreported []crash
}

// crash is a request that lost its connection to an incarnation of a target.
type crash struct {
	fingerprint uint64
	// target is the hash of the incarnation.
	target uint64
}

type crashCount struct {
	// targets are those that count: the end of one of them ends all equal requests there, but says
	// only once that such a request may be its cause.
	targets []uint64
	lastAt  time.Duration
}

func crashOf(fingerprint uint64, id directory.Incarnation) crash {
	return crash{fingerprint, xxhash.Sum64String(id.ID + "/" + strconv.FormatInt(id.StartedMs, 10))}
}

func newCrashCounts() crashCounts { return crashCounts{byRequest: map[uint64]crashCount{}} }

// add counts a crash of a request, and returns the request's count and whether the target is a
// further one.
func (s *crashCounts) add(now time.Duration, c crash) (count int, isNew bool) {
	if len(s.byRequest) >= maxTrackedRequests {
		s.expire(now)
	}
	entry := s.byRequest[c.fingerprint]
	if now-entry.lastAt > crashRetention {
		entry.targets = nil
	}
	isNew = !slices.Contains(entry.targets, c.target)
	if isNew && len(entry.targets) < maxCrashes {
		entry.targets = append(entry.targets, c.target)
	}
	entry.lastAt = now
	s.byRequest[c.fingerprint] = entry
	return len(entry.targets), isNew
}

// expire removes the requests whose last crash is older than crashRetention.
func (s *crashCounts) expire(now time.Duration) {
	for f, entry := range s.byRequest {
		if now-entry.lastAt > crashRetention {
			delete(s.byRequest, f)
		}
	}
}

// isBlocked reports whether the request must be refused.
func (s *crashCounts) isBlocked(now time.Duration, fingerprint uint64) bool {
	entry := s.byRequest[fingerprint]
	return len(entry.targets) >= maxCrashes && now-entry.lastAt <= crashRetention
}

// requestFingerprint identifies the repeats of a request: those with the same account,
// method, host, URI and body.
func requestFingerprint(c *call) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{accountName(c), c.Method, c.Host, c.URI} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(c.Body)
	return d.Sum64()
}

// recordCrash counts an attempt if its connection was lost, so that the target could not
// state why it failed. Targets cut off responses that remain unread, which doesn't count.
func (g *Gateway) recordCrash(ctx context.Context, c *call, a *targetAttempt, relay *responseRelay, result outcome, err error) {
	if ctx.Err() != nil || err == nil || c.callerPaused || result != outcomeUnknown && result != outcomeTruncated || !connectionLost(err) {
		return
	}
	g.pieces.Lost(g.clock.Now(), a.target.ID, &a.answer, piecesOf(c))
	g.mu.Lock()
	defer g.mu.Unlock()
	lost := crashOf(c.fingerprint, a.target.Incarnation())
	n, isNew := g.crashes.add(g.clock.Now(), lost)
	if isNew {
		g.crashes.unreported = append(g.crashes.unreported, lost)
	}
	logline.Info("crash_counted", "request", c.ID, "target", c.lastTarget, "crashes", n, "of", maxCrashes,
		"shared_pieces", pieceTexts(piecesOf(c)), "events", relay.eventCount, "ran", g.clock.Now()-c.placedAt)
}

// connectionLost reports whether an attempt failed because its connection was lost, as when
// a target crashes, and not because of a deadline or a malformed response.
func connectionLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
