package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/replica"
	"github.com/mastictray/mastictray/internal/wire"
)

const (
	benchInstances = 195
	benchTargets   = 78
	// benchPrompts is the number of prompts that the fleet sends in one interval of a
	// follower.
	benchPrompts = 100
)

// benchHub is a hub with the tables of all instances of a fleet.
type benchHub struct {
	table   *replica.Table
	origins []*replica.Table
	round   int
}

func newBenchHub() *benchHub {
	s := &benchHub{table: replica.New(wire.Identity{Instance: "hub", Incarnation: "hub"}, time.Hour)}
	for i := range benchInstances {
		id := wire.Identity{
			Instance: fmt.Sprintf("edge-%03d", i), Incarnation: fmt.Sprintf("0197-%03d", i), Address: "10.0.0.1:7600", Domain: fmt.Sprintf("d%d", i%5),
		}
		s.origins = append(s.origins, replica.New(id, time.Hour))
	}
	return s
}

// publishRound publishes one interval's changes of all instances and returns the hub's
// updates since a version.
func (s *benchHub) publishRound(now time.Duration, since uint64) []wire.InstanceUpdate {
	s.round++
	for i, origin := range s.origins {
		target := fmt.Sprintf("t%02d", (i+s.round)%benchTargets)
		for n := i; n < benchPrompts; n += benchInstances {
			origin.AddEvent(wire.InstanceEvent{Prompt: &wire.PrefilledPrompt{Target: target, Born: 1, SharedPieces: []uint64{1, 2, uint64(s.round % 50)}, CachedTokens: 1000}})
		}
		origin.Publish(now, wire.InstanceState{Capacity: 3, ConfigVersion: 2, Loads: map[string]wire.TargetLoad{target: {PendingPromptTokens: 3000, KVCacheTokens: 9000}}},
			map[string]float64{fmt.Sprintf("account-%d", i%19): float64(s.round)})
		s.table.Merge(now, origin.UpdatesSince(now, 0, replica.ScopeFollowers, 0)[:1], false)
	}
	return s.table.UpdatesSince(now, since, replica.ScopeAll, 0)
}

func newBenchGateway() *testGateway {
	var versions []int64
	for range benchTargets {
		versions = append(versions, 2)
	}
	store := &memoryStore{newest: 2, targets: targetsOnVersions(versions...)}
	for i := range store.targets {
		store.targets[i].ID, store.targets[i].StartedMs, store.targets[i].State = fmt.Sprintf("t%02d", i), 1, directory.Ready
	}
	return startTestGateway(store, "edge-self")
}

// BenchmarkFollowerMessage decodes and applies one response of a hub in a large fleet.
func BenchmarkFollowerMessage(b *testing.B) {
	p, s := newBenchGateway(), newBenchHub()
	since := uint64(0)
	b.ReportAllocs()
	for range b.N {
		b.StopTimer()
		updates := s.publishRound(p.clock.Now(), since)
		since = s.table.Cursor().Version
		f, err := wire.NewFrame(1, wire.KindExchange, wire.ExchangeResponse{Updates: updates})
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(f.Body)), "bytes")
		b.StartTimer()
		var answer wire.ExchangeResponse
		if err := f.DecodeBody(&answer); err != nil {
			b.Fatal(err)
		}
		p.peers.mergeUpdates(p.clock.Now(), "hub", answer.Updates, false)
		p.peers.applyToGateway()
	}
}

// BenchmarkHubAnswer builds and encodes one response to a follower.
func BenchmarkHubAnswer(b *testing.B) {
	s := newBenchHub()
	since := uint64(0)
	b.ReportAllocs()
	for range b.N {
		b.StopTimer()
		s.publishRound(time.Second, since)
		b.StartTimer()
		updates := s.table.UpdatesSince(time.Second, since, replica.ScopeAll, 0)
		if _, err := wire.NewFrame(1, wire.KindExchange, wire.ExchangeResponse{Updates: updates}); err != nil {
			b.Fatal(err)
		}
		since = s.table.Cursor().Version
	}
}
