package rate

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// An instance has just started: it mints nothing and has heard of no balance.
// A caller within its rate comes first. The instance asks its peers although it
// knows of none that has tokens; else the caller would be refused.
func TestFreshInstanceAsksPeersItKnowsNothingOf(t *testing.T) {
	is := is.New(t)
	l := New(DefaultSettings("a-1"))
	l.SetAccount(0, "acc", 1000, 1000)
	l.SetPeers([]Peer{{ID: "b"}, {ID: "c"}})
	is.True(l.Admit(time.Second, "acc", 100, time.Hour).Waiting)
	is.Equal(len(l.Tick(time.Second).Asks), 2)
}
