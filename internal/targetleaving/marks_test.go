package targetleaving

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a mark that ends too early, because a list that lags still shows the last
// restart, or that does not end after a restart.
func TestMarkEndsWhenListedAsAwayAndThenLive(t *testing.T) {
	is := is.New(t)
	var m Marks[string]
	is.True(m.Announce(0, 1000, "a"))
	is.True(!m.Announce(0, 1000, "a"))
	is.True(!m.Listed("a", false, 900)) // the last restart
	is.True(!m.Listed("a", true, 950))
	is.True(!m.Listed("a", true, 1100)) // the list does not know yet that it leaves
	is.True(!m.Listed("a", false, 1200))
	is.True(!m.Listed("a", true, 1150)) // an older list, from another source
	is.True(m.Leaving("a"))
	is.True(m.Listed("a", true, 1300))
	is.True(!m.Leaving("a"))
	is.True(!m.Listed("b", true, 1300))
}

// Guards against a second announcement that the list's state before it ends.
func TestNewAnnouncementBeginsAnew(t *testing.T) {
	is := is.New(t)
	var m Marks[string]
	m.Announce(0, 1000, "a")
	m.Listed("a", false, 1200)
	m.Announce(time.Second, 2000, "a")
	is.True(!m.Listed("a", true, 2100))
	is.True(m.Leaving("a"))
}

// Guards against a target that one announcement keeps out of use for good.
func TestMarkEndsAfterLimit(t *testing.T) {
	is := is.New(t)
	var m Marks[string]
	m.Announce(0, 0, "plain")
	m.Announce(0, 0, "kept")
	keep := func(k string) bool { return k == "kept" }
	is.Equal(len(m.Retain(Limit-1, keep)), 0)
	is.Equal(m.Retain(Limit, keep), []string{"plain"})
	is.True(!m.Leaving("plain"))
	is.True(m.Leaving("kept"))
	m.Forget("kept")
	is.True(!m.Leaving("kept"))
}
