package feedturn

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/hubs"
)

const (
	ms    = time.Millisecond
	bound = 2 * time.Second
)

func newScheduler() (*Scheduler, *rand.Rand) {
	return New(Settings{StalenessBound: bound, ReadInterval: 700 * ms}), rand.New(rand.NewPCG(1, 1))
}

func (s *Scheduler) readsNow(now time.Duration, v View) bool {
	read, _ := s.Next(now, v)
	return read
}

func TestReaderReadsAtInterval(t *testing.T) {
	is := is.New(t)
	s, _ := newScheduler()
	is.True(s.readsNow(0, View{Reader: true}))
	s.ReadSucceeded(0)
	v := View{Reader: true, Known: true}
	is.True(!s.readsNow(600*ms, v))
	is.True(s.readsNow(700*ms, v))
}

// The reader fails and the other instances get no more updates from it. Each reads
// the feed itself early enough to apply a change within the staleness bound.
func TestFollowerReadsWhenStale(t *testing.T) {
	is := is.New(t)
	s, _ := newScheduler()
	s.ReadSucceeded(0)
	is.True(!s.readsNow(10*time.Second, View{Known: true, KnownUpTo: 9500 * ms}))
	is.True(s.readsNow(10*time.Second, View{Known: true, KnownUpTo: 9 * time.Second}))
}

// During an outage of the store of five seconds, all copies of a fleet of sixty become
// stale. If each instance retried five times a second, the store would get three
// hundred calls a second when it recovers. The delay therefore grows with the fleet.
func TestFailedReadsBackOffWithFleetSize(t *testing.T) {
	is := is.New(t)
	s, rng := newScheduler()
	calls := 0
	for now := time.Duration(0); now < 5*time.Second; now += 10 * ms {
		if s.readsNow(now, View{Known: true, KnownUpTo: -time.Hour}) {
			s.ReadFailed(now, 60, rng)
			calls++
		}
	}
	is.True(calls >= 1)
	is.True(calls <= 3)
}

// The store refuses the reader's calls but serves the other instances. Another
// instance must become the reader; otherwise the fleet would depend on the late reads
// of the followers.
func TestReaderRefusedByStoreHandsOver(t *testing.T) {
	is := is.New(t)
	s, rng := newScheduler()
	s.ReadFailed(0, 6, rng)
	is.True(s.LastReadFailed())
	is.True(IsReader(hubs.Instance{Name: "b"}, []Peer{{Instance: hubs.Instance{Name: "a"}, StoreUnreachable: true}, {Instance: hubs.Instance{Name: "c"}}}))
	is.True(!IsReader(hubs.Instance{Name: "b"}, []Peer{{Instance: hubs.Instance{Name: "a"}}, {Instance: hubs.Instance{Name: "c"}}}))
	// While peers keep its copy current, the refused instance does not retry.
	is.True(!s.readsNow(10*time.Second, View{Reader: true, Known: true, KnownUpTo: 9900 * ms}))
}

// A read waits a second for new records, and the process is suspended meanwhile. The
// answer covers the feed up to the end of the wait, not up to the time at which the
// process resumed.
func TestKnownUpTo(t *testing.T) {
	is := is.New(t)
	is.Equal(KnownUpTo(10*ms, 1010*ms, time.Second, false), 1010*ms)
	is.Equal(KnownUpTo(10*ms, 5*time.Second, time.Second, false), 1010*ms)
	is.Equal(KnownUpTo(10*ms, 500*ms, time.Second, false), 10*ms) // answered early
	is.Equal(KnownUpTo(10*ms, 1010*ms, time.Second, true), 10*ms)
}

// fleetSim simulates six instances in three domains that share the reads of a feed.
// Reads and exchanges between instances take simulated time.
type fleetSim struct {
	rng        *rand.Rand
	schedulers []*Scheduler
	knownUpTo  []time.Duration
	readEnds   []time.Duration // end of the read in progress, -1 for none
	dead       []bool
	storeFails func(instance int, now time.Duration) bool
	calls      int
}

const (
	simReadWait         = 500 * ms
	simExchangeInterval = 125 * ms
	simStep             = 5 * ms
	simFleetSize        = 6
)

func newFleetSim(storeFails func(int, time.Duration) bool) *fleetSim {
	f := &fleetSim{rng: rand.New(rand.NewPCG(3, 3)), storeFails: storeFails}
	for range simFleetSize {
		f.schedulers = append(f.schedulers, New(Settings{StalenessBound: bound}))
		f.knownUpTo, f.readEnds, f.dead = append(f.knownUpTo, 0), append(f.readEnds, -1), append(f.dead, false)
	}
	return f
}

// isReaderAmong reports whether instance i is the reader among the instances for
// which include is true.
func (f *fleetSim) isReaderAmong(i int, include func(j int) bool) bool {
	var peers []Peer
	for j, s := range f.schedulers {
		if j != i && !f.dead[j] && include(j) {
			peers = append(peers, Peer{Instance: hubs.Instance{Name: string(rune('a' + j))}, StoreUnreachable: s.LastReadFailed()})
		}
	}
	return IsReader(hubs.Instance{Name: string(rune('a' + i))}, peers)
}

func (f *fleetSim) isReader(i int) bool { return f.isReaderAmong(i, func(int) bool { return true }) }

func (f *fleetSim) isStandby(i int) bool {
	return f.isReaderAmong(i, func(j int) bool { return j%(simFleetSize/2) == i%(simFleetSize/2) })
}

// step advances the simulation. Each instance gets the state of all others once per
// simExchangeInterval, at a different time from the others.
func (f *fleetSim) step(now time.Duration) {
	for i, s := range f.schedulers {
		if f.dead[i] {
			continue
		}
		if (now/simStep)%(simExchangeInterval/simStep) == time.Duration(i) {
			for j := range f.schedulers {
				if !f.dead[j] {
					f.knownUpTo[i] = max(f.knownUpTo[i], f.knownUpTo[j])
				}
			}
		}
		f.read(i, s, now)
	}
}

func (f *fleetSim) read(i int, s *Scheduler, now time.Duration) {
	if end := f.readEnds[i]; end >= 0 {
		if now >= end {
			f.readEnds[i] = -1
			s.ReadSucceeded(now)
			f.knownUpTo[i] = max(f.knownUpTo[i], now)
		}
		return
	}
	reader := f.isReader(i)
	if read, _ := s.Next(now, View{Reader: reader, Standby: f.isStandby(i), Known: true, KnownUpTo: f.knownUpTo[i], FleetSize: simFleetSize}); !read {
		return
	}
	f.calls++
	switch {
	case f.storeFails(i, now):
		s.ReadFailed(now, simFleetSize, f.rng)
	case reader && !s.LastReadFailed():
		f.readEnds[i] = now + simReadWait
	default:
		f.readEnds[i] = now + simStep
	}
}

// maxStaleness runs the simulation and returns the greatest staleness of a running
// instance's copy.
func (f *fleetSim) maxStaleness(until time.Duration) time.Duration {
	staleness := time.Duration(0)
	for now := simStep; now < until; now += simStep {
		f.step(now)
		for i, knownUpTo := range f.knownUpTo {
			if !f.dead[i] {
				staleness = max(staleness, now-knownUpTo)
			}
		}
	}
	return staleness
}

// A key is withdrawn in normal operation, while readers die, or while the store
// refuses readers. Instances that get the feed only from peers must still learn of it
// in time: no copy may be staler than half the bound plus one exchange and one read.
func TestFleetStalenessIsBounded(t *testing.T) {
	const limit = bound/2 + simExchangeInterval + 2*simStep
	noFailures := func(int, time.Duration) bool { return false }
	t.Run("no faults", func(t *testing.T) {
		is := is.New(t)
		f := newFleetSim(noFailures)
		is.True(f.maxStaleness(20*time.Second) <= limit)
		is.True(f.calls <= 20*2+1) // a single reader makes at most one call per 0.5 s
	})
	t.Run("two readers die", func(t *testing.T) {
		is := is.New(t)
		f := newFleetSim(noFailures)
		f.maxStaleness(5 * time.Second)
		f.dead[0], f.dead[1] = true, true
		f.readEnds[0], f.readEnds[1] = -1, -1
		is.True(f.maxStaleness(5*time.Second) <= limit)
	})
	t.Run("store refuses readers", func(t *testing.T) {
		is := is.New(t)
		f := newFleetSim(func(i int, now time.Duration) bool { return i < 3 && now > 5*time.Second })
		is.True(f.maxStaleness(20*time.Second) <= limit)
	})
}
