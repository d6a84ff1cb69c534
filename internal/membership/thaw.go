package membership

import "time"

// Freshness says whether the view may be relied on.
type Freshness int

// The kinds of freshness.
const (
	// Fresh: the process ran without a pause, or has had news since.
	Fresh Freshness = iota
	// Waiting: the process was paused and has asked for news; requests wait.
	Waiting
	// Stale: nobody answered in time. The instance is cut off and serves
	// what it knows.
	Stale
)

// thaw notices pauses. A paused process misses departures, withdrawals and
// changes; the first requests after it would run on what it knew before.
type thaw struct {
	gap, wait time.Duration
	last      time.Duration
	started   bool
	// since is the end of the pause; pending until news was asked for after
	// it and has come.
	since   time.Duration
	pending bool
}

// tick returns true when the process was paused.
func (t *thaw) tick(now time.Duration) bool {
	paused := t.started && now-t.last > t.gap
	t.last, t.started = now, true
	if paused {
		t.since, t.pending = now, true
	}
	return paused
}

// news takes an answer to something asked at that time.
func (t *thaw) news(asked time.Duration) {
	if t.pending && asked >= t.since {
		t.pending = false
	}
}

func (t *thaw) freshness(now time.Duration) Freshness {
	switch {
	case !t.pending:
		return Fresh
	case now-t.since < t.wait:
		return Waiting
	}
	return Stale
}
