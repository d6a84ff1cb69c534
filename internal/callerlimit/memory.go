package callerlimit

import (
	"container/list"
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/membudget"
)

// Memory shares a membudget.Budget between goroutines. If it is nil, memory is not bounded.
type Memory struct {
	mu     sync.Mutex
	budget *membudget.Budget
	// waiters are those that wait for memory, as *waiter, the longest-waiting first.
	waiters list.List
}

// waiter waits for memory to be returned.
type waiter struct {
	bytes    int64
	returned chan struct{}
}

// NewMemory returns the budget of an instance with the given memory in bytes; nil for 0. Nothing is
// kept for the unused classes.
func NewMemory(bytes int64, unused ...membudget.Class) *Memory {
	if bytes == 0 {
		return nil
	}
	return &Memory{budget: membudget.New(bytes, unused...)}
}

// Take charges bytes to a class if it may use them, and reports whether it did.
func (m *Memory) Take(c membudget.Class, n int64) bool {
	if m == nil {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Take(c, n)
}

// HoldsBody reports whether one request with a body of the given size and number of copies fits.
func (m *Memory) HoldsBody(size, copies int64) bool {
	if m == nil {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	n := RequestBytes + size*copies
	fits := m.budget.TakeLarge(membudget.Requests, n)
	if fits {
		m.budget.Return(membudget.Requests, n)
	}
	return fits
}

// takeLarge is Take for the part of a body beyond a small one.
func (m *Memory) takeLarge(c membudget.Class, n int64) bool {
	if m == nil {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.TakeLarge(c, n)
}

// charge charges bytes to a class in any case.
func (m *Memory) charge(c membudget.Class, n int64) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Charge(c, n)
}

// Return ends a charge.
func (m *Memory) Return(c membudget.Class, n int64) {
	if m == nil || n == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Return(c, n)
	m.wakeLocked(n)
}

// maxWaitersSeen bounds the waiters that are considered each time when memory is returned.
const maxWaitersSeen = 64

// wakeLocked wakes those for whom n bytes suffice together, or the first one if they suffice for none.
// If all were woken each time, the work of a crowd would grow with the square of its size. The caller
// holds m.mu.
func (m *Memory) wakeLocked(n int64) {
	first, woken := m.waiters.Front(), false
	for e, seen := first, 0; e != nil && seen < maxWaitersSeen; seen++ {
		w, next := e.Value.(*waiter), e.Next()
		if w.bytes <= n {
			n -= w.bytes
			m.wakeOneLocked(e)
			woken = true
		}
		e = next
	}
	if first != nil && !woken {
		m.wakeOneLocked(first)
	}
}

func (m *Memory) wakeOneLocked(e *list.Element) {
	close(m.waiters.Remove(e).(*waiter).returned)
}

// awaitReturn waits until memory is returned for somebody who needs so many bytes, or for the given
// time.
func (m *Memory) awaitReturn(bytes int64, timeout time.Duration) {
	w := &waiter{bytes: bytes, returned: make(chan struct{})}
	m.mu.Lock()
	e := m.waiters.PushBack(w)
	m.mu.Unlock()
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-w.returned:
	case <-t.C:
		m.mu.Lock()
		defer m.mu.Unlock()
		m.waiters.Remove(e) // no effect if it has just been woken
	}
}

// MemoryUse is the use of a Memory, in bytes.
type MemoryUse struct {
	// Total is the budget, Peak the most that was used at a time.
	Total, Peak int64
	// Used is the use of each class.
	Used map[membudget.Class]int64
}

// Use returns the present use.
func (m *Memory) Use() MemoryUse {
	u := MemoryUse{Used: map[membudget.Class]int64{}}
	if m == nil {
		return u
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	u.Total, u.Peak = m.budget.Total(), m.budget.Peak()
	for _, c := range membudget.Classes() {
		u.Used[c] = m.budget.Used(c)
	}
	return u
}
