package callerlimit

import (
	"sync"
	"time"
)

const (
	// maxEnding is the number of evicted connections whose goroutines have not ended, above which no
	// connection is accepted. net/http lets the goroutine of a refused request wait for half a second.
	maxEnding = 512
	// endingTimeout bounds the wait for one of them.
	endingTimeout = time.Second
)

// ending counts the evicted connections whose goroutines have not ended. They still hold memory,
// which is not charged.
type ending struct {
	limit int

	mu      sync.Mutex
	changed sync.Cond
	count   int
}

func newEnding(limit int) *ending {
	e := &ending{limit: limit}
	e.changed.L = &e.mu
	return e
}

// add counts a connection that is evicted.
func (e *ending) add() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.count++
}

// remove forgets a connection whose goroutine has ended.
func (e *ending) remove() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.count--
	e.changed.Broadcast()
}

// await waits until there are fewer than the limit. It returns false if that takes too long.
func (e *ending) await(timeout time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.count < e.limit {
		return true
	}
	expired := false
	timer := time.AfterFunc(timeout, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		expired = true
		e.changed.Broadcast()
	})
	defer timer.Stop()
	for e.count >= e.limit && !expired {
		e.changed.Wait()
	}
	return e.count < e.limit
}
