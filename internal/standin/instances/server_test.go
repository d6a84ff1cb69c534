package instances

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// An instance leaves. Readers go on seeing it live until the lag is over, so
// a router that trusts the list alone sends work to it.
func TestChangeShowsAfterTheLag(t *testing.T) {
	is := is.New(t)
	s := New(time.Second)
	start := time.Unix(100, 0)
	s.Set(start, []Instance{{ID: "a", State: "live"}})
	is.Equal(s.shown(start).Instances[0].State, "live") // the first list needs no lag
	s.Set(start.Add(2*time.Second), []Instance{{ID: "a", State: "leaving"}})
	is.Equal(s.shown(start.Add(2999 * time.Millisecond)).Instances[0].State, "live")
	is.Equal(s.shown(start.Add(3 * time.Second)).Instances[0].State, "leaving")
}
