package crashparts

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against answers that count as sound while their target may still crash on them, and
// against sound ones that are recorded with each event.
func TestAnswerIsSoundOnce(t *testing.T) {
	is := is.New(t)
	var short, long Answer
	is.True(!short.Note(time.Second, false))
	is.True(!short.IsSound())
	is.True(short.Note(time.Second+1, true)) // complete
	is.Equal(short.BegunAt(), time.Second)
	is.True(!long.Note(time.Second, false))
	is.True(!long.Note(time.Second+SoundAfter-1, false))
	is.True(long.Note(time.Second+SoundAfter, false))
	is.True(!long.Note(time.Second+2*SoundAfter, true))
	is.True(long.IsSound())
}
