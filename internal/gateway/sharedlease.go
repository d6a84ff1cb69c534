package gateway

import (
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/orderlease"
)

// sharedLease guards the order lease for concurrent use: orders check it right before
// they are sent.
type sharedLease struct {
	mu     sync.Mutex
	lease  *orderlease.Lease
	readAt time.Duration
	// notBefore is the end of the delay after a failed read.
	notBefore time.Duration
	// takenLogged is set once taking the lease has been logged.
	takenLogged bool
}

func (s *sharedLease) held(now time.Duration) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease.Held(now)
}

// heldRecord returns the record and whether this instance may send orders under it.
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

// readDue reports whether the record has to be read: it is unknown, or another holder
// may have renewed it or be about to lose it.
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

// rereadDue reports whether the record was last read earlier than before and may be
// read now.
func (s *sharedLease) rereadDue(now, before time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now >= s.notBefore && s.readAt < before && !s.lease.IsLastHolder()
}

// handleReadFailure delays the next read by pause.
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

// propose returns the record to write now and marks it as sent.
func (s *sharedLease) propose(now time.Duration) (int64, orderlease.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset, r, ok := s.lease.Propose(now)
	if ok {
		s.lease.MarkSent(now)
	}
	return offset, r, ok
}

func (s *sharedLease) release() (int64, orderlease.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease.Release()
}

// handleWrite records the result of writing a proposed record. It returns true if the
// lease was newly taken.
func (s *sharedLease) handleWrite(now time.Duration, offset int64, r orderlease.Record, written bool, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || !written {
		s.lease.HandleWriteFailure(offset, err == nil)
		s.takenLogged = false
		return false
	}
	s.lease.HandleWritten(now, offset, r)
	newlyTaken := !s.takenLogged
	s.takenLogged = true
	return newlyTaken
}
