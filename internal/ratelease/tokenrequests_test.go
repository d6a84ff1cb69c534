package ratelease

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A new instance issues nothing and has no hints. If it requested tokens only from
// peers known to have some, its first caller would be refused although the
// account is within its rate.
func TestNewInstanceRequestsTokensFromPeersOfUnknownShare(t *testing.T) {
	is := is.New(t)
	l := New(DefaultSettings("a-1"))
	l.SetAccount(0, "acc", 1000, 1000)
	l.SetPeers([]Peer{{ID: "b"}, {ID: "c"}})
	is.True(l.Admit(time.Second, "acc", 100, time.Hour).Waiting)
	is.Equal(len(l.Tick(time.Second).TokenRequests), 2)
}
