package gateway

import (
	"context"
	"io"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/logline"
)

const (
	// maxCrashes is the broken attempts of one request, over all its repeats
	// and all instances, after which it is refused. Two can be chance: a
	// request shares its target's fate. The third means that the request
	// itself crashes what runs it.
	maxCrashes = 3
	// crashRetention is how long crashes are remembered after the last one.
	crashRetention = 60 * time.Second
	// maxTrackedRequests bounds the requests remembered.
	maxTrackedRequests = 4096
)

// crashCounts counts the attempts that broke off, by the request's fingerprint. A
// request that crashes each target that runs it would otherwise take down one
// target after the other as its caller repeats it.
type crashCounts struct {
	byRequest map[uint64]crashCount
	// unreported are the own crashes since the last update to the peers.
	unreported []uint64
}

type crashCount struct {
	count  int
	lastAt time.Duration
}

func newCrashCounts() crashCounts { return crashCounts{byRequest: map[uint64]crashCount{}} }

// add counts a broken attempt.
func (s *crashCounts) add(now time.Duration, fingerprint uint64) int {
	if len(s.byRequest) >= maxTrackedRequests {
		s.expire(now)
	}
	k := s.byRequest[fingerprint]
	k.count, k.lastAt = k.count+1, now
	s.byRequest[fingerprint] = k
	return k.count
}

func (s *crashCounts) expire(now time.Duration) {
	for f, k := range s.byRequest {
		if now-k.lastAt > crashRetention {
			delete(s.byRequest, f)
		}
	}
}

// isBlocked says whether the request is isBlocked.
func (s *crashCounts) isBlocked(now time.Duration, fingerprint uint64) bool {
	k := s.byRequest[fingerprint]
	return k.count >= maxCrashes && now-k.lastAt <= crashRetention
}

// requestFingerprint names a request among its repeats: the same caller, path and
// body.
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

// recordCrash counts an attempt that broke off without the target saying why.
func (g *Gateway) recordCrash(ctx context.Context, c *call, result outcome, err error) {
	if ctx.Err() != nil || err == nil || result != outcomeUnknown && result != outcomeTruncated || !connectionLost(err) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	n := g.crashes.add(g.clock.Now(), c.fingerprint)
	g.crashes.unreported = append(g.crashes.unreported, c.fingerprint)
	logline.Info("crash_counted", "request", c.ID, "target", c.tried, "crashes", n, "of", maxCrashes)
}

// connectionLost says that an attempt ended with its connection, as when its
// target crashed, and not by a deadline or a malformed answer.
func connectionLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
