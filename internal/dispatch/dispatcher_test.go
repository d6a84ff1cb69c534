package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/cacheindex"
	"github.com/mastictray/mastictray/internal/fairqueue"
	"github.com/mastictray/mastictray/internal/placement"
	"github.com/mastictray/mastictray/internal/prefix"
)

const pieceTokens = 4000

type fixture struct {
	*Dispatcher[string]
	pool *placement.Pool
	rng  *rand.Rand
	id   uint64
}

func newFixture(targets int, configure ...func(*Options, *placement.Options)) *fixture {
	list := make([]placement.Target, targets)
	index := cacheindex.New(1 << 20)
	for i := range list {
		list[i] = placement.Target{Name: fmt.Sprint("t", i), Incarnation: "i1", Version: "v1", PrefillTokensPerSecond: 10000}
		list[i].Cache = index.Observe(0, cacheindex.Identity{Target: list[i].Name, Incarnation: "i1", Version: "v1"})
	}
	pool := placement.NewPool(list, "v1", placement.DefaultFilters())
	placementOptions := placement.DefaultOptions()
	o := DefaultOptions()
	o.Queue.MinRate = 10000
	for _, s := range configure {
		s(&o, &placementOptions)
	}
	picker := placement.NewPicker(pool, index, placementOptions)
	picker.SetCacheStateKnown()
	d := New[string](pool, index, picker, o)
	return &fixture{Dispatcher: d, pool: pool, rng: rand.New(rand.NewPCG(1, 1))}
}

func (f *fixture) push(account string, piece prefix.Hash, deadline time.Duration) Step[string] {
	f.id++
	r := &Request[string]{ID: f.id, Account: account, Deadline: deadline, Value: account}
	r.Placement = placement.Request{Chain: []prefix.Hash{piece}, PieceTokens: pieceTokens, PromptTokens: pieceTokens + 100}
	return f.Push(0, r, f.rng)
}

// One account floods the only target. Its requests beyond the target's backlog limit must
// be held, so that another account's request is sent next. Requests sent earlier would be
// ahead of it in the target's own queue.
func TestFloodIsHeldInQueue(t *testing.T) {
	is := is.New(t)
	f := newFixture(1)
	is.Equal(len(f.push("noisy", 1, 0).Sends), 1)
	for i := range 20 {
		is.Equal(len(f.push("noisy", prefix.Hash(i+2), 0).Sends), 0)
	}
	is.Equal(len(f.push("quiet", 50, 0).Sends), 0)
	step := f.Step(450*time.Millisecond, f.rng) // by the estimate the first is prefilled, but it has no answer yet
	is.Equal(len(step.Sends), 0)
	f.pool.Target(0).Load.Answered(0, pieceTokens+100)
	step = f.Step(450*time.Millisecond, f.rng)
	is.Equal(len(step.Sends), 1)
	is.Equal(step.Sends[0].Request.Account, "quiet")
	is.Equal(f.Waiting(), 20)
}

// A request waits for a target with a full backlog. The request behind it selects an idle
// target and must be sent. A queue that only examines its head would leave targets idle.
func TestFullTargetDoesNotBlockOthers(t *testing.T) {
	is := is.New(t)
	f := newFixture(4)
	first := f.push("a", 1, 0).Sends[0]
	for range 10 { // the same prefix, until the backlog limit of its target
		f.push("a", 1, 0)
	}
	is.True(f.Waiting() > 0)
	sent := 0
	for piece := prefix.Hash(10); piece < 20; piece++ {
		for _, s := range f.push("a", piece, 0).Sends {
			is.True(s.Target != first.Target)
			sent++
		}
	}
	is.True(sent >= 3)
}

func TestPushRefusesLateAndUnplaceableRequests(t *testing.T) {
	is := is.New(t)
	f := newFixture(1)
	for i := range 5 {
		f.push("a", prefix.Hash(i), 0)
	}
	late := f.push("a", 9, time.Second).Refusals
	is.Equal(len(late), 1)
	is.Equal(late[0].Reason, fairqueue.ReasonDeadline)
	is.True(late[0].RetryAfter > 0)
	f.pool.Target(0).Draining = true
	f.pool.ApplyFilters(0)
	none := f.push("b", 9, 0).Refusals
	is.Equal(none[len(none)-1].Reason, ReasonNoTarget)
}

// A target crashes during a request and restarts. The failed request must not change the
// load of the new incarnation.
func TestFailureOfEarlierIncarnationKeepsLoad(t *testing.T) {
	is := is.New(t)
	f := newFixture(1)
	s := f.push("a", 1, 0).Sends[0]
	target := f.pool.Target(0)
	target.Incarnation = "i2"
	target.Load.Reset(0)
	target.Load.Sent(0, 500)
	f.Failed(&s)
	is.Equal(target.Load.QueuedAtTarget(0, 10000), 500.0)
}

// In a large fleet, information about the work of other instances is a second old. With a
// backlog limit of a second, a target that looks busy by old information must still get
// requests.
func TestHigherBacklogLimitSendsToSeeminglyBusyTarget(t *testing.T) {
	is := is.New(t)
	f := newFixture(1)
	f.pool.Target(0).Load.SetPeerUnanswered(5000) // half a second of work, as reported by peers
	is.Equal(len(f.push("a", 1, 0).Sends), 0)
	f.SetMaxTargetBacklog(time.Second)
	is.Equal(len(f.Step(0, f.rng).Sends), 1)
}

// While all targets are busy, cached pieces on older weights must be preferred to
// recomputing the prompt on the newest weights.
func TestRecomputeFactorFollowsLoad(t *testing.T) {
	for name, c := range map[string]struct {
		work float64 // prompt tokens queued at each target
		want int
	}{
		"idle targets: newest weights": {0, 1},
		"busy targets: cached pieces":  {1000, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(2, func(o *Options, placementOptions *placement.Options) {
				o.RecomputeBacklogUnit, o.MaxRecomputeFactor = 50*time.Millisecond, 3
				placementOptions.OutdatedPenalty, placementOptions.HomeCachedFraction = 500*time.Millisecond, 0
			})
			f.pool.Target(0).Outdated = true
			f.index.Answered(cacheindex.Identity{Target: "t0", Incarnation: "i1", Version: "v1"}, []prefix.Hash{1})
			for i := range 2 {
				f.pool.Target(i).Load.SetPeerUnanswered(c.work)
			}
			step := f.push("a", 1, 0)
			is.Equal(len(step.Sends), 1)
			is.Equal(step.Sends[0].Target, c.want)
		})
	}
}

// In overload, a request that missed its objective while it waited must yield to one that
// can still meet it.
func TestRequestPastObjectiveIsDemoted(t *testing.T) {
	is := is.New(t)
	f := newFixture(1)
	f.push("a", 1, 0) // occupies the target
	push := func(name string, objective time.Duration) {
		f.id++
		r := &Request[string]{ID: f.id, Account: "a", Priority: 5, Value: name, Objective: objective}
		r.Placement = placement.Request{Chain: []prefix.Hash{prefix.Hash(f.id)}, PieceTokens: pieceTokens, PromptTokens: pieceTokens}
		f.Push(0, r, f.rng)
	}
	push("old", time.Second)
	push("fresh", 5*time.Second)
	f.pool.Target(0).Load.Answered(0, pieceTokens+100)
	step := f.Step(2*time.Second, f.rng)
	is.Equal(len(step.Sends), 1)
	is.Equal(step.Sends[0].Request.Value, "fresh")
	is.Equal(f.Waiting(), 1)
}

// A rate-limited target that may receive one request must not get all the requests that
// wait for it.
func TestRateLimitedTargetGetsOneRequestAtATime(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	first := f.push("a", 1, 0).Sends[0]
	home := f.pool.Target(first.Target)
	for range 4 { // the same prefix, cached on the first target
		f.push("a", 1, 0)
	}
	home.Load.Answered(0, pieceTokens+100)
	home.RateLimited = true
	sent := 0
	for _, s := range f.Step(time.Second, f.rng).Sends {
		if s.Target == first.Target {
			sent++
		}
	}
	is.Equal(sent, 1)
	is.True(f.pool.Rejected(first.Target))
}

// Guards against holding a request whose prefill alone takes longer than its caller waits.
func TestRequestWithLongerPrefillThanDeadlineIsRefused(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, func(o *Options, _ *placement.Options) { o.Queue.UrgencyFirst = true })
	refused := f.push("a", 1, 300*time.Millisecond).Refusals // the prefill takes 410 ms
	is.Equal(len(refused), 1)
	is.Equal(refused[0].Reason, fairqueue.ReasonDeadline)
	is.Equal(len(f.push("a", 1, 500*time.Millisecond).Sends), 1)
}
