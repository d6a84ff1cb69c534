package rate

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A fleet starts for the first time and a caller spends its burst at once; it
// is within its rate, so it is admitted. A slot that somebody has held before
// begins empty: its former holder may have spent the burst a moment ago, and
// both together would exceed it.
func TestOnlyASlotNobodyHeldBeginsWithItsBurst(t *testing.T) {
	for name, x := range map[string]struct {
		full bool
	}{"never held": {true}, "held before": {false}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := New(DefaultSettings("a-1"))
			l.SetAccount(0, "acc", 0.001, 1000)
			part := Allocation{Name: "mint/d/0", StartFull: x.full, Fraction: 1, Until: time.Hour}
			l.SetAllocations(0, []Allocation{part})
			begun := l.settings.startDelay()
			o := l.Admit(begun, "acc", 900, begun)
			is.Equal(o.Err == nil && !o.Waiting, x.full)

			// The same part again, as at each renewal, gives nothing more.
			l.SetAllocations(begun+time.Second, []Allocation{part})
			again := l.Admit(begun+time.Second, "acc", 900, begun+time.Second)
			is.True(again.Err != nil || again.Waiting)
		})
	}
}
