package claim

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/platform"
)

// Append is one append to the claims stream that the caller has to make. Its
// outcome goes to Machine.AppendDone with the same ID.
type Append struct {
	ID      uint64
	Records [][]byte
}

// item is one record on its way to the log.
type item struct {
	data []byte
	// live is nil for records that may be appended more than once.
	live *request
	// attempt is the claim's; empty for other records.
	attempt string
	queued  time.Duration
}

// wanted is false for a claim whose request has given up: it must not reach
// the log any more.
func (i item) wanted() bool {
	return i.live == nil || i.live.claiming(i.attempt)
}

// downAfter is how many appends in a row must fail before new requests are
// refused at once instead of waiting for their claim.
const downAfter = 3

// batcher puts the records of many requests into one append.
type batcher struct {
	cfg      Config
	queue    []item
	bytes    int
	nextID   uint64
	inFlight map[uint64][]item
	// notBefore is set after a refusal: the log is left alone until then.
	notBefore time.Duration
	failures  int
}

func newBatcher(cfg Config) *batcher {
	return &batcher{cfg: cfg, inFlight: map[uint64][]item{}}
}

func (b *batcher) full() bool { return len(b.queue) >= b.cfg.MaxQueue }

// overfull is the bound for results and abandons: they end what claims began
// and get room of their own.
func (b *batcher) overfull() bool { return len(b.queue) >= 2*b.cfg.MaxQueue }

// down is true while the log refuses appends and no probe is due.
func (b *batcher) down(now time.Duration) bool {
	return b.failures >= downAfter && (now < b.notBefore || len(b.inFlight) > 0)
}

func (b *batcher) add(i item) {
	b.queue = append(b.queue, i)
	b.bytes += len(i.data)
}

// next cuts a batch when one is due.
func (b *batcher) next(now time.Duration) (Append, bool) {
	b.dropUnwanted()
	if !b.due(now) {
		return Append{}, false
	}
	b.nextID++
	out := Append{ID: b.nextID}
	size, n := 0, 0
	for n < len(b.queue) && n < b.cfg.MaxBatchRecords {
		size += len(b.queue[n].data)
		if n > 0 && size > b.cfg.MaxBatchBytes {
			break
		}
		out.Records = append(out.Records, b.queue[n].data)
		b.bytes -= len(b.queue[n].data)
		n++
	}
	b.inFlight[out.ID] = append([]item(nil), b.queue[:n]...)
	b.queue = append([]item(nil), b.queue[n:]...)
	return out, true
}

func (b *batcher) due(now time.Duration) bool {
	if len(b.queue) == 0 || now < b.notBefore || len(b.inFlight) >= b.cfg.MaxInFlight {
		return false
	}
	// While the log fails, one append at a time probes it.
	if b.failures > 0 && len(b.inFlight) > 0 {
		return false
	}
	return len(b.queue) >= b.cfg.MaxBatchRecords || b.bytes >= b.cfg.MaxBatchBytes ||
		now-b.queue[0].queued >= b.cfg.MaxBatchAge
}

func (b *batcher) dropUnwanted() {
	kept := b.queue[:0]
	for _, i := range b.queue {
		if i.wanted() {
			kept = append(kept, i)
		} else {
			b.bytes -= len(i.data)
		}
	}
	b.queue = kept
}

// done takes the outcome of an append.
func (b *batcher) done(now time.Duration, id uint64, err error) {
	items, ok := b.inFlight[id]
	if !ok {
		return
	}
	delete(b.inFlight, id)
	if err == nil {
		b.failures = 0
		return
	}
	b.failures++
	b.notBefore = now + b.cfg.RetryDelay
	if errors.Is(err, platform.ErrOutage) || errors.Is(err, platform.ErrRateLimited) {
		b.requeue(items)
		return
	}
	// The append may have taken effect. A claim must not be appended again: a
	// second copy could take the key after the first was abandoned, and repeats
	// would hear may_have_run for the whole window of a request that never ran.
	// Results and abandons change nothing when repeated.
	b.requeue(repeatable(items))
}

func (b *batcher) requeue(items []item) {
	for _, i := range items {
		b.bytes += len(i.data)
	}
	b.queue = append(append([]item(nil), items...), b.queue...)
}

func repeatable(items []item) []item {
	var out []item
	for _, i := range items {
		if i.live == nil {
			out = append(out, i)
		}
	}
	return out
}

// wake is when the batcher next has something to do; ok is false when it
// waits for nothing but answers.
func (b *batcher) wake() (at time.Duration, ok bool) {
	if len(b.queue) == 0 || len(b.inFlight) >= b.cfg.MaxInFlight {
		return 0, false
	}
	return max(b.notBefore, b.queue[0].queued+b.cfg.MaxBatchAge), true
}
