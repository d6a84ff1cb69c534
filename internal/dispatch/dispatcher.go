package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/mastictray/mastictray/internal/cacheindex"
	"github.com/mastictray/mastictray/internal/fairqueue"
	"github.com/mastictray/mastictray/internal/placement"
)

// Options configure a Dispatcher.
type Options struct {
	// MaxTargetBacklog is the time of work queued at a target from which further
	// requests for it are held.
	MaxTargetBacklog time.Duration
	// ScanLimit is the maximum number of waiting requests examined in one step.
	ScanLimit int
	// RecomputeFactor weighs a recomputed token against a token of queued work. It is
	// over 1 because prefill that a cached copy elsewhere would have saved also delays
	// the requests behind it.
	RecomputeFactor float64
	// RecomputeBacklogUnit, if set, makes that factor depend on the load: it is 1 plus
	// the mean backlog of the targets divided by this unit, up to MaxRecomputeFactor.
	RecomputeBacklogUnit time.Duration
	MaxRecomputeFactor   float64
	// AccountBacklogFactor is added to the factor for each second of the account's
	// backlog beyond AccountBacklogGrace.
	AccountBacklogFactor float64
	AccountBacklogGrace  time.Duration
	// Queue configures the fair queue.
	Queue fairqueue.Options
}

// DefaultOptions returns the default options; see docs/measurements.
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

// Request is a waiting request with its queueing and placement parameters.
type Request[T any] struct {
	ID       uint64
	Account  string
	Weight   float64
	Priority int
	// Deadline is when the first byte of the answer is due; 0 means no deadline.
	Deadline time.Duration
	// Objective is when the first byte should arrive at the latest; 0 means no
	// objective. The value of a later answer is reduced.
	Objective time.Duration
	Placement placement.Request
	Value     T
}

// Send is a request to be sent to a target now.
type Send[T any] struct {
	Request *Request[T]
	// Target is the index of the target in the pool.
	Target int
	// Identity is the target's identity when it was chosen.
	Identity cacheindex.Identity
	// SentAt is when the target was chosen.
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

// ReasonNoTarget means that filters reject every target of the pool.
const ReasonNoTarget fairqueue.Reason = "no_target"

// Dispatcher schedules the requests of one pool. It is not safe for concurrent use.
type Dispatcher[T any] struct {
	options Options
	pool    *placement.Pool
	index   *cacheindex.Index
	picker  *placement.Picker
	queue   *fairqueue.Queue[*Request[T]]
	step    Step[T]
	// baseRecomputeFactor is the recompute factor at the current load, before the
	// account's backlog is added.
	baseRecomputeFactor float64
	// firstTokenLatency is the time to first token beyond the prefill.
	firstTokenLatency time.Duration
}

// Step is the work to be done now. Its slices are reused by the next step.
type Step[T any] struct {
	Sends    []Send[T]
	Refusals []Refusal[T]
}

// New returns a dispatcher over a pool, the index of its targets' caches, and a picker
// over both.
func New[T any](pool *placement.Pool, index *cacheindex.Index, picker *placement.Picker, o Options) *Dispatcher[T] {
	return &Dispatcher[T]{
		options: o, pool: pool, index: index, picker: picker,
		queue: fairqueue.New[*Request[T]](o.Queue), firstTokenLatency: defaultFirstTokenLatency,
	}
}

// ReplacePool sets a new pool and picker after a configuration change. Waiting requests
// are kept.
func (d *Dispatcher[T]) ReplacePool(pool *placement.Pool, picker *placement.Picker) {
	d.pool, d.picker = pool, picker
}

// SetMaxTargetBacklog changes Options.MaxTargetBacklog. In a large fleet, information
// about work sent by other instances is older; a low limit would hold requests back from
// targets that have become idle in the meantime.
func (d *Dispatcher[T]) SetMaxTargetBacklog(limit time.Duration) { d.options.MaxTargetBacklog = limit }

// Waiting returns the number of held requests.
func (d *Dispatcher[T]) Waiting() int { return d.queue.Len() }

// Push adds a request to the queue and performs a step.
func (d *Dispatcher[T]) Push(now time.Duration, r *Request[T], rng *rand.Rand) Step[T] {
	d.resetStep()
	cost, err := d.cost(now, r, rng)
	if err != nil {
		d.refuseNoTarget(r)
		return d.step
	}
	it := fairqueue.Item[*Request[T]]{
		ID: r.ID, Account: r.Account, Weight: r.Weight, Priority: r.Priority,
		Cost: cost, Deadline: r.Deadline, SoftDeadline: d.softDeadline(r, cost), Value: r,
	}
	if d.options.Queue.UrgencyFirst {
		it.MinServiceTime = d.picker.PrefillTime(cost)
	}
	d.addRefusals(d.queue.Push(now, it))
	d.scan(now, rng)
	return d.step
}

// defaultFirstTokenLatency is the time from sending a request to its first token that no
// cache can save, used until SetLatency is called: two engine steps and the network round
// trip.
const defaultFirstTokenLatency = 60 * time.Millisecond

// SetLatency sets the measured time to first token beyond the prefill.
func (d *Dispatcher[T]) SetLatency(latency time.Duration) { d.firstTokenLatency = latency }

// softDeadline returns the latest time to send a request so that it meets its objective.
func (d *Dispatcher[T]) softDeadline(r *Request[T], cost float64) time.Duration {
	if r.Objective == 0 {
		return 0
	}
	return r.Objective - d.firstTokenLatency - d.picker.PrefillTime(cost)
}

// minCostTokens is the minimum charge for a request, even if its prompt is fully cached.
const minCostTokens = 100

// cost returns the number of prompt tokens that the request will need prefilled.
// Accounts share the work of the targets, not the length of their prompts: a cached
// prompt costs the others nothing.
func (d *Dispatcher[T]) cost(now time.Duration, r *Request[T], rng *rand.Rand) (float64, error) {
	choice, err := d.picker.Pick(now, &r.Placement, rng)
	return max(minCostTokens, choice.UncachedTokens), err
}

// Step sends and refuses requests that are due. Call it when an answer or a load report
// has arrived or a target has changed, and every few milliseconds while requests wait.
func (d *Dispatcher[T]) Step(now time.Duration, rng *rand.Rand) Step[T] {
	d.resetStep()
	d.scan(now, rng)
	return d.step
}

// Cancel removes a waiting request whose caller has disconnected.
func (d *Dispatcher[T]) Cancel(account string, id uint64) bool {
	return d.queue.Cancel(account, id)
}

// SendTo sends a request to the named target, bypassing the queue. It is for requests
// suspected of crashing targets, which may only run on that target. It returns false if
// the target takes no new work.
func (d *Dispatcher[T]) SendTo(now time.Duration, r *Request[T], name string) (Send[T], bool) {
	i, ok := d.pool.Find(name)
	if !ok || d.pool.Rejected(i) {
		return Send[T]{}, false
	}
	d.resetStep()
	t := d.pool.Target(i)
	cached := d.index.Cached(t.Cache, r.Placement.Chain)
	uncached := max(0, r.Placement.PromptTokens-r.Placement.LeadingTokens(cached))
	d.send(now, r, t, placement.Decision{Index: i, CachedPieces: cached, UncachedTokens: float64(uncached)})
	return d.step.Sends[0], true
}

// Answered records the first token of an answer. Call either Answered or Failed once for
// each send.
func (d *Dispatcher[T]) Answered(s *Send[T]) {
	d.index.Answered(s.Identity, s.Request.Placement.Chain)
	if t, ok := d.currentTarget(s); ok {
		t.Load.Answered(s.SentAt, s.Decision.UncachedTokens)
	}
}

// RecordCachedTokens records the cached-token count at the end of an answer. A count
// below the expected one shows that the target has evicted pieces that the index still
// contains. It is ignored while cache events are followed, which are more accurate.
func (d *Dispatcher[T]) RecordCachedTokens(s *Send[T], cachedTokens int) {
	if d.picker.CacheStateKnown() {
		return
	}
	if cachedTokens < s.Request.Placement.LeadingTokens(s.Decision.CachedPieces) {
		d.index.RecordMiss(s.Identity, s.stamp)
	}
}

// Failed records an attempt that the target did not prefill.
func (d *Dispatcher[T]) Failed(s *Send[T]) {
	d.index.Failed(s.Identity, s.Request.Placement.Chain, s.Decision.CachedPieces)
	if t, ok := d.currentTarget(s); ok {
		t.Load.Failed(s.Decision.UncachedTokens)
	}
}

// currentTarget returns the target of a send, and whether it still runs the same
// incarnation. The load of an ended incarnation no longer counts.
func (d *Dispatcher[T]) currentTarget(s *Send[T]) (*placement.Target, bool) {
	i, ok := d.pool.Find(s.Identity.Target)
	if !ok {
		return nil, false
	}
	t := d.pool.Target(i)
	return t, t.Incarnation == s.Identity.Incarnation
}

func (d *Dispatcher[T]) resetStep() {
	clear(d.step.Sends)
	clear(d.step.Refusals)
	d.step.Sends, d.step.Refusals = d.step.Sends[:0], d.step.Refusals[:0]
}

func (d *Dispatcher[T]) addRefusals(list []fairqueue.Refusal[*Request[T]]) {
	for _, r := range list {
		d.step.Refusals = append(d.step.Refusals, Refusal[T]{Request: r.Item.Value, Reason: r.Reason, RetryAfter: r.RetryAfter})
	}
}

func (d *Dispatcher[T]) scan(now time.Duration, rng *rand.Rand) {
	d.addRefusals(d.queue.Sweep(now))
	if d.queue.Len() == 0 {
		return
	}
	d.pool.ClearPending()
	d.setBaseRecomputeFactor(now)
	d.queue.Scan(now, d.options.ScanLimit, func(it *fairqueue.Item[*Request[T]]) fairqueue.Verdict {
		return d.placeOrHold(now, it.Value, rng)
	})
	d.pool.ClearPending()
}

// setBaseRecomputeFactor updates the recompute factor for the current load.
func (d *Dispatcher[T]) setBaseRecomputeFactor(now time.Duration) {
	d.baseRecomputeFactor = d.options.RecomputeFactor
	if d.options.RecomputeBacklogUnit > 0 {
		units := float64(d.pool.MeanBacklog(now)) / float64(d.options.RecomputeBacklogUnit)
		d.baseRecomputeFactor = min(d.options.MaxRecomputeFactor, 1+units)
	}
}

// placeOrHold places one waiting request as if all requests before it had been sent. It
// sends the request, or leaves it in the queue if its target has enough work.
func (d *Dispatcher[T]) placeOrHold(now time.Duration, r *Request[T], rng *rand.Rand) fairqueue.Verdict {
	r.Placement.RecomputeFactor = d.recomputeFactor(r)
	choice, err := d.picker.Pick(now, &r.Placement, rng)
	if err != nil {
		d.refuseNoTarget(r)
		return fairqueue.Refuse
	}
	t := d.pool.Target(choice.Index)
	if d.pool.Backlog(choice.Index, now) >= d.options.MaxTargetBacklog || t.Full(now, &r.Placement) {
		t.Load.AddPending(choice.UncachedTokens)
		return fairqueue.Skip
	}
	d.send(now, r, t, choice)
	return fairqueue.Serve
}

// recomputeFactor increases with the backlog of the request's account. Otherwise the
// requests of an account that exceeds its share would spread to every target, recompute
// what is cached elsewhere, evict pieces that others need and slow the pool down further.
func (d *Dispatcher[T]) recomputeFactor(r *Request[T]) float64 {
	backlog := d.queue.Backlog(r.Account, r.Weight) - d.options.AccountBacklogGrace
	return d.baseRecomputeFactor + d.options.AccountBacklogFactor*max(0, backlog.Seconds())
}

func (d *Dispatcher[T]) refuseNoTarget(r *Request[T]) {
	d.step.Refusals = append(d.step.Refusals, Refusal[T]{Request: r, Reason: ReasonNoTarget, RetryAfter: noTargetRetryAfter})
}

// noTargetRetryAfter is the retry hint when no target is eligible: roughly the time that
// a target needs to recover.
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
	d.step.Sends = append(d.step.Sends, Send[T]{
		Request: r, Target: choice.Index, Identity: id, SentAt: now, Decision: choice, stamp: stamp,
	})
}
