package membership

import "time"

// Freshness states whether requests may rely on the view.
type Freshness int

// Values of Freshness.
const (
	// Fresh: the process was not paused, or has received new information since.
	Fresh Freshness = iota
	// Waiting: the process was paused and has requested new information, for which
	// requests have to wait.
	Waiting
	// Stale: there was no response in time. The instance is partitioned and serves
	// by its old view.
	Stale
)

// pauseDetector detects pauses of the process. A paused process misses departures,
// withdrawals and changes; without a refresh, the first requests after the pause would
// be served by the old view.
type pauseDetector struct {
	gap, refreshTimeout time.Duration
	last                time.Duration
	started             bool
	// resumedAt is the end of the last pause. refreshPending is set until information
	// requested after it has arrived.
	resumedAt      time.Duration
	refreshPending bool
}

// tick advances the time and reports whether the process was paused before.
func (d *pauseDetector) tick(now time.Duration) bool {
	paused := d.started && now-d.last > d.gap
	d.last, d.started = now, true
	if paused {
		d.resumedAt, d.refreshPending = now, true
	}
	return paused
}

// refreshed records a response to a request that was sent at requestedAt.
func (d *pauseDetector) refreshed(requestedAt time.Duration) {
	if d.refreshPending && requestedAt >= d.resumedAt {
		d.refreshPending = false
	}
}

func (d *pauseDetector) freshness(now time.Duration) Freshness {
	switch {
	case !d.refreshPending:
		return Fresh
	case now-d.resumedAt < d.refreshTimeout:
		return Waiting
	}
	return Stale
}
