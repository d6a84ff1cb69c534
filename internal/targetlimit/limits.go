// Package targetlimit keeps what all instances together send to a target within the
// requests a second that the target states it takes.
//
// Instances learn what others have sent some hundred milliseconds late: too late for a
// target that takes one or two requests a second. So the right to send to such a target
// is divided beforehand. All instances take the same few for its senders, by
// rendezvous hashing over the fleet, and each sender has an equal part of the limit; the
// others use other targets. The more a target takes, the more senders it has.
//
// Two instances that see different fleets choose different senders for a while. A new
// sender first waits for as long as the news of it may take to the one that it
// replaces, and begins with nothing saved up.
//
// What a target states is passed on with a number that each change raises, so that the
// last change counts at all instances, also at those that join later.
//
// The package is pure.
package targetlimit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastictray/mastictray/internal/directory"
)

const (
	// sendersPerRequest is the senders of a target for each request a second that it
	// takes. Each may send one request at once after a pause, so that this many are
	// sent together at most.
	sendersPerRequest = 1.5
	// takeoverPause is how long a new sender waits.
	takeoverPause = 1500 * time.Millisecond
	// settleTime is how long after its start an instance that has not found the fleet
	// sends to no limited target.
	settleTime = 7 * time.Second
)

// Report is what is known of a target's limit.
type Report struct {
	Target directory.Incarnation
	// Rate is the requests a second that the target takes; 0 for any number.
	Rate float64
	// Change counts the changes of the limit.
	Change uint64
}

// Limits are the limits of all targets, as one instance sees them. It is not safe for
// concurrent use.
type Limits struct {
	self    string
	fleet   []string
	settled bool
	began   time.Duration
	targets map[directory.Incarnation]*target
}

type target struct {
	Report
	// knownAt is when the last change came here.
	knownAt time.Duration
	// observed is set when an own answer has stated the limit.
	observed bool
	// senders is the number of instances that may send, sends that this is one.
	senders int
	sends   bool
	// tokens is the requests that may be sent at a time.
	tokens float64
	at     time.Duration
}

// New makes the limits of an instance that starts.
func New(now time.Duration, self string) *Limits {
	return &Limits{self: self, began: now, fleet: []string{self}, targets: map[directory.Incarnation]*target{}}
}

// SetFleet takes the names of all instances that may be serving; found says that the
// fleet was looked up since the start. One that leaves is not among them, and sends to
// no limited target any more.
func (l *Limits) SetFleet(now time.Duration, names []string, found bool) {
	settled := found || now-l.began > settleTime
	if settled == l.settled && slices.Equal(names, l.fleet) {
		return
	}
	l.fleet, l.settled = slices.Clone(names), settled
	for _, t := range l.targets {
		l.assign(now, t)
	}
}

// Observe takes in what the answer to a request that was sent at a time states. It says
// whether that is a change. An answer to a request from before the last change may be
// older than that.
func (l *Limits) Observe(now, sent time.Duration, id directory.Incarnation, rate float64) (changed bool) {
	t := l.targets[id]
	switch {
	case t == nil && rate == 0:
		return false
	case t == nil:
		t = &target{Report: Report{Target: id}, at: now}
		l.targets[id] = t
	case t.Rate == rate:
		t.observed = true
		return false
	case sent < t.knownAt:
		return false
	}
	l.change(now, t, Report{Target: id, Rate: rate, Change: t.Change + 1})
	t.observed = true
	return true
}

// Take takes in what another instance reports. Of two changes with the same number the
// stricter counts.
func (l *Limits) Take(now time.Duration, reports []Report) {
	for _, r := range reports {
		t := l.targets[r.Target]
		if t == nil {
			t = &target{at: now}
			l.targets[r.Target] = t
		}
		if r.Change > t.Change || r.Change == t.Change && stricter(r.Rate, t.Rate) {
			l.change(now, t, r)
			t.observed = false
		}
	}
}

func stricter(a, b float64) bool { return a > 0 && (b == 0 || a < b) }

// change puts another limit into force.
func (l *Limits) change(now time.Duration, t *target, r Report) {
	t.advance(now)
	t.Report, t.knownAt = r, now
	l.assign(now, t)
}

// assign chooses the target's senders.
func (l *Limits) assign(now time.Duration, t *target) {
	t.advance(now)
	sent := t.sends
	t.senders = min(len(l.fleet), max(1, int(math.Ceil(sendersPerRequest*t.Rate))))
	t.sends = l.settled && slices.Contains(l.fleet, l.self) && l.rank(t.Target) < t.senders
	if t.sends && !sent {
		t.tokens, t.at = 0, now+takeoverPause
	}
}

// rank is the number of instances that come before this one in the order of a target's
// senders.
func (l *Limits) rank(id directory.Incarnation) int {
	own, n := weight(id, l.self), 0
	for _, name := range l.fleet {
		w := weight(id, name)
		if w > own || w == own && name < l.self {
			n++
		}
	}
	return n
}

func weight(id directory.Incarnation, name string) uint64 {
	return xxhash.Sum64String(id.ID + "/" + name)
}

// advance adds the part of the limit of the time that has gone by. A request more than
// one is not saved up.
func (t *target) advance(now time.Duration) {
	if now <= t.at {
		return
	}
	if t.sends {
		t.tokens = min(1, t.tokens+t.Rate/float64(t.senders)*(now-t.at).Seconds())
	}
	t.at = now
}

// Limited lists the targets that state a limit, and whether this instance may send each
// of them a request now. It is one request: the next one is to ask again.
func (l *Limits) Limited(now time.Duration) (open map[directory.Incarnation]bool) {
	for id, t := range l.targets {
		if t.Rate == 0 {
			continue
		}
		if open == nil {
			open = map[directory.Incarnation]bool{}
		}
		open[id] = t.open(now)
	}
	return open
}

// Open says whether this instance may send a request to a target now.
func (l *Limits) Open(now time.Duration, id directory.Incarnation) bool {
	t := l.targets[id]
	return t == nil || t.open(now)
}

func (t *target) open(now time.Duration) bool {
	if t.Rate == 0 {
		return true
	}
	t.advance(now)
	return t.sends && t.tokens >= 1
}

// Sent takes in that a request goes to a target.
func (l *Limits) Sent(now time.Duration, id directory.Incarnation) {
	if t := l.targets[id]; t != nil && t.Rate > 0 {
		t.advance(now)
		t.tokens--
	}
}

// Reports are what this instance is to pass on: of the targets that it sends to, so that
// instances that join learn of them, and of those whose answers it has seen.
func (l *Limits) Reports() []Report {
	var out []Report
	for _, t := range l.targets {
		if t.observed || t.sends {
			out = append(out, t.Report)
		}
	}
	slices.SortFunc(out, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Target.ID, b.Target.ID), cmp.Compare(a.Target.StartedMs, b.Target.StartedMs))
	})
	return out
}

// Keep forgets the targets that are gone.
func (l *Limits) Keep(there func(directory.Incarnation) bool) {
	for id := range l.targets {
		if !there(id) {
			delete(l.targets, id)
		}
	}
}
