package runmove

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	source = Place{ID: "s", Address: "10.0.0.1:1"}
	other  = Place{ID: "o", Address: "10.0.0.2:1"}
)

func startedStop(t *testing.T) *Run {
	t.Helper()
	is := is.New(t)
	r := New(source)
	is.True(r.BeginCopy(0, other))
	is.True(r.HandleCopy(Copied, "h1"))
	is.True(r.BeginStop())
	return r
}

// Guards against a run that goes on at a place that doesn't have its memory, or at none although
// one has it.
func TestStoppedRunGoesOnWhereItsMemoryIs(t *testing.T) {
	for _, c := range []struct {
		name   string
		result Result
		handle string
		want   []Place
	}{
		{"copy is complete", Copied, "h1", []Place{other, source}},
		{"destination has become full", NoRoom, "h1", []Place{source}},
		{"an earlier request has stopped it", NoRun, "", []Place{other}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := startedStop(t)
			is.True(!r.HandleStop(c.result, c.handle))
			is.True(r.Stopped())
			var got []Place
			for next, ok := r.Next(); ok; next, ok = r.Next() {
				is.Equal(next.Owner, source)
				is.Equal(next.Handle, "h1")
				got = append(got, next.At)
			}
			is.Equal(got, c.want)
		})
	}
}

// Guards against a run that works at two targets: it may still run while no response tells that it
// has stopped.
func TestRunGoesOnNowhereUntilItHasStopped(t *testing.T) {
	is := is.New(t)
	r := startedStop(t)
	_, ok := r.Next()
	is.True(!ok)
	is.True(r.HandleStop(Unanswered, ""))
	is.True(r.BeginStop())
	is.True(r.HandleStop(InProgress, ""))
	is.True(r.BeginStop())
	is.True(!r.HandleStop(Unanswered, ""))
	is.True(!r.Stopped())
	_, ok = r.Next()
	is.True(!ok)
}

// Guards against a run that is stopped although no copy of it is known.
func TestRunIsNotStoppedWithoutACopy(t *testing.T) {
	for _, result := range []Result{Unanswered, NoRun, InProgress, NoRoom} {
		is := is.New(t)
		r := New(source)
		is.True(r.BeginCopy(0, other))
		is.True(!r.BeginCopy(0, other)) // one at a time
		is.True(!r.HandleCopy(result, ""))
		is.True(!r.BeginStop())
		is.True(!r.BeginCopy(copyRetryDelay-1, other))
		is.True(r.BeginCopy(copyRetryDelay, other)) // another destination may be tried
	}
}

// Guards against copying a run over and over while all targets load one after the other.
func TestCopiesOfARunAreBounded(t *testing.T) {
	is := is.New(t)
	r := New(source)
	now := time.Duration(0)
	for range MaxCopies {
		is.True(r.BeginCopy(now, other))
		r.HandleCopy(NoRoom, "")
		now += copyRetryDelay
	}
	is.True(!r.BeginCopy(now, other))
	r = startedStop(t)
	r.HandleStop(Copied, "h1")
	r = r.ContinueAt(other)
	for range MaxCopies - 1 {
		is.True(r.BeginCopy(now, source))
		r.HandleCopy(NoRoom, "")
		now += copyRetryDelay
	}
	is.True(!r.BeginCopy(now, source))
}

// Guards against copies that are left to expire at their destination: the run ends by itself, before
// or after the response to a copy.
func TestUnusedCopiesAreFreed(t *testing.T) {
	is := is.New(t)
	r := New(source)
	r.BeginCopy(0, other)
	handle, _ := r.End()
	is.Equal(handle, "")
	is.True(!r.HandleCopy(Copied, "h1")) // arrives later
	handle, at := r.End()
	is.Equal(handle, "h1")
	is.Equal(at, source)

	r = startedStop(t)
	r.HandleStop(Copied, "h1")
	r.ContinueAt(other)
	handle, _ = r.End()
	is.Equal(handle, "") // in use
}

// Guards against copies that push out what runs at their destination, go to one that loads next,
// or pile up at one target.
func TestDestination(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	candidates := []Candidate{
		{Place: Place{ID: "full"}, SameDomain: true, FreeSlots: 4, FreeTokens: 999},
		{Place: Place{ID: "no slot"}, SameDomain: true, FreeSlots: 0, FreeTokens: 5000},
		{Place: Place{ID: "next"}, SameDomain: true, FreeSlots: 4, FreeTokens: 5000, LoadsSoon: true},
		{Place: Place{ID: "good"}, FreeSlots: 4, FreeTokens: 5000},
	}
	copies := NewCopies(MoveLimits)
	for range MoveLimits.PerTarget {
		i, ok := Choose(candidates, 1000, copies, rng)
		is.True(ok)
		is.Equal(candidates[i].ID, "good")
		copies.Begin("good", 1000)
	}
	_, ok := Choose(candidates, 1000, copies, rng)
	is.True(!ok)
	copies.End("good", 1000)
	_, ok = Choose(candidates, 4001, copies, rng)
	is.True(!ok) // the other copy takes a part of the room
	_, ok = Choose(candidates, 4000, copies, rng)
	is.True(ok)
}

// 30 instances move 10 runs each off the targets that load, without telling each other. Guards
// against a destination that all of them choose.
func TestInstancesSpreadTheirCopies(t *testing.T) {
	is := is.New(t)
	const instances, runs, targets = 30, 10, 40
	var candidates []Candidate
	for i := range targets {
		candidates = append(candidates, Candidate{Place: Place{ID: strconv.Itoa(i)}, SameDomain: i%3 == 0, FreeSlots: 12, FreeTokens: 100000})
	}
	chosen := map[int]int{}
	for i := range uint64(instances) {
		rng, copies := rand.New(rand.NewPCG(i, 7)), NewCopies(MoveLimits)
		for range runs {
			c, ok := Choose(candidates, 7000, copies, rng)
			is.True(ok)
			copies.Begin(candidates[c].ID, 7000)
			chosen[c]++
		}
	}
	most := 0
	for _, n := range chosen {
		most = max(most, n)
	}
	is.True(most <= 4*instances*runs/targets)
}

// Guards against moves that take longer than what is left of the run.
func TestRunsNearTheirEndStay(t *testing.T) {
	is := is.New(t)
	is.True(!Progress{Events: 40, Elapsed: time.Second, MaxEvents: 48}.WorthMoving())
	is.True(Progress{Events: 10, Elapsed: time.Second, MaxEvents: 48}.WorthMoving())
	is.True(!Progress{Events: 60, Elapsed: time.Second, MaxEvents: 48}.WorthMoving())
	is.True(Progress{Events: 10, Elapsed: time.Second}.WorthMoving())
	is.True(Progress{MaxEvents: 48}.WorthMoving())
}
