package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/cacheindex"
	"github.com/mastictray/mastictray/internal/prefix"
)

// slotFleet simulates instances that place streams on targets with few slots and learn of each
// other's requests late.
type slotFleet struct {
	rng     *rand.Rand
	pools   []*Pool
	pickers []*Picker
	// inFlight is the number of requests by instance and target, reported the one that the
	// others know of.
	inFlight, reported [][]int
	ends               []slotEnd
	running            []int
}

type slotEnd struct {
	at               time.Duration
	instance, target int
}

func newSlotFleet(instances, targets, slots int, shared bool) *slotFleet {
	f := &slotFleet{rng: rand.New(rand.NewPCG(1, 2)), running: make([]int, targets)}
	for range instances {
		list := make([]Target, targets)
		for i := range list {
			list[i] = Target{Name: string(rune('a'+i%26)) + string(rune('a'+i/26)), PrefillTokensPerSecond: 68200, Limit: slots}
			if shared {
				list[i].SharedSlots = slots
			}
		}
		pool, o := NewPool(list, "", DefaultFilters()), DefaultOptions()
		o.MaxCandidates, o.SlotTime = 4, func() time.Duration { return 4 * time.Second }
		f.pools = append(f.pools, pool)
		f.pickers = append(f.pickers, NewPicker(pool, cacheindex.New(1<<20), o))
		f.inFlight, f.reported = append(f.inFlight, make([]int, targets)), append(f.reported, make([]int, targets))
	}
	return f
}

// exchange makes all instances learn what the others had in flight at the last exchange.
func (f *slotFleet) exchange() {
	for i, pool := range f.pools {
		for target := range f.running {
			sum := 0
			for j := range f.pools {
				if j != i {
					sum += f.reported[j][target]
				}
			}
			pool.Target(target).PeersInFlight = sum
		}
	}
	for i := range f.inFlight {
		copy(f.reported[i], f.inFlight[i])
	}
}

// run sends streams that hold a slot for hold at the given rate and returns the fraction that
// found no free slot at their target.
func (f *slotFleet) run(duration, hold time.Duration, perSecond int) float64 {
	const step, exchangeEvery = 5 * time.Millisecond, 250 * time.Millisecond
	waited, sent := 0, 0
	due := 0.0
	for now := time.Duration(0); now < duration; now += step {
		if now%exchangeEvery == 0 {
			f.exchange()
		}
		for len(f.ends) > 0 && f.ends[0].at <= now {
			e := f.ends[0]
			f.ends = f.ends[1:]
			f.running[e.target]--
			f.inFlight[e.instance][e.target]--
			f.pools[e.instance].Target(e.target).InFlight--
		}
		for due += float64(perSecond) * step.Seconds(); due >= 1; due-- {
			i := f.rng.IntN(len(f.pools))
			r := Request{Chain: []prefix.Hash{1, prefix.Hash(f.rng.Uint64())}, PieceEnds: []int{500, 5400}, PromptTokens: 12000}
			d, err := f.pickers[i].Pick(now, &r, f.rng)
			if err != nil {
				panic(err)
			}
			if sent++; f.running[d.Index] >= f.pools[i].Target(d.Index).Limit {
				waited++
			}
			f.running[d.Index]++
			f.inFlight[i][d.Index]++
			f.pools[i].Target(d.Index).InFlight++
			f.ends = append(f.ends, slotEnd{at: now + hold, instance: i, target: d.Index})
		}
	}
	return float64(waited) / float64(sent)
}

// maxWaiting is the fraction of streams that may miss their objective.
const maxWaiting = 0.05

// Guards against streams that wait at targets without a free slot while other targets have
// some: 60 targets with 12 slots, streams of 4 s that need three quarters of them.
func TestStreamsGoWhereSlotsAreFree(t *testing.T) {
	for _, instances := range []int{20, 80} {
		is := is.New(t)
		const targets, slots, perSecond = 60, 12, 135
		unaware := newSlotFleet(instances, targets, slots, false).run(30*time.Second, 4*time.Second, perSecond)
		aware := newSlotFleet(instances, targets, slots, true).run(30*time.Second, 4*time.Second, perSecond)
		t.Logf("instances=%d waited=%.3f, without shared slots %.3f", instances, aware, unaware)
		is.True(unaware > 0.1) // the load is one that needs the part
		is.True(aware < maxWaiting)
	}
}

// Guards against choices by the other instances' requests where the slots aren't shared.
func TestSlotsCountOnlyWhereTheyAreShared(t *testing.T) {
	is := is.New(t)
	scorer := slotScorer{slotTime: func() time.Duration { return time.Second }}
	target := &Target{Limit: 12, PeersInFlight: 500}
	is.Equal(scorer.Cost(0, nil, target, nil), time.Duration(0))
	target.SharedSlots = 12
	is.True(scorer.Cost(0, nil, target, nil) > time.Second)
	target.PeersInFlight = 8 // a quarter of the slots is free after this request
	is.Equal(scorer.Cost(0, nil, target, nil), time.Duration(0))
}
