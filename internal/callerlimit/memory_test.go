package callerlimit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/membudget"
)

// Guards against work that grows with the square of a crowd: of those that wait for memory, only the
// first ones for which it suffices try again.
func TestReturnedMemoryWakesWhomItSufficesFor(t *testing.T) {
	for name, c := range map[string]struct {
		waiting  []int64
		returned int64
		woken    []bool
	}{
		"nobody waits":         {nil, 10, nil},
		"exactly one":          {[]int64{10, 10}, 10, []bool{true, false}},
		"several":              {[]int64{4, 5, 6, 1}, 10, []bool{true, true, false, true}},
		"too little for all":   {[]int64{20, 30}, 10, []bool{true, false}},
		"small behind a large": {[]int64{20, 10}, 10, []bool{false, true}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := NewMemory(96 * megabyte)
			is.True(m.Take(membudget.Requests, c.returned))
			var waiters []*waiter
			for _, n := range c.waiting {
				w := &waiter{bytes: n, returned: make(chan struct{})}
				m.waiters.PushBack(w)
				waiters = append(waiters, w)
			}
			m.Return(membudget.Requests, c.returned)
			for i, w := range waiters {
				woken := false
				select {
				case <-w.returned:
					woken = true
				default:
				}
				is.Equal(woken, c.woken[i])
			}
		})
	}
}

// Guards against memory that is returned to somebody who no longer waits for it.
func TestWaitThatEndsIsForgotten(t *testing.T) {
	is := is.New(t)
	m := NewMemory(96 * megabyte)
	m.awaitReturn(10, time.Nanosecond)
	is.Equal(m.waiters.Len(), 0)
}
