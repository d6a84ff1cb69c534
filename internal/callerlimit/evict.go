package callerlimit

import (
	"math"
	"time"

	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/membudget"
)

const (
	// maxConsidered is the number of connections among which the one to evict is chosen.
	maxConsidered = 64
	// maxSeen is the number of connections among which those are looked for, maxSeenForNew the same for a
	// new connection: if nearly all wait for answers, it is refused unless one is found that does not.
	maxSeen       = 256
	maxSeenForNew = 4096
)

// leastLocked returns the connection to evict first among those that may be and rank below the
// score of asker with n bytes more; nil if none does. Any that may be is evicted for a nil asker, which
// needs a place, or memory that callers hold who take nothing. Of many connections a random part is
// considered. The caller holds l.mu.
func (l *Limiter) leastLocked(asker *Member, n int64, may func(*Member, time.Duration) bool) (victim *Member) {
	now := l.Now()
	least, seenLimit := math.Inf(1), maxSeenForNew
	if asker != nil {
		least, seenLimit = asker.score(now, n), maxSeen
	}
	seen, considered := 0, 0
	for m := range l.members { // in random order
		if seen++; seen > seenLimit || considered == maxConsidered {
			break
		}
		if m == asker || !may(m, now) {
			continue
		}
		r, ok := m.rank(now)
		if !ok {
			continue
		}
		considered++
		if r < least {
			victim, least = m, r
		}
	}
	return victim
}

// abortLocked closes a connection. What its head is charged is returned once its goroutine has ended,
// which may be in the middle of the head. The caller holds l.mu.
func (l *Limiter) abortLocked(m *Member, shortOf string) {
	l.recordEvictionLocked(m, shortOf)
	delete(l.members, m)
	m.setAborted()
	l.ending.add()
	l.Memory.Return(membudget.Connections, connectionBytes)
	m.socket.Abort()
}

// recordEvictionLocked counts and logs an eviction. The caller holds l.mu.
func (l *Limiter) recordEvictionLocked(m *Member, shortOf string) {
	l.Evicted.Add(1)
	s, held := m.state()
	logline.InfoSampled("caller_evicted", "caller", m.socket.RemoteAddr(), "short_of", shortOf, "stage", s, "body_bytes", held, "connections", len(l.members))
}
