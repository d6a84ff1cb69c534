package gateway

import (
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/orderlease"
)

// sharedLease guards the lease: orders look at it right before they are sent.
type sharedLease struct {
	mu     sync.Mutex
	l      *orderlease.Lease
	readAt time.Duration
	// notBefore is the end of the pause after a read that failed.
	notBefore time.Duration
	// taken is set while the present holding has been logged.
	taken bool
}

func (s *sharedLease) held(now time.Duration) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.l.Held(now)
}

// heldRecord is the record while this instance may send orders by it.
func (s *sharedLease) heldRecord(now time.Duration) (orderlease.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, held := s.l.Held(now)
	return s.l.Record(), held
}

func (s *sharedLease) until() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.l.ValidUntil()
}

func (s *sharedLease) heldLast() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.l.IsLastHolder()
}

func (s *sharedLease) wasHolder() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.l.WasLastKnownHolder()
}

// readDue says that the record has to be read: it is not known, or another
// holder's may have been renewed or be about to lapse.
func (s *sharedLease) readDue(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now < s.notBefore {
		return false
	}
	if s.l.NeedsRead() {
		return true
	}
	_, held := s.l.Held(now)
	return !held && now-s.readAt > leaseReadEvery
}

// readBefore says that the record was last read before a time, and may be read
// now.
func (s *sharedLease) readBefore(now, at time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now >= s.notBefore && s.readAt < at && !s.l.IsLastHolder()
}

// unread takes in a read that failed: the next one waits for the pause.
func (s *sharedLease) unread(now, pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notBefore = now + pause
}

func (s *sharedLease) read(now time.Duration, r orderlease.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readAt = now
	s.l.HandleRead(now, r)
}

// propose gives the record to write now and notes that it is on its way.
func (s *sharedLease) propose(now time.Duration) (int64, orderlease.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, r, ok := s.l.Propose(now)
	if ok {
		s.l.MarkSent(now)
	}
	return at, r, ok
}

func (s *sharedLease) release() (int64, orderlease.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.l.Release()
}

// wrote takes in what became of a proposed record; true when the lease is new.
func (s *sharedLease) wrote(now time.Duration, at int64, r orderlease.Record, written bool, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || !written {
		s.l.HandleWriteFailure(at, err == nil)
		s.taken = false
		return false
	}
	s.l.HandleWritten(now, at, r)
	taken := !s.taken
	s.taken = true
	return taken
}
