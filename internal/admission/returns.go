package admission

import "time"

const (
	// maxReturns bounds the requests that are remembered as asked to come back.
	maxReturns = 2048
	// returnGrace is for how long after its time a caller that comes back goes ahead.
	returnGrace = 2 * time.Second
	// returnTolerance is how long before its time a caller counts as back in time. Peers
	// learn the time with that error.
	returnTolerance = 200 * time.Millisecond
	// maxUnsentReturns bounds the returns that are told to the peers at once.
	maxUnsentReturns = 16
)

// Return is a refused request that was asked to come back at a time.
type Return struct {
	Fingerprint uint64
	Due         time.Duration
}

// returns remembers the requests that were asked to come back, the oldest first.
type returns struct {
	due   map[uint64]time.Duration
	order []Return
	// unsent are those that peers have not been told yet.
	unsent []Return
}

func newReturns() returns { return returns{due: map[uint64]time.Duration{}} }

func (r *returns) add(now time.Duration, fingerprint uint64, due time.Duration) {
	r.expire(now)
	if _, known := r.due[fingerprint]; known || len(r.order) >= maxReturns {
		return
	}
	r.due[fingerprint] = due
	r.order = append(r.order, Return{fingerprint, due})
}

// find returns when a request was asked to come back.
func (r *returns) find(now time.Duration, fingerprint uint64) (due time.Duration, known bool) {
	due, known = r.due[fingerprint]
	return due, known && now <= due+returnGrace
}

func (r *returns) remove(fingerprint uint64) { delete(r.due, fingerprint) }

// expire forgets the requests whose time has passed, in the order in which they were
// added.
func (r *returns) expire(now time.Duration) {
	n := 0
	for n < len(r.order) && now > r.order[n].Due+returnGrace {
		if p := r.order[n]; r.due[p.Fingerprint] == p.Due {
			delete(r.due, p.Fingerprint)
		}
		n++
	}
	r.order = r.order[n:]
}
