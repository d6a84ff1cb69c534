package ratelease

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A slot that was never held starts with its burst: a caller that spends its
// burst right after the first start of a fleet is within its rate and must be
// admitted. A slot that was held before starts empty: its former holder may just
// have spent the burst, and both together would exceed it.
func TestOnlyNeverHeldSlotStartsWithItsBurst(t *testing.T) {
	for name, c := range map[string]struct {
		neverHeld bool
	}{"never held": {true}, "held before": {false}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := New(DefaultSettings("a-1"))
			l.SetAccount(0, "acc", 0.001, 1000)
			alloc := Allocation{Name: "mint/d/0", StartFull: c.neverHeld, Fraction: 1, Until: time.Hour}
			l.SetAllocations(0, []Allocation{alloc})
			issueStart := l.settings.issueDelay()
			o := l.Admit(issueStart, "acc", 900, issueStart)
			is.Equal(o.Err == nil && !o.Waiting, c.neverHeld)

			// Setting the same allocation again, as each renewal does, adds nothing.
			l.SetAllocations(issueStart+time.Second, []Allocation{alloc})
			again := l.Admit(issueStart+time.Second, "acc", 900, issueStart+time.Second)
			is.True(again.Err != nil || again.Waiting)
		})
	}
}
