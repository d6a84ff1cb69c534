package weights

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Two instances write down the same version, one of them late: it was
// suspended. The later time would let replaced weights serve for longer, so
// what is recorded stays, unless it is an estimate and the other one knows.
func TestRecordedNamingsStay(t *testing.T) {
	is := is.New(t)
	naming := func(model string, version, at int64) Naming {
		return Naming{Model: model, Version: version, At: time.Unix(at, 0)}
	}
	estimate := func(v Naming) Naming { v.Estimate = true; return v }
	n := Namings{List: []Naming{naming("m", 2, 20), naming("m", 3, 30)}}
	list := n.With([]Naming{naming("m", 3, 38), naming("m", 4, 39), naming("other", 1, 5)}, 8)
	is.Equal(list, []Naming{naming("m", 4, 39), naming("m", 3, 30), naming("m", 2, 20), naming("other", 1, 5)})
	is.Equal(n.With([]Naming{naming("m", 4, 39)}, 2), []Naming{naming("m", 4, 39), naming("m", 3, 30)})
	is.Equal(len(n.List), 2) // the record itself is as it was
	is.True(n.Has(naming("m", 3, 0)))
	is.True(n.Has(estimate(naming("m", 3, 0))))
	is.True(!n.Has(naming("other", 3, 0)))

	late := Namings{List: []Naming{estimate(naming("m", 3, 38))}}
	is.True(!late.Has(naming("m", 3, 0)))
	is.Equal(late.With([]Naming{naming("m", 3, 30)}, 8), []Naming{naming("m", 3, 30)})
	is.Equal(late.With([]Naming{estimate(naming("m", 3, 30))}, 8), late.List)
}
