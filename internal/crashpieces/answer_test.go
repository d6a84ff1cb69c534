package crashpieces

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against answers that count as healthy while their target may still crash on them, and
// against healthy ones that are recorded with each event.
func TestAnswerIsHealthyOnce(t *testing.T) {
	is := is.New(t)
	var short, long Answer
	is.True(!short.Note(time.Second, false))
	is.True(!short.IsHealthy())
	is.True(short.Note(time.Second+1, true)) // complete
	is.Equal(short.BegunAt(), time.Second)
	is.True(!long.Note(time.Second, false))
	is.True(!long.Note(time.Second+HealthyAfter-1, false))
	is.True(long.Note(time.Second+HealthyAfter, false))
	is.True(!long.Note(time.Second+2*HealthyAfter, true))
	is.True(long.IsHealthy())
}
