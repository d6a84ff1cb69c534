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
	// maxStrikes is the broken attempts of one request, over all its repeats
	// and all instances, after which it is refused. Two can be chance: a
	// request shares its target's fate. The third means that the request
	// itself crashes what runs it.
	maxStrikes = 3
	// strikeMemory is how long strikes are remembered after the last one.
	strikeMemory = 60 * time.Second
	// maxStruck bounds the requests remembered.
	maxStruck = 4096
)

// strikes counts the attempts that broke off, by the request's fingerprint. A
// request that crashes each target that runs it would otherwise take down one
// target after the other as its caller repeats it.
type strikes struct {
	byRequest map[uint64]strike
	// news are the own strikes since peers were last told.
	news []uint64
}

type strike struct {
	n    int
	last time.Duration
}

func newStrikes() strikes { return strikes{byRequest: map[uint64]strike{}} }

// add counts a broken attempt.
func (s *strikes) add(now time.Duration, fingerprint uint64) int {
	if len(s.byRequest) >= maxStruck {
		s.expire(now)
	}
	k := s.byRequest[fingerprint]
	k.n, k.last = k.n+1, now
	s.byRequest[fingerprint] = k
	return k.n
}

func (s *strikes) expire(now time.Duration) {
	for f, k := range s.byRequest {
		if now-k.last > strikeMemory {
			delete(s.byRequest, f)
		}
	}
}

// barred says whether the request is refused.
func (s *strikes) barred(now time.Duration, fingerprint uint64) bool {
	k := s.byRequest[fingerprint]
	return k.n >= maxStrikes && now-k.last <= strikeMemory
}

// fingerprint names a request among its repeats: the same caller, path and
// body.
func fingerprint(c *call) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{accountName(c), c.Method, c.Host, c.URI} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(c.Body)
	return d.Sum64()
}

// noteCrash counts an attempt that broke off without the target saying why.
func (g *Gateway) noteCrash(ctx context.Context, c *call, result outcome, err error) {
	if ctx.Err() != nil || err == nil || result != unknown && result != broken || !connectionLost(err) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	n := g.strikes.add(g.clock.Now(), c.fingerprint)
	g.strikes.news = append(g.strikes.news, c.fingerprint)
	logline.Info("strike", "request", c.ID, "target", c.tried, "strikes", n, "of", maxStrikes)
}

// connectionLost says that an attempt ended with its connection, as when its
// target crashed, and not by a deadline or a malformed answer.
func connectionLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
