package instances

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// An instance leaves, and readers still see it as live until the lag is over: a
// router that relies on the list alone would send requests to it.
func TestChangeIsVisibleAfterLag(t *testing.T) {
	is := is.New(t)
	s := New(time.Second)
	start := time.Unix(100, 0)
	s.Set(start, []Instance{{ID: "a", State: "live"}})
	is.Equal(s.visibleList(start).Instances[0].State, "live") // the first list is visible at once
	s.Set(start.Add(2*time.Second), []Instance{{ID: "a", State: "leaving"}})
	is.Equal(s.visibleList(start.Add(2999 * time.Millisecond)).Instances[0].State, "live")
	is.Equal(s.visibleList(start.Add(3 * time.Second)).Instances[0].State, "leaving")
}
