package admission

import "time"

const (
	// maxReturns bounds the requests that are remembered as asked to come back.
	maxReturns = 2048
	// returnGrace is for how long after its time a caller that comes back goes ahead.
	returnGrace = 2 * time.Second
)

// returns remembers the requests that were asked to come back, the oldest first.
type returns struct {
	due   map[uint64]time.Duration
	order []pendingReturn
}

type pendingReturn struct {
	fingerprint uint64
	due         time.Duration
}

func newReturns() returns { return returns{due: map[uint64]time.Duration{}} }

func (r *returns) add(now time.Duration, fingerprint uint64, due time.Duration) {
	r.expire(now)
	if _, known := r.due[fingerprint]; known || len(r.order) >= maxReturns {
		return
	}
	r.due[fingerprint] = due
	r.order = append(r.order, pendingReturn{fingerprint, due})
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
	for n < len(r.order) && now > r.order[n].due+returnGrace {
		if p := r.order[n]; r.due[p.fingerprint] == p.due {
			delete(r.due, p.fingerprint)
		}
		n++
	}
	r.order = r.order[n:]
}
