package experiment

import (
	"fmt"
	"time"

	"github.com/mastictray/mastictray/internal/cacheindex"
	"github.com/mastictray/mastictray/internal/prefix"
)

// prefillOverhead is the time of a prefill in addition to that of its tokens.
const prefillOverhead = 4 * time.Millisecond

// job is one attempt to run a request on an engine. Exactly one of onDone and
// onFailed is called.
type job struct {
	request   *request
	chain     []prefix.Hash
	expiresAt time.Duration
	onDone    func(cached int)
	onFailed  func(late bool)
	// uncachedTokens is the number of tokens that were not cached when the job
	// was queued.
	uncachedTokens float64
}

// engine models a model engine by a queue, a prefill rate and an LRU cache.
type engine struct {
	sim          *simulation
	index        int
	name         string
	domain       string
	up           bool
	version      string
	incarnation  int
	cache        *lru
	queue        []*job
	running      *job
	runningUntil time.Duration
	busyTime     time.Duration
	// expectedPieces counts, for each piece, the jobs sent to this engine that will
	// store it.
	expectedPieces map[prefix.Hash]int
	// inboundTokens is the number of uncached tokens of the jobs in transit to this
	// engine.
	inboundTokens float64
	// retainedEvents has the cache events that a router can still request.
	retainedEvents []cacheChange
}

func newEngine(sim *simulation, i int) *engine {
	e := &engine{sim: sim, index: i, name: fmt.Sprintf("engine-%02d", i), domain: sim.workload.Domains[i%len(sim.workload.Domains)], version: "v1"}
	e.start()
	return e
}

func (e *engine) identity() cacheindex.Identity {
	return cacheindex.Identity{Target: e.name, Incarnation: fmt.Sprint(e.incarnation), Version: e.version}
}

func (e *engine) start() {
	e.incarnation++
	e.up = true
	e.retainedEvents = nil
	e.cache = newLRU(e.sim.workload.CachePieces)
	e.expectedPieces = map[prefix.Hash]int{}
}

// stop ends the incarnation of the engine. All its jobs fail.
func (e *engine) stop() {
	e.up = false
	jobs := e.queue
	if e.running != nil {
		jobs = append(jobs, e.running)
	}
	e.queue, e.running = nil, nil
	for _, j := range jobs {
		j.onFailed(false)
	}
}

func (e *engine) submit(j *job) {
	if !e.up {
		j.onFailed(false)
		return
	}
	j.uncachedTokens = float64(j.request.tokens - e.cache.prefixLen(j.chain)*e.sim.workload.PieceTokens)
	e.queue = append(e.queue, j)
	e.startNext()
}

// addExpected adds delta to the expected pieces of a job's chain: 1 when the job is
// sent and -1 when it ends.
func (e *engine) addExpected(chain []prefix.Hash, delta int) {
	for _, h := range chain {
		if e.expectedPieces[h] += delta; e.expectedPieces[h] <= 0 {
			delete(e.expectedPieces, h)
		}
	}
}

// expectedPrefixLen returns the number of leading pieces that are cached or
// expected.
func (e *engine) expectedPrefixLen(chain []prefix.Hash) int {
	for i, h := range chain {
		if e.cache.entries[h] == nil && e.expectedPieces[h] == 0 {
			return i
		}
	}
	return len(chain)
}

// queuedTokens returns the number of uncached tokens that are not yet prefilled.
func (e *engine) queuedTokens() float64 {
	sum := 0.0
	for _, j := range e.queue {
		sum += j.uncachedTokens
	}
	if e.running != nil {
		sum += (e.runningUntil - e.sim.clock.now).Seconds() * e.sim.workload.PrefillRate
	}
	return sum
}

// startNext starts the prefill of the first queued job whose deadline has not
// passed, and fails the jobs before it.
func (e *engine) startNext() {
	for e.running == nil && len(e.queue) > 0 {
		j := e.queue[0]
		e.queue = e.queue[1:]
		if e.sim.clock.now > j.expiresAt {
			j.onFailed(true)
			continue
		}
		e.prefill(j)
	}
}

func (e *engine) prefill(j *job) {
	cachedPieces := e.cache.prefixLen(j.chain)
	e.sim.metrics.recordPrefill(j.request, cachedPieces, e.sim.longestPrefixElsewhere(e, j.chain))
	uncachedTokens := float64(j.request.tokens - cachedPieces*e.sim.workload.PieceTokens)
	duration := prefillOverhead + time.Duration(uncachedTokens/e.sim.workload.PrefillRate*float64(time.Second))
	e.running, e.runningUntil = j, e.sim.clock.now+duration
	e.busyTime += duration
	e.cache.touch(j.chain[:cachedPieces])
	e.sim.clock.after(duration, func() {
		if e.running != j {
			return // the incarnation ended
		}
		e.running = nil
		stored, evicted := e.cache.touch(j.chain)
		e.sim.publish(e, cacheChange{e.sim.clock.now, e.identity(), stored, evicted})
		j.onDone(cachedPieces)
		e.startNext()
	})
}
