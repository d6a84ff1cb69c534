// Package feedturn decides when an instance reads a feed of the platform's store
// itself instead of relying on its peers.
//
// Calls to the store are charged for, and their rate is limited over the whole
// fleet. If each of the sixty instances of a fleet read what one could pass on, the
// calls would cost more than the instances' processors. So one instance, the
// reader, reads a feed and the others get it from their peers. Their copies become
// stale if the reader dies, is partitioned from them or is refused by the store.
// Then one instance of each failure domain, the standby, reads the feed itself, and
// if that does not help, soon afterwards every instance does.
//
// The package is pure.
package feedturn

import (
	"math/rand/v2"
	"time"

	"github.com/mastictray/mastictray/internal/hubs"
)

// Settings holds the settings of one feed.
type Settings struct {
	// StalenessBound is the time within which every instance must know of a change
	// in the feed.
	StalenessBound time.Duration
	// ReadInterval is the pause between two reads by the reader; 0 for a feed whose
	// reads wait for new records (long polling).
	ReadInterval time.Duration
}

const (
	// standbyFraction is the staleness, as a fraction of the bound, at which a
	// standby reads. It is longer than the reader's interval plus the time in which
	// what it read reaches all instances.
	standbyFraction = 0.42
	// followerFraction is the same for all other instances. It leaves enough time
	// to complete a read within the bound.
	followerFraction = 0.5
	// minRetryDelay is the mean delay after a failed read in a small fleet.
	minRetryDelay = 200 * time.Millisecond
	// retryDelayPerInstance sets the mean delay in a large fleet. During an outage
	// of the store the calls of all instances fail, failed calls count towards the
	// rate limit too, and a single successful call serves all instances.
	retryDelayPerInstance = 60 * time.Millisecond
	// maxRecheckInterval bounds the time between two calls of Next, since the
	// reader may leave at any time.
	maxRecheckInterval = 200 * time.Millisecond
)

// View is the state of the fleet and of the feed's local copy that Next depends on.
type View struct {
	// Reader is set if this instance reads the feed for the fleet, Standby if it is
	// the first of its failure domain to read when the copies become stale.
	Reader, Standby bool
	// KnownUpTo is the time up to which this instance knows all changes in the feed.
	// Known is false until it has a first copy.
	KnownUpTo time.Duration
	Known     bool
	// NotBefore delays the first read of an instance without a copy, so that it can
	// get one from a peer instead.
	NotBefore time.Duration
	// FleetSize is the number of instances.
	FleetSize int
}

// Scheduler schedules the reads of one feed by one instance. It is not safe for
// concurrent use.
type Scheduler struct {
	settings Settings
	// notBefore is the end of the pause after the last read.
	notBefore      time.Duration
	lastReadFailed bool
}

// New returns the scheduler of a feed.
func New(settings Settings) *Scheduler { return &Scheduler{settings: settings} }

// Next reports whether to read the feed now and, if not, how long to wait before
// calling Next again.
func (s *Scheduler) Next(now time.Duration, v View) (read bool, wait time.Duration) {
	due := s.notBefore
	if !v.Known {
		due = max(due, v.NotBefore)
	}
	if v.Known && !(v.Reader && !s.lastReadFailed) {
		fraction := followerFraction
		if v.Standby && !s.lastReadFailed {
			fraction = standbyFraction
		}
		due = max(due, v.KnownUpTo+time.Duration(fraction*float64(s.settings.StalenessBound)))
	}
	if now >= due {
		return true, 0
	}
	return false, min(due-now, maxRecheckInterval)
}

// ReadSucceeded records a successful read.
func (s *Scheduler) ReadSucceeded(now time.Duration) {
	s.notBefore, s.lastReadFailed = now+s.settings.ReadInterval, false
}

// ReadFailed records a failed read.
func (s *Scheduler) ReadFailed(now time.Duration, fleetSize int, rng *rand.Rand) {
	s.notBefore, s.lastReadFailed = now+RetryDelay(fleetSize, rng), true
}

// RetryDelay returns the delay after a failed call to the store in a fleet of the
// given size. It is random, so that instances that failed at the same time do not
// retry at the same time.
func RetryDelay(fleetSize int, rng *rand.Rand) time.Duration {
	mean := max(minRetryDelay, retryDelayPerInstance*time.Duration(fleetSize))
	return mean/2 + time.Duration(rng.Int64N(int64(mean)))
}

// LastReadFailed reports whether the last read failed, in which case another
// instance should be the reader.
func (s *Scheduler) LastReadFailed() bool { return s.lastReadFailed }

// KnownUpTo returns the time up to which an answer includes all changes in the feed.
// A read that waits for new records and returns none after its full wait was
// answered at the end of that wait, so nothing was written until then. In all other
// cases only the time at which the read was sent is certain: the answer may have been
// made at the start of the wait.
func KnownUpTo(sent, answered, wait time.Duration, hasRecords bool) time.Duration {
	if !hasRecords && answered >= sent+wait {
		return sent + wait
	}
	return sent
}

// Peer is another instance as a candidate for the reader.
type Peer struct {
	hubs.Instance
	// StoreUnreachable is set if the peer can't reach the store.
	StoreUnreachable bool
}

// IsReader reports whether self precedes, in the order of hubs.Compare, all given
// peers that can reach the store. In a fleet with hubs, the reader is therefore a
// hub.
func IsReader(self hubs.Instance, peers []Peer) bool {
	for _, p := range peers {
		if !p.StoreUnreachable && hubs.Compare(p.Instance, self) < 0 {
			return false
		}
	}
	return true
}
