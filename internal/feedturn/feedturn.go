// Package feedturn decides when an instance reads a feed of the platform's
// store by itself.
//
// Calls to the store are limited over the whole fleet and paid for. Where all
// sixty instances of a fleet read what one could pass on, the calls cost more than
// the instances' processors. So one instance reads a feed and the others get it
// from their peers. What they know becomes old when their reader dies, is cut off
// from them, or is turned away by the store. Then one instance of each failure
// domain reads by itself, and a bit later, if that does not help, each one does.
//
// The package is pure.
package feedturn

import (
	"math/rand/v2"
	"time"

	"github.com/mastictray/mastictray/internal/hubs"
)

// Settings of a feed.
type Settings struct {
	// StalenessBound is the time within which news of the feed must be known.
	StalenessBound time.Duration
	// ReadInterval is the pause between two reads of the reader; 0 where a read
	// itself waits for news.
	ReadInterval time.Duration
}

const (
	// standbyShare is the part of the bound after which the first instance of a
	// domain reads by itself: longer than the reader's pause and the way of its
	// news through the fleet.
	standbyShare = 0.42
	// followShare is that part for all others. A read after that fits into the
	// bound.
	followShare = 0.5
	// retryPause is the least pause after a failed read.
	retryPause = 200 * time.Millisecond
	// retryShare lengthens that pause in large fleets, for each instance:
	// while the store is away all of them fail, each failed call is counted
	// too, and one that gets through is passed on to the others.
	retryShare = 60 * time.Millisecond
	// lookEvery is the longest time between two looks, since the reader may
	// leave at any time.
	lookEvery = 200 * time.Millisecond
)

// View is what the decision depends on besides the feed's own past.
type View struct {
	// Reader says that this instance reads for the fleet, Standby that it is the
	// first of its domain to do so when that fails.
	Reader, Standby bool
	// KnownUpTo is the time up to which this instance knows the feed; Known is
	// false before it had it for the first time.
	KnownUpTo time.Duration
	Known     bool
	// NotBefore is until when an instance that has never known the feed leaves the
	// read to others.
	NotBefore time.Duration
	// FleetSize is the number of instances.
	FleetSize int
}

// Scheduler is one instance's turns at a feed. It is not safe for concurrent use.
type Scheduler struct {
	settings Settings
	// notBefore is the end of the pause after a read.
	notBefore time.Duration
	lost      bool
}

// New makes the turns at a feed.
func New(s Settings) *Scheduler { return &Scheduler{settings: s} }

// Next says whether to read now, and else how long to wait before the next
// look.
func (t *Scheduler) Next(now time.Duration, v View) (read bool, wait time.Duration) {
	due := t.notBefore
	if !v.Known {
		due = max(due, v.NotBefore)
	}
	if v.Known && !(v.Reader && !t.lost) {
		share := followShare
		if v.Standby && !t.lost {
			share = standbyShare
		}
		due = max(due, v.KnownUpTo+time.Duration(share*float64(t.settings.StalenessBound)))
	}
	if now >= due {
		return true, 0
	}
	return false, min(due-now, lookEvery)
}

// ReadSucceeded takes in a read that was answered.
func (t *Scheduler) ReadSucceeded(now time.Duration) {
	t.notBefore, t.lost = now+t.settings.ReadInterval, false
}

// ReadFailed takes in a read without an answer.
func (t *Scheduler) ReadFailed(now time.Duration, fleet int, rng *rand.Rand) {
	t.notBefore, t.lost = now+RetryDelay(fleet, rng), true
}

// RetryDelay is the pause after a call that the store did not answer, in a
// fleet of that size. It is drawn, so that instances that fail together do not
// come back together.
func RetryDelay(fleet int, rng *rand.Rand) time.Duration {
	pause := max(retryPause, retryShare*time.Duration(fleet))
	return pause/2 + time.Duration(rng.Int64N(int64(pause)))
}

// LastReadFailed says that the last read failed: another instance should be the reader.
func (t *Scheduler) LastReadFailed() bool { return t.lost }

// KnownUpTo is the time up to which an answer tells of the feed. A read that
// waits for news and ends without any was answered at the end of its wait, so
// nothing was written until then. In all other cases only the time at which it
// was sent is sure.
func KnownUpTo(sent, answered, wait time.Duration, news bool) time.Duration {
	if !news && answered >= sent+wait {
		return sent + wait
	}
	return sent
}

// Peer is another instance, as far as the choice of the reader goes.
type Peer struct {
	hubs.Instance
	// StoreUnreachable says that it does not reach the store.
	StoreUnreachable bool
}

// IsReader says whether the instance is the first of those given, in the order of
// duties, that reach the store. So a reader is a hub, where there are hubs.
func IsReader(self hubs.Instance, peers []Peer) bool {
	for _, p := range peers {
		if !p.StoreUnreachable && hubs.Compare(p.Instance, self) < 0 {
			return false
		}
	}
	return true
}
