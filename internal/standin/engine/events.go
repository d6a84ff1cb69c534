package engine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/prefix"
)

// Operations of cache events.
const (
	OpStored  = "stored"
	OpEvicted = "evicted"
	OpCleared = "cleared"
)

// maxRetainedEvents limits the events that are retained for readers.
const maxRetainedEvents = 4096

const eventPollInterval = 10 * time.Millisecond

// Event describes a change of the cache.
type Event struct {
	Seq    int64    `json:"seq"`
	Op     string   `json:"op"`
	Pieces []string `json:"pieces"`

	visibleAt time.Time
}

// Events is the response to GET /events.
type Events struct {
	Incarnation string  `json:"incarnation"`
	Next        int64   `json:"next"`
	Events      []Event `json:"events"`
}

// eventFeed retains the cache events. Readers see each event after a lag, and never
// see the lost ones.
type eventFeed struct {
	lag      time.Duration
	lossRate float64
	mu       sync.Mutex
	rng      *rand.Rand
	nextSeq  int64
	// events has the retained events without the lost ones, by sequence number.
	events []Event
}

func newEventFeed(lag time.Duration, lossRate float64, seed uint64) *eventFeed {
	return &eventFeed{lag: lag, lossRate: lossRate, rng: rand.New(rand.NewPCG(seed, seed))}
}

func (f *eventFeed) add(now time.Time, op string, pieces []prefix.Hash) {
	if len(pieces) == 0 && op != OpCleared {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	e := Event{Seq: f.nextSeq, Op: op, Pieces: make([]string, 0, len(pieces)), visibleAt: now.Add(f.lag)}
	f.nextSeq++
	if f.rng.Float64() < f.lossRate {
		return
	}
	for _, h := range pieces {
		e.Pieces = append(e.Pieces, fmt.Sprintf("%016x", uint64(h)))
	}
	f.events = append(f.events, e)
	if excess := len(f.events) - maxRetainedEvents; excess > 0 {
		f.events = f.events[excess:]
	}
}

// read returns the visible events with a sequence number of at least from, and the
// number to continue from.
func (f *eventFeed) read(now time.Time, from int64) ([]Event, int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	out, next := []Event{}, from
	for _, e := range f.events {
		if e.visibleAt.After(now) {
			break
		}
		if e.Seq >= from {
			out = append(out, e)
			next = e.Seq + 1
		}
	}
	return out, next
}

// longPoll is like read, but waits up to maxWait until there is an event.
func (f *eventFeed) longPoll(ctx context.Context, from int64, maxWait time.Duration) ([]Event, int64) {
	deadline := time.Now().Add(maxWait)
	for {
		events, next := f.read(time.Now(), from)
		if len(events) > 0 || !time.Now().Before(deadline) {
			return events, next
		}
		timer := time.NewTimer(eventPollInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return events, next
		}
	}
}
