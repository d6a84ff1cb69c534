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

func newTurn() (*Scheduler, *rand.Rand) {
	return New(Settings{StalenessBound: bound, ReadInterval: 700 * ms}), rand.New(rand.NewPCG(1, 1))
}

func (t *Scheduler) reads(now time.Duration, v View) bool {
	read, _ := t.Next(now, v)
	return read
}

func TestReaderReadsAtItsPace(t *testing.T) {
	is := is.New(t)
	turn, _ := newTurn()
	is.True(turn.reads(0, View{Reader: true}))
	turn.ReadSucceeded(0)
	v := View{Reader: true, Known: true}
	is.True(!turn.reads(600*ms, v))
	is.True(turn.reads(700*ms, v))
}

// A configuration withdraws a route, and the domain's reader has just lost
// power. The other instances hear nothing new; each reads by itself while there
// is still time to put the change into force within the bound.
func TestFollowerReadsWhenItsKnowledgeIsOld(t *testing.T) {
	is := is.New(t)
	turn, _ := newTurn()
	turn.ReadSucceeded(0)
	is.True(!turn.reads(10*time.Second, View{Known: true, KnownUpTo: 9500 * ms}))
	is.True(turn.reads(10*time.Second, View{Known: true, KnownUpTo: 9 * time.Second}))
}

// The store is away for five seconds and sixty instances know nothing new. If
// each tried five times a second, their calls would go on at three hundred a
// second, and the store would come back under them.
func TestFailedReadsAreSpreadOverTheFleet(t *testing.T) {
	is := is.New(t)
	turn, rng := newTurn()
	calls := 0
	for now := time.Duration(0); now < 5*time.Second; now += 10 * ms {
		if turn.reads(now, View{Known: true, KnownUpTo: -time.Hour}) {
			turn.ReadFailed(now, 60, rng)
			calls++
		}
	}
	is.True(calls >= 1)
	is.True(calls <= 3)
}

// The store turns the reader away and serves the others. Were it to remain the
// reader, its domain would live on the followers' late reads.
func TestReaderThatIsTurnedAwayHandsOver(t *testing.T) {
	is := is.New(t)
	turn, rng := newTurn()
	turn.ReadFailed(0, 6, rng)
	is.True(turn.LastReadFailed())
	is.True(IsReader(hubs.Instance{Name: "b"}, []Peer{{Instance: hubs.Instance{Name: "a"}, StoreUnreachable: true}, {Instance: hubs.Instance{Name: "c"}}}))
	is.True(!IsReader(hubs.Instance{Name: "b"}, []Peer{{Instance: hubs.Instance{Name: "a"}}, {Instance: hubs.Instance{Name: "c"}}}))
	// While others tell it what is new, it makes no calls in vain.
	is.True(!turn.reads(10*time.Second, View{Reader: true, Known: true, KnownUpTo: 9900 * ms}))
}

// A read waits a second for news and the process stands still while it waits.
// What came back tells of the feed up to the end of the wait, not up to now.
func TestKnownUpTo(t *testing.T) {
	is := is.New(t)
	is.Equal(KnownUpTo(10*ms, 1010*ms, time.Second, false), 1010*ms)
	is.Equal(KnownUpTo(10*ms, 5*time.Second, time.Second, false), 1010*ms)
	is.Equal(KnownUpTo(10*ms, 500*ms, time.Second, false), 10*ms) // answered early
	is.Equal(KnownUpTo(10*ms, 1010*ms, time.Second, true), 10*ms)
}

// fleetSim is six instances in three domains whose feed is read in turns. The
// waits of reads and the messages between instances take time.
type fleetSim struct {
	rng     *rand.Rand
	turns   []*Scheduler
	upTo    []time.Duration
	reading []time.Duration // when the read under way ends
	dead    []bool
	away    func(instance int, now time.Duration) bool
	calls   int
}

const (
	simWait  = 500 * ms
	simTell  = 125 * ms
	simStep  = 5 * ms
	simFleet = 6
)

func newFleetSim(away func(int, time.Duration) bool) *fleetSim {
	f := &fleetSim{rng: rand.New(rand.NewPCG(3, 3)), away: away}
	for range simFleet {
		f.turns = append(f.turns, New(Settings{StalenessBound: bound}))
		f.upTo, f.reading, f.dead = append(f.upTo, 0), append(f.reading, -1), append(f.dead, false)
	}
	return f
}

// reads says whether an instance is the first of those given that reach the
// store.
func (f *fleetSim) reads(i int, of func(j int) bool) bool {
	var peers []Peer
	for j, turn := range f.turns {
		if j != i && !f.dead[j] && of(j) {
			peers = append(peers, Peer{Instance: hubs.Instance{Name: string(rune('a' + j))}, StoreUnreachable: turn.LastReadFailed()})
		}
	}
	return IsReader(hubs.Instance{Name: string(rune('a' + i))}, peers)
}

func (f *fleetSim) reader(i int) bool { return f.reads(i, func(int) bool { return true }) }

func (f *fleetSim) standby(i int) bool {
	return f.reads(i, func(j int) bool { return j%(simFleet/2) == i%(simFleet/2) })
}

// step moves the instances on; each hears from all others at its own moments.
func (f *fleetSim) step(now time.Duration) {
	for i, turn := range f.turns {
		if f.dead[i] {
			continue
		}
		if (now/simStep)%(simTell/simStep) == time.Duration(i) {
			for j := range f.turns {
				if !f.dead[j] {
					f.upTo[i] = max(f.upTo[i], f.upTo[j])
				}
			}
		}
		f.read(i, turn, now)
	}
}

func (f *fleetSim) read(i int, turn *Scheduler, now time.Duration) {
	if end := f.reading[i]; end >= 0 {
		if now >= end {
			f.reading[i] = -1
			turn.ReadSucceeded(now)
			f.upTo[i] = max(f.upTo[i], now)
		}
		return
	}
	reader := f.reader(i)
	if read, _ := turn.Next(now, View{Reader: reader, Standby: f.standby(i), Known: true, KnownUpTo: f.upTo[i], FleetSize: simFleet}); !read {
		return
	}
	f.calls++
	switch {
	case f.away(i, now):
		turn.ReadFailed(now, simFleet, f.rng)
	case reader && !turn.LastReadFailed():
		f.reading[i] = now + simWait
	default:
		f.reading[i] = now + simStep
	}
}

// worst runs the fleet and gives the greatest age of what a living instance
// knew.
func (f *fleetSim) worst(until time.Duration) time.Duration {
	worst := time.Duration(0)
	for now := simStep; now < until; now += simStep {
		f.step(now)
		for i, at := range f.upTo {
			if !f.dead[i] {
				worst = max(worst, now-at)
			}
		}
	}
	return worst
}

// A key is withdrawn while nothing else happens, while a reader dies, or while
// the store turns a reader away. Instances that hear of the store only through
// others must know of it in time: what any of them knows is never older than
// half the bound, a message and a read.
func TestKnowledgeOfAFleetStaysYoung(t *testing.T) {
	const limit = bound/2 + simTell + 2*simStep
	served := func(int, time.Duration) bool { return false }
	t.Run("calm", func(t *testing.T) {
		is := is.New(t)
		f := newFleetSim(served)
		is.True(f.worst(20*time.Second) <= limit)
		is.True(f.calls <= 20*2+1) // one reader, at most one call each 0.5 s
	})
	t.Run("two readers die", func(t *testing.T) {
		is := is.New(t)
		f := newFleetSim(served)
		f.worst(5 * time.Second)
		f.dead[0], f.dead[1] = true, true
		f.reading[0], f.reading[1] = -1, -1
		is.True(f.worst(5*time.Second) <= limit)
	})
	t.Run("readers are turned away", func(t *testing.T) {
		is := is.New(t)
		f := newFleetSim(func(i int, now time.Duration) bool { return i < 3 && now > 5*time.Second })
		is.True(f.worst(20*time.Second) <= limit)
	})
}
