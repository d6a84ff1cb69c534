package weights

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Two instances write down the same version, one of them late: it was
// suspended. The later time would let replaced weights serve for longer, so
// what is recorded stays.
func TestRecordedNamingsStay(t *testing.T) {
	is := is.New(t)
	at := func(s int64) time.Time { return time.Unix(s, 0) }
	n := Namings{List: []Naming{{"m", 2, at(20)}, {"m", 3, at(30)}}}
	list := n.With([]Naming{{"m", 3, at(38)}, {"m", 4, at(39)}, {"other", 1, at(5)}}, 8)
	is.Equal(list, []Naming{{"m", 4, at(39)}, {"m", 3, at(30)}, {"m", 2, at(20)}, {"other", 1, at(5)}})
	is.Equal(n.With([]Naming{{"m", 4, at(39)}}, 2), []Naming{{"m", 4, at(39)}, {"m", 3, at(30)}})
	is.Equal(len(n.List), 2) // the record itself is as it was
	is.True(n.Has("m", 3))
	is.True(!n.Has("other", 3))
}
