package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/mastictray/mastictray/internal/cacheindex"
	"github.com/mastictray/mastictray/internal/fairqueue"
	"github.com/mastictray/mastictray/internal/placement"
)

// Options tune a dispatcher.
type Options struct {
	// MaxTargetBacklog is the time of work that a target may have before further
	// requests for it are held.
	MaxTargetBacklog time.Duration
	// ScanLimit bounds the waiting requests looked at in one step.
	ScanLimit int
	// RecomputeFactor weighs a recomputed token against a waiting one. Over
	// 1, because prefill that a cached copy elsewhere would have saved
	// delays the requests behind it too.
	RecomputeFactor float64
	// RecomputeBacklogUnit, if set, makes that weight follow the load: 1 while targets
	// are idle, and one more for each such time of work that they have on
	// average, up to MaxRecompute.
	RecomputeBacklogUnit time.Duration
	MaxRecomputeFactor   float64
	// AccountBacklogFactor is added to it for each second of the account's backlog
	// over BacklogGrace.
	AccountBacklogFactor float64
	AccountBacklogGrace  time.Duration
	// Queue bounds the fair queue.
	Queue fairqueue.Options
}

// DefaultOptions are the measured defaults; docs/measurements has the runs.
func DefaultOptions() Options {
	return Options{
		MaxTargetBacklog: 150 * time.Millisecond,
		ScanLimit:        64,

		RecomputeFactor:      placement.DefaultOptions().RecomputeFactor,
		AccountBacklogFactor: 20,
		AccountBacklogGrace:  100 * time.Millisecond,
		Queue:                fairqueue.Options{MaxItems: 2000},
	}
}

// Request is a waiting request: how it is queued and how it is placed.
type Request[T any] struct {
	ID       uint64
	Account  string
	Weight   float64
	Priority int
	// Deadline is when the first byte of the answer is due; 0 for never.
	Deadline time.Duration
	// Objective is when the first byte is worth most, at the latest; 0 for
	// always.
	Objective time.Duration
	Placement placement.Request
	Value     T
}

// Send is a request that goes to a target now.
type Send[T any] struct {
	Request *Request[T]
	// Target is the index in the pool.
	Target int
	// Identity is what the target was when it was chosen.
	Identity cacheindex.Identity
	// SentAt is when it was chosen.
	SentAt   time.Duration
	Decision placement.Decision
	stamp    cacheindex.Stamp
}

// Refusal is a request that will not be sent.
type Refusal[T any] struct {
	Request    *Request[T]
	Reason     fairqueue.Reason
	RetryAfter time.Duration
}

// ReasonNoTarget: filters reject every target of the pool.
const ReasonNoTarget fairqueue.Reason = "no_target"

// Dispatcher decides for one pool. It is not safe for concurrent use.
type Dispatcher[T any] struct {
	options Options
	pool    *placement.Pool
	index   *cacheindex.Index
	picker  *placement.Picker
	queue   *fairqueue.Queue[*Request[T]]
	out     Step[T]
	// baseFactor is the weight of a recomputed token at the present load.
	baseFactor float64
	// latency is the time to a first token beyond the prefill.
	latency time.Duration
}

// Step is what is to be done now. Its slices are reused by the next step.
type Step[T any] struct {
	Sends    []Send[T]
	Refusals []Refusal[T]
}

// New makes a dispatcher over a pool, the index of its targets' caches, and a
// picker over both.
func New[T any](pool *placement.Pool, index *cacheindex.Index, picker *placement.Picker, o Options) *Dispatcher[T] {
	return &Dispatcher[T]{
		options: o, pool: pool, index: index, picker: picker,
		queue: fairqueue.New[*Request[T]](o.Queue), latency: firstTokenFloor,
	}
}

// ReplacePool puts another pool and its picker in place, after a change of
// configuration. Waiting requests stay.
func (d *Dispatcher[T]) ReplacePool(pool *placement.Pool, picker *placement.Picker) {
	d.pool, d.picker = pool, picker
}

// SetMaxTargetBacklog changes the time of work that a target may have before further
// requests for it are held. What is known of other instances' work is old in a
// large fleet: a short window would hold requests back from targets that have
// become idle meanwhile.
func (d *Dispatcher[T]) SetMaxTargetBacklog(w time.Duration) { d.options.MaxTargetBacklog = w }

// Waiting is the number of requests held.
func (d *Dispatcher[T]) Waiting() int { return d.queue.Len() }

// Push takes a request in and then steps.
func (d *Dispatcher[T]) Push(now time.Duration, r *Request[T], rng *rand.Rand) Step[T] {
	d.reset()
	cost, err := d.cost(now, r, rng)
	if err != nil {
		d.refuseNoTarget(r)
		return d.out
	}
	refused := d.queue.Push(now, fairqueue.Item[*Request[T]]{
		ID: r.ID, Account: r.Account, Weight: r.Weight, Priority: r.Priority,
		Cost: cost, Deadline: r.Deadline, SoftDeadline: d.best(r, cost), Value: r,
	})
	d.refuse(refused)
	d.scan(now, rng)
	return d.out
}

// firstTokenFloor is the time from sending a request to its first token that
// no cache saves, until SetLatency gives what was observed: two steps of an
// engine and the ways there and back.
const firstTokenFloor = 60 * time.Millisecond

// SetLatency gives the time to a first token beyond the prefill, as observed.
func (d *Dispatcher[T]) SetLatency(latency time.Duration) { d.latency = latency }

// best is the last moment to send a request so that it meets its objective.
func (d *Dispatcher[T]) best(r *Request[T], cost float64) time.Duration {
	if r.Objective == 0 {
		return 0
	}
	return r.Objective - d.latency - d.picker.PrefillTime(cost)
}

// minCost is charged for a request that is cached almost wholly.
const minCost = 100

// cost is the tokens that a request will need to have prefilled. Accounts
// share the targets' work, not the length of their prompts: a cached prompt
// costs the others nothing.
func (d *Dispatcher[T]) cost(now time.Duration, r *Request[T], rng *rand.Rand) (float64, error) {
	choice, err := d.picker.Pick(now, &r.Placement, rng)
	return max(minCost, choice.UncachedTokens), err
}

// Step sends and refuses what it is time for. Call it when an answer came, a
// load report came or a target changed, and every few milliseconds while
// requests wait.
func (d *Dispatcher[T]) Step(now time.Duration, rng *rand.Rand) Step[T] {
	d.reset()
	d.scan(now, rng)
	return d.out
}

// Cancel drops a waiting request whose caller has gone.
func (d *Dispatcher[T]) Cancel(account string, id uint64) bool {
	return d.queue.Cancel(account, id)
}

// SendTo sends a request to a given target past the queue: one that is
// suspected of crashing targets and may go nowhere else. False when the target
// takes no new work.
func (d *Dispatcher[T]) SendTo(now time.Duration, r *Request[T], name string) (Send[T], bool) {
	i, ok := d.pool.Find(name)
	if !ok || d.pool.Rejected(i) {
		return Send[T]{}, false
	}
	d.reset()
	t := d.pool.Target(i)
	cached := d.index.Cached(t.Cache, r.Placement.Chain)
	uncached := max(0, r.Placement.PromptTokens-r.Placement.LeadingTokens(cached))
	d.send(now, r, t, placement.Decision{Index: i, CachedPieces: cached, UncachedTokens: float64(uncached)})
	return d.out.Sends[0], true
}

// Answered takes in the first token of an answer. Call it or Failed once for
// each send.
func (d *Dispatcher[T]) Answered(s *Send[T]) {
	d.index.Answered(s.Identity, s.Request.Placement.Chain)
	if t, ok := d.sentTo(s); ok {
		t.Load.Answered(s.SentAt, s.Decision.UncachedTokens)
	}
}

// RecordCachedTokens takes in the cached-token count of an answer, which comes at its
// end. A count below what was expected tells that the target evicts more than
// is known here. Where cache events are followed they tell better.
func (d *Dispatcher[T]) RecordCachedTokens(s *Send[T], cachedTokens int) {
	if d.picker.CacheStateKnown() {
		return
	}
	if cachedTokens < s.Request.Placement.LeadingTokens(s.Decision.CachedPieces) {
		d.index.RecordMiss(s.Identity, s.stamp)
	}
}

// Failed takes in an attempt that the target did not prefill.
func (d *Dispatcher[T]) Failed(s *Send[T]) {
	d.index.Failed(s.Identity, s.Request.Placement.Chain, s.Decision.CachedPieces)
	if t, ok := d.sentTo(s); ok {
		t.Load.Failed(s.Decision.UncachedTokens)
	}
}

// sentTo is the target that an attempt went to, unless that incarnation is
// gone and its load with it.
func (d *Dispatcher[T]) sentTo(s *Send[T]) (*placement.Target, bool) {
	i, ok := d.pool.Find(s.Identity.Target)
	if !ok {
		return nil, false
	}
	t := d.pool.Target(i)
	return t, t.Incarnation == s.Identity.Incarnation
}

func (d *Dispatcher[T]) reset() {
	clear(d.out.Sends)
	clear(d.out.Refusals)
	d.out.Sends, d.out.Refusals = d.out.Sends[:0], d.out.Refusals[:0]
}

func (d *Dispatcher[T]) refuse(list []fairqueue.Refusal[*Request[T]]) {
	for _, r := range list {
		d.out.Refusals = append(d.out.Refusals, Refusal[T]{Request: r.Item.Value, Reason: r.Reason, RetryAfter: r.RetryAfter})
	}
}

func (d *Dispatcher[T]) scan(now time.Duration, rng *rand.Rand) {
	d.refuse(d.queue.Sweep(now))
	if d.queue.Len() == 0 {
		return
	}
	d.pool.ClearPending()
	d.setBaseFactor(now)
	d.queue.Scan(now, d.options.ScanLimit, func(it *fairqueue.Item[*Request[T]]) fairqueue.Verdict {
		return d.visit(now, it.Value, rng)
	})
	d.pool.ClearPending()
}

// setBaseFactor sets the weight of a recomputed token for the next decisions.
func (d *Dispatcher[T]) setBaseFactor(now time.Duration) {
	d.baseFactor = d.options.RecomputeFactor
	if d.options.RecomputeBacklogUnit > 0 {
		pressure := float64(d.pool.MeanBacklog(now)) / float64(d.options.RecomputeBacklogUnit)
		d.baseFactor = min(d.options.MaxRecomputeFactor, 1+pressure)
	}
}

// visit places one waiting request, as if all before it had been sent.
func (d *Dispatcher[T]) visit(now time.Duration, r *Request[T], rng *rand.Rand) fairqueue.Verdict {
	r.Placement.RecomputeFactor = d.recomputeFactor(r)
	choice, err := d.picker.Pick(now, &r.Placement, rng)
	if err != nil {
		d.refuseNoTarget(r)
		return fairqueue.Refuse
	}
	t := d.pool.Target(choice.Index)
	if t.Full() || d.pool.Backlog(choice.Index, now) >= d.options.MaxTargetBacklog {
		t.Load.AddPending(choice.UncachedTokens)
		return fairqueue.Skip
	}
	d.send(now, r, t, choice)
	return fairqueue.Serve
}

// recomputeFactor grows with the backlog of the request's account. An account
// that sends more than its share would else spill over to every target: its
// waiting requests recompute what a cache holds, evict what others need, and
// so slow the pool down further.
func (d *Dispatcher[T]) recomputeFactor(r *Request[T]) float64 {
	backlog := d.queue.Backlog(r.Account, r.Weight) - d.options.AccountBacklogGrace
	return d.baseFactor + d.options.AccountBacklogFactor*max(0, backlog.Seconds())
}

func (d *Dispatcher[T]) refuseNoTarget(r *Request[T]) {
	d.out.Refusals = append(d.out.Refusals, Refusal[T]{Request: r, Reason: ReasonNoTarget, RetryAfter: noTargetRetryAfter})
}

// noTargetRetryAfter is the hint when no target is live: about the time that
// a target needs to come back.
const noTargetRetryAfter = time.Second

func (d *Dispatcher[T]) send(now time.Duration, r *Request[T], t *placement.Target, choice placement.Decision) {
	id := cacheindex.Identity{Target: t.Name, Incarnation: t.Incarnation, Version: t.Version}
	t.Load.Sent(now, choice.UncachedTokens)
	if t.RateLimited {
		t.OverRate = true
		d.pool.ApplyFilters(choice.Index)
	}
	t.InFlight++
	t.HeldTokens += r.Placement.HeldTokens
	stamp := d.index.AddExpected(id, r.Placement.Chain)
	d.out.Sends = append(d.out.Sends, Send[T]{
		Request: r, Target: choice.Index, Identity: id, SentAt: now, Decision: choice, stamp: stamp,
	})
}
