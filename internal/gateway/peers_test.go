package gateway

import (
	"testing"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/wire"
)

// Guards against several instances that each probe a blocked piece, and crash a target with it,
// because none of their peers reaches the store.
func TestOnlyOneInstanceProbesWhileTheStoreIsDown(t *testing.T) {
	is := is.New(t)
	p := startTestGateway(&memoryStore{newest: 2, targets: targetsOnVersions(2)}, "b")
	now := p.clock.Now()
	for _, name := range []string{"a", "c"} {
		s := newPeerState(now, Announced{Announcement: Announcement{Instance: name, Domain: p.self.Domain}})
		s.updatedAt, s.state = now, wire.InstanceState{StoreUnreachable: true}
		p.peers.known[name] = s
	}
	is.True(!p.peers.isFirstReporting())
	is.Equal(p.peers.rank(), 0) // it reads the store itself, though
	p.peers.known["a"].state.Leaving = true
	is.True(p.peers.isFirstReporting())
}

// Guards against each instance of a fleet of sixty losing requests at a target without
// power until it notices by itself: two reports make the others stop sending. A single
// instance with a broken link must not exclude a target for all.
func TestSilentTargetsNeedSeveralReports(t *testing.T) {
	is := is.New(t)
	is.Equal(confirmedSilent(map[string]int{"t": 1}, 5), []string(nil))
	is.Equal(confirmedSilent(map[string]int{"t": 2}, 5), []string{"t"})
	is.Equal(confirmedSilent(map[string]int{"t": 3}, 60), []string(nil))
	is.Equal(confirmedSilent(map[string]int{"t": 4}, 60), []string{"t"})
}
