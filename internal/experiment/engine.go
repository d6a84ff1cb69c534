package experiment

import (
	"fmt"
	"time"

	"github.com/mastictray/mastictray/internal/cacheindex"
	"github.com/mastictray/mastictray/internal/prefix"
)

// prefillOverhead is the fixed time of one prefill.
const prefillOverhead = 4 * time.Millisecond

// job is one attempt at an engine. Exactly one of done and failed is called.
type job struct {
	call   *call
	chain  []prefix.Hash
	due    time.Duration
	done   func(cached int)
	failed func(late bool)
	// uncached is the tokens to prefill, as known when it was queued.
	uncached float64
}

// engine is a queue, a prefill rate and an LRU of pieces.
type engine struct {
	f       *fleet
	index   int
	name    string
	domain  string
	up      bool
	version string
	starts  int
	cache   *lru
	waiting []*job
	running *job
	ends    time.Duration
	busy    time.Duration
	// expected counts the accepted jobs that will leave a piece here.
	expected map[prefix.Hash]int
	// inbound is the uncached tokens that are on their way here.
	inbound float64
	// history is the cache events that a reader can still ask for.
	history []cacheChange
}

func newEngine(f *fleet, i int) *engine {
	e := &engine{f: f, index: i, name: fmt.Sprintf("engine-%02d", i), domain: f.w.Domains[i%len(f.w.Domains)], version: "v1"}
	e.start()
	return e
}

func (e *engine) identity() cacheindex.Identity {
	return cacheindex.Identity{Target: e.name, Incarnation: fmt.Sprint(e.starts), Version: e.version}
}

func (e *engine) start() {
	e.starts++
	e.up = true
	e.history = nil
	e.cache = newLRU(e.f.w.CachePieces)
	e.expected = map[prefix.Hash]int{}
}

// stop ends the incarnation; all its jobs fail.
func (e *engine) stop() {
	e.up = false
	jobs := e.waiting
	if e.running != nil {
		jobs = append(jobs, e.running)
	}
	e.waiting, e.running = nil, nil
	for _, j := range jobs {
		j.failed(false)
	}
}

func (e *engine) submit(j *job) {
	if !e.up {
		j.failed(false)
		return
	}
	j.uncached = float64(j.call.tokens - e.cache.lead(j.chain)*e.f.w.PieceTokens)
	e.waiting = append(e.waiting, j)
	e.next()
}

// expect notes what a job will leave here, n being 1 when it is sent and -1
// when it ends.
func (e *engine) expect(chain []prefix.Hash, n int) {
	for _, h := range chain {
		if e.expected[h] += n; e.expected[h] <= 0 {
			delete(e.expected, h)
		}
	}
}

// coming is the number of leading pieces that are here or will be.
func (e *engine) coming(chain []prefix.Hash) int {
	for i, h := range chain {
		if e.cache.at[h] == nil && e.expected[h] == 0 {
			return i
		}
	}
	return len(chain)
}

// queued is the prompt tokens that wait to be prefilled.
func (e *engine) queued() float64 {
	sum := 0.0
	for _, j := range e.waiting {
		sum += j.uncached
	}
	if e.running != nil {
		sum += (e.ends - e.f.clock.now).Seconds() * e.f.w.PrefillRate
	}
	return sum
}

// next starts the prefill of the first job that is not too late.
func (e *engine) next() {
	for e.running == nil && len(e.waiting) > 0 {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		if e.f.clock.now > j.due {
			j.failed(true)
			continue
		}
		e.prefill(j)
	}
}

func (e *engine) prefill(j *job) {
	cached := e.cache.lead(j.chain)
	e.f.measure.prefilled(j.call, cached, e.f.bestElsewhere(e, j.chain))
	uncached := float64(j.call.tokens - cached*e.f.w.PieceTokens)
	d := prefillOverhead + time.Duration(uncached/e.f.w.PrefillRate*float64(time.Second))
	e.running, e.ends = j, e.f.clock.now+d
	e.busy += d
	e.cache.use(j.chain[:cached])
	e.f.clock.after(d, func() {
		if e.running != j {
			return // the incarnation ended
		}
		e.running = nil
		stored, evicted := e.cache.use(j.chain)
		e.f.publish(e, cacheChange{e.f.clock.now, e.identity(), stored, evicted})
		j.done(cached)
		e.next()
	})
}
