package callerlimit

import (
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/membudget"
)

// Memory shares a membudget.Budget between goroutines. If it is nil, memory is not bounded.
type Memory struct {
	mu     sync.Mutex
	budget *membudget.Budget
	// returned is closed, and replaced, when memory is returned that somebody waits for.
	returned chan struct{}
	waiting  int
}

// NewMemory returns the budget of an instance with the given memory in bytes; nil for 0. Nothing is
// kept for the unused classes.
func NewMemory(bytes int64, unused ...membudget.Class) *Memory {
	if bytes == 0 {
		return nil
	}
	return &Memory{budget: membudget.New(bytes, unused...), returned: make(chan struct{})}
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
	if m.waiting > 0 {
		close(m.returned)
		m.returned, m.waiting = make(chan struct{}), 0
	}
}

// awaitReturn waits until memory is returned, or for the given time.
func (m *Memory) awaitReturn(timeout time.Duration) {
	m.mu.Lock()
	returned := m.returned
	m.waiting++
	m.mu.Unlock()
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-returned:
	case <-t.C:
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
