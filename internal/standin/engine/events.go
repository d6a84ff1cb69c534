package engine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/prefix"
)

// Ops of cache events.
const (
	OpStored  = "stored"
	OpEvicted = "evicted"
	OpCleared = "cleared"
)

// maxEvents is how many events are kept for readers.
const maxEvents = 4096

const eventPoll = 10 * time.Millisecond

// Event is one change of the cache.
type Event struct {
	Seq    int64    `json:"seq"`
	Op     string   `json:"op"`
	Pieces []string `json:"pieces"`

	visible time.Time
}

// Events is the answer to GET /events.
type Events struct {
	Incarnation string  `json:"incarnation"`
	Next        int64   `json:"next"`
	Events      []Event `json:"events"`
}

// feed is the stream of cache events: each shows up late, and some never.
type feed struct {
	lag  time.Duration
	loss float64
	mu   sync.Mutex
	rng  *rand.Rand
	next int64
	// events are those not lost, in order.
	events []Event
}

func newFeed(lag time.Duration, loss float64, seed uint64) *feed {
	return &feed{lag: lag, loss: loss, rng: rand.New(rand.NewPCG(seed, seed))}
}

func (f *feed) add(now time.Time, op string, pieces []prefix.Hash) {
	if len(pieces) == 0 && op != OpCleared {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	e := Event{Seq: f.next, Op: op, Pieces: make([]string, 0, len(pieces)), visible: now.Add(f.lag)}
	f.next++
	if f.rng.Float64() < f.loss {
		return
	}
	for _, h := range pieces {
		e.Pieces = append(e.Pieces, fmt.Sprintf("%016x", uint64(h)))
	}
	f.events = append(f.events, e)
	if drop := len(f.events) - maxEvents; drop > 0 {
		f.events = f.events[drop:]
	}
}

// read returns the visible events from a sequence number on, and the number
// to ask for next.
func (f *feed) read(now time.Time, from int64) ([]Event, int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	out, next := []Event{}, from
	for _, e := range f.events {
		if e.visible.After(now) {
			break
		}
		if e.Seq >= from {
			out = append(out, e)
			next = e.Seq + 1
		}
	}
	return out, next
}

// wait is read, and waits up to d for an event.
func (f *feed) wait(ctx context.Context, from int64, d time.Duration) ([]Event, int64) {
	end := time.Now().Add(d)
	for {
		events, next := f.read(time.Now(), from)
		if len(events) > 0 || !time.Now().Before(end) {
			return events, next
		}
		t := time.NewTimer(eventPoll)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return events, next
		}
	}
}
