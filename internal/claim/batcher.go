package claim

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/platform"
)

// Append is an append to the claims stream that the caller of Ready has to make. Its
// outcome must be passed to Machine.AppendDone with the same ID.
type Append struct {
	ID      uint64
	Records [][]byte
}

// queuedRecord is a record that waits to be appended or is being appended.
type queuedRecord struct {
	data []byte
	// owner is the request of a claim. It is nil for results and abandons, which may
	// be appended more than once.
	owner *request
	// attempt identifies the claim; it is empty for other records.
	attempt  string
	queuedAt time.Duration
}

// needed is false for a claim whose request was given up. Such a claim must not be
// appended any more.
func (q queuedRecord) needed() bool {
	return q.owner == nil || q.owner.claimPending(q.attempt)
}

// logDownFailures is the number of consecutive failed appends after which new
// requests are refused at once instead of waiting for their claim.
const logDownFailures = 3

// batcher combines the records of many requests into one append.
type batcher struct {
	cfg         Config
	queue       []queuedRecord
	queuedBytes int
	nextID      uint64
	inFlight    map[uint64][]queuedRecord
	// notBefore is the earliest time of the next append after a failed one.
	notBefore           time.Duration
	consecutiveFailures int
}

func newBatcher(cfg Config) *batcher {
	return &batcher{cfg: cfg, inFlight: map[uint64][]queuedRecord{}}
}

func (b *batcher) queueFull() bool { return len(b.queue) >= b.cfg.MaxQueue }

// reserveFull is the limit for results and abandons. They complete claims that were
// already made, so they may fill the queue to twice its normal size.
func (b *batcher) reserveFull() bool { return len(b.queue) >= 2*b.cfg.MaxQueue }

// logDown reports whether appends keep failing and none is due that would test
// whether the log is available again.
func (b *batcher) logDown(now time.Duration) bool {
	return b.consecutiveFailures >= logDownFailures && (now < b.notBefore || len(b.inFlight) > 0)
}

func (b *batcher) add(q queuedRecord) {
	b.queue = append(b.queue, q)
	b.queuedBytes += len(q.data)
}

// nextBatch removes the next batch from the queue if one is due.
func (b *batcher) nextBatch(now time.Duration) (Append, bool) {
	b.dropUnneeded()
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
		b.queuedBytes -= len(b.queue[n].data)
		n++
	}
	b.inFlight[out.ID] = append([]queuedRecord(nil), b.queue[:n]...)
	b.queue = append([]queuedRecord(nil), b.queue[n:]...)
	return out, true
}

func (b *batcher) due(now time.Duration) bool {
	if len(b.queue) == 0 || now < b.notBefore || len(b.inFlight) >= b.cfg.MaxInFlight {
		return false
	}
	// After a failed append, make only one at a time until one succeeds.
	if b.consecutiveFailures > 0 && len(b.inFlight) > 0 {
		return false
	}
	return len(b.queue) >= b.cfg.MaxBatchRecords || b.queuedBytes >= b.cfg.MaxBatchBytes ||
		now-b.queue[0].queuedAt >= b.cfg.MaxBatchAge
}

func (b *batcher) dropUnneeded() {
	kept := b.queue[:0]
	for _, q := range b.queue {
		if q.needed() {
			kept = append(kept, q)
		} else {
			b.queuedBytes -= len(q.data)
		}
	}
	b.queue = kept
}

// appendDone handles the outcome of an append.
func (b *batcher) appendDone(now time.Duration, id uint64, err error) {
	records, ok := b.inFlight[id]
	if !ok {
		return
	}
	delete(b.inFlight, id)
	if err == nil {
		b.consecutiveFailures = 0
		return
	}
	b.consecutiveFailures++
	b.notBefore = now + b.cfg.RetryDelay
	if errors.Is(err, platform.ErrOutage) || errors.Is(err, platform.ErrRateLimited) {
		b.requeue(records)
		return
	}
	// The append may have taken effect, so claims must not be appended again: a
	// second copy could take the key after the first was abandoned. Retries would
	// then get may_have_run for the whole window, for a request that never ran.
	// A repeated result or abandon has no effect.
	b.requeue(withoutClaims(records))
}

func (b *batcher) requeue(records []queuedRecord) {
	for _, q := range records {
		b.queuedBytes += len(q.data)
	}
	b.queue = append(append([]queuedRecord(nil), records...), b.queue...)
}

func withoutClaims(records []queuedRecord) []queuedRecord {
	var out []queuedRecord
	for _, q := range records {
		if q.owner == nil {
			out = append(out, q)
		}
	}
	return out
}

// nextWakeup returns the time at which the next batch is due. ok is false if the
// queue is empty or the next batch has to wait for an append to complete.
func (b *batcher) nextWakeup() (at time.Duration, ok bool) {
	if len(b.queue) == 0 || len(b.inFlight) >= b.cfg.MaxInFlight {
		return 0, false
	}
	return max(b.notBefore, b.queue[0].queuedAt+b.cfg.MaxBatchAge), true
}
