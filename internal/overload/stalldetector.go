package overload

import "time"

// StallDetector detects a target that stops answering without closing its connections, for
// example after a power failure or a network partition. Requests sent to it would wait
// until their deadlines. It is not safe for concurrent use.
type StallDetector struct {
	// lastProgress is when data of any answer last arrived.
	lastProgress time.Duration
	// aliveAt is when the target was last known to be running without data of an answer.
	aliveAt time.Duration
	pending map[uint64]pendingRequest
	lastID  uint64
}

type pendingRequest struct {
	sentAt time.Duration
	// streaming is set once the answer has begun.
	streaming bool
}

const (
	// streamStallTimeout is the time without data after which a target with active streams
	// counts as stalled. Sound targets may pause for about a second. Streams that are resumed
	// after it still continue before callers give up.
	streamStallTimeout = 1500 * time.Millisecond
	// firstByteStallTimeout is that time for a target that only has requests whose answers
	// have not begun. A busy engine may need almost as long for a first token.
	firstByteStallTimeout = 2 * time.Second
)

// Begin records a request that is sent and returns its number.
func (d *StallDetector) Begin(now time.Duration) uint64 {
	if d.pending == nil {
		d.pending = map[uint64]pendingRequest{}
	}
	d.lastID++
	d.pending[d.lastID] = pendingRequest{sentAt: now}
	return d.lastID
}

// Progress records that data of a request's answer arrived.
func (d *StallDetector) Progress(now time.Duration, id uint64) {
	d.lastProgress = now
	if r, ok := d.pending[id]; ok && !r.streaming {
		r.streaming = true
		d.pending[id] = r
	}
}

// Alive records that the target has shown in another way that it is running. The time without
// data counts anew from now.
func (d *StallDetector) Alive(now time.Duration) { d.aliveAt = now }

// AnsweredSince reports whether data of any answer arrived after the given time.
func (d *StallDetector) AnsweredSince(at time.Duration) bool { return d.lastProgress > at }

// End records that a request has finished.
func (d *StallDetector) End(id uint64) { delete(d.pending, id) }

// Stalled reports whether the target has sent nothing for too long while it had requests to
// answer. The time before the oldest pending request does not count, as no data was
// expected then.
func (d *StallDetector) Stalled(now time.Duration) bool {
	oldest, limit := now, firstByteStallTimeout
	for _, r := range d.pending {
		oldest = min(oldest, r.sentAt)
		if r.streaming {
			limit = streamStallTimeout
		}
	}
	return now-max(d.lastProgress, d.aliveAt, oldest) > limit
}
