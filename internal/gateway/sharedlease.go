package gateway

import (
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/orderlease"
)

// sharedLease guards the lease: orders look at it right before they are sent.
type sharedLease struct {
	mu     sync.Mutex
	lease  *orderlease.Lease
	readAt time.Duration
	// notBefore is the end of the pause after a read that failed.
	notBefore time.Duration
	// taken is set while the present holding has been logged.
	takenLogged bool
}

func (s *sharedLease) held(now time.Duration) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease.Held(now)
}

// heldRecord is the record while this instance may send orders by it.
func (s *sharedLease) heldRecord(now time.Duration) (orderlease.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, held := s.lease.Held(now)
	return s.lease.Record(), held
}

func (s *sharedLease) validUntil() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease.ValidUntil()
}

func (s *sharedLease) isLastHolder() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease.IsLastHolder()
}

func (s *sharedLease) wasLastKnownHolder() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease.WasLastKnownHolder()
}

// readDue says that the record has to be read: it is not known, or another
// holder's may have been renewed or be about to lapse.
func (s *sharedLease) readDue(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now < s.notBefore {
		return false
	}
	if s.lease.NeedsRead() {
		return true
	}
	_, held := s.lease.Held(now)
	return !held && now-s.readAt > leaseReadInterval
}

// readBefore says that the record was last read before a time, and may be read
// now.
func (s *sharedLease) rereadDue(now, at time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now >= s.notBefore && s.readAt < at && !s.lease.IsLastHolder()
}

// unread takes in a read that failed: the next one waits for the pause.
func (s *sharedLease) handleReadFailure(now, pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notBefore = now + pause
}

func (s *sharedLease) handleRead(now time.Duration, r orderlease.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readAt = now
	s.lease.HandleRead(now, r)
}

// propose gives the record to write now and notes that it is on its way.
func (s *sharedLease) propose(now time.Duration) (int64, orderlease.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, r, ok := s.lease.Propose(now)
	if ok {
		s.lease.MarkSent(now)
	}
	return at, r, ok
}

func (s *sharedLease) release() (int64, orderlease.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease.Release()
}

// wrote takes in what became of a proposed record; true when the lease is new.
func (s *sharedLease) handleWrite(now time.Duration, at int64, r orderlease.Record, written bool, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || !written {
		s.lease.HandleWriteFailure(at, err == nil)
		s.takenLogged = false
		return false
	}
	s.lease.HandleWritten(now, at, r)
	taken := !s.takenLogged
	s.takenLogged = true
	return taken
}
