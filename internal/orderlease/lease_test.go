package orderlease

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/mastictray/mastictray/internal/propertytest"
)

func TestMain(m *testing.M) { propertytest.Main(m, 500) }

// memoryStore is a store in memory.
type memoryStore struct{ record Record }

func (m *memoryStore) write(at int64, r Record) bool {
	if at != m.record.NextOffset {
		return false
	}
	r.NextOffset = at + 1
	m.record = r
	return true
}

// tryAcquire reads and writes the record once, like an instance that wants the
// lease.
func tryAcquire(l *Lease, store *memoryStore, now time.Duration) bool {
	l.HandleRead(now, store.record)
	at, r, ok := l.Propose(now)
	if !ok {
		return false
	}
	l.MarkSent(now)
	if !store.write(at, r) {
		l.HandleWriteFailure(at, true)
		return false
	}
	l.HandleWritten(now, at, r)
	return true
}

func TestFirstWriterWins(t *testing.T) {
	is := is.New(t)
	var store memoryStore
	s := DefaultSettings()
	a, b := New("a", s), New("b", s)
	a.HandleRead(0, store.record)
	b.HandleRead(0, store.record)
	is.True(tryAcquire(a, &store, 0))
	at, r, ok := b.Propose(0) // based on its earlier read
	is.True(ok)
	is.True(!store.write(at, r))
	b.HandleWriteFailure(at, true)
	is.True(!tryAcquire(b, &store, time.Second))
	_, held := a.Held(time.Second)
	is.True(held)
}

// Guards against orders of two holders that reach a target alternately. The
// holder is paused past the end of its lease and another instance takes over.
// The orders of the two must be at least HandoverGap apart.
func TestTakeoverKeepsHandoverGap(t *testing.T) {
	is := is.New(t)
	var store memoryStore
	s := DefaultSettings()
	a, b := New("a", s), New("b", s)
	is.True(tryAcquire(a, &store, 0))
	first, _ := a.Held(0)
	b.HandleRead(100*time.Millisecond, store.record)
	is.True(!tryAcquire(b, &store, s.TTL+s.HandoverGap))
	is.True(tryAcquire(b, &store, s.TTL+s.HandoverGap+100*time.Millisecond))
	_, held := a.Held(s.TTL + s.HandoverGap)
	is.True(!held)
	second, _ := b.Held(s.TTL + s.HandoverGap + 100*time.Millisecond)
	is.True(second > first)
	is.True(!a.IsLastHolder() || a.record.NextOffset < store.record.NextOffset)
}

// Guards against a needless wait after all instances have restarted during a
// rollout, while few targets serve. The next process of the holder's instance
// knows that its predecessor sends no more orders. It waits only for
// HandoverGap, counted from its own start; other instances cannot know and wait
// longer. It is a new holder, so its token is higher.
func TestNextProcessOfHolderWaitsForHandoverGapOnly(t *testing.T) {
	is := is.New(t)
	var store memoryStore
	s := DefaultSettings()
	is.True(tryAcquire(New("a1", s).WithInstance("a"), &store, 0))
	first := store.record.Token
	a, b := New("a2", s).WithInstance("a"), New("b2", s).WithInstance("b")
	start := time.Second
	a.HandleRead(start, store.record)
	b.HandleRead(start, store.record)
	is.True(!tryAcquire(a, &store, start+s.HandoverGap-time.Millisecond))
	is.True(!tryAcquire(b, &store, start+s.HandoverGap))
	is.True(tryAcquire(a, &store, start+s.HandoverGap))
	is.True(store.record.Token > first)
	is.True(!tryAcquire(b, &store, start+s.HandoverGap+s.TTL)) // a's TTL has not passed
}

// The answer to a write is lost. The holder must not send orders until it has
// read its record back, and then only for what remains of the TTL.
func TestLostAnswerIsResolvedByRead(t *testing.T) {
	is := is.New(t)
	var store memoryStore
	a := New("a", DefaultSettings())
	a.HandleRead(0, store.record)
	at, r, _ := a.Propose(0)
	a.MarkSent(0)
	a.HandleWriteFailure(at, false)
	_, held := a.Held(0)
	is.True(!held)
	is.True(store.write(at, r)) // the write takes effect late
	a.HandleRead(time.Second, store.record)
	_, held = a.Held(time.Second)
	is.True(held)
	_, held = a.Held(DefaultSettings().TTL)
	is.True(!held)
}

// After a release, the next holder waits for HandoverGap only, not for the TTL.
func TestReleaseShortensTakeover(t *testing.T) {
	is := is.New(t)
	var store memoryStore
	s := DefaultSettings()
	a, b := New("a", s), New("b", s)
	is.True(tryAcquire(a, &store, 0))
	at, r, ok := a.Release()
	is.True(ok)
	is.True(store.write(at, r))
	_, held := a.Held(0)
	is.True(!held)
	_, _, ok = a.Propose(time.Hour)
	is.True(!ok)
	b.HandleRead(0, store.record)
	is.True(!tryAcquire(b, &store, s.HandoverGap-1))
	is.True(tryAcquire(b, &store, s.HandoverGap))
}

// Guards against an extended lease after a lost renewal. The holder reads the
// record again and finds its own, but the one from before the renewal. If it
// took that for the renewal, its lease would last beyond the time at which
// another instance may take over.
func TestLostRenewalDoesNotStretchTheRight(t *testing.T) {
	is := is.New(t)
	var store memoryStore
	s := DefaultSettings()
	a := New("a", s)
	is.True(tryAcquire(a, &store, 0))
	renewal := s.TTL - s.RenewBefore
	at, _, ok := a.Propose(renewal)
	is.True(ok)
	a.MarkSent(renewal)
	a.HandleWriteFailure(at, false)
	a.HandleRead(s.TTL, store.record)
	_, held := a.Held(s.TTL)
	is.True(!held)
}

// The holder of the last rollout continues without a wait in the next one.
func TestLastHolderNeedsNoWait(t *testing.T) {
	is := is.New(t)
	var store memoryStore
	a := New("a", DefaultSettings())
	is.True(tryAcquire(a, &store, 0))
	is.True(tryAcquire(a, &store, time.Minute))
	_, held := a.Held(time.Minute)
	is.True(held)
}

// Instances read, write, lose answers and pause in any order, and a write may
// take effect much later. Leases of two instances must always be at least
// HandoverGap apart.
func TestRightsNeverOverlap(t *testing.T) { checkRightsNeverOverlap(t, false) }

// The same, with processes that end at any time while their writes are in
// flight. The next process of the instance starts at once.
func TestRightsNeverOverlapOverRestarts(t *testing.T) { checkRightsNeverOverlap(t, true) }

func checkRightsNeverOverlap(t *testing.T, restarts bool) {
	rapid.Check(t, func(rt *rapid.T) {
		s := DefaultSettings()
		var store memoryStore
		var now time.Duration
		names := []string{"a", "b", "c"}
		leases := map[string]*Lease{}
		for _, n := range names {
			leases[n] = New(n, s)
			if restarts {
				leases[n].WithInstance(n)
			}
		}
		restartCount := 0
		type lateWrite struct {
			at int64
			r  Record
		}
		var lateWrites []lateWrite
		lastHeld := map[string]time.Duration{} // when a holder could last send an order
		for range rapid.IntRange(10, 120).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(rt, "ms")) * time.Millisecond
			name := rapid.SampledFrom(names).Draw(rt, "who")
			l := leases[name]
			switch rapid.IntRange(0, 4).Draw(rt, "what") {
			case 0:
				l.HandleRead(now, store.record)
			case 1:
				tryAcquire(l, &store, now)
			case 2: // a write whose answer is lost; it takes effect later or never
				l.HandleRead(now, store.record)
				if at, r, ok := l.Propose(now); ok {
					l.MarkSent(now)
					l.HandleWriteFailure(at, false)
					lateWrites = append(lateWrites, lateWrite{at, r})
				}
			case 3:
				if len(lateWrites) > 0 {
					i := rapid.IntRange(0, len(lateWrites)-1).Draw(rt, "which")
					store.write(lateWrites[i].at, lateWrites[i].r)
					lateWrites = append(lateWrites[:i], lateWrites[i+1:]...)
				}
			case 4:
				if restarts {
					restartCount++
					leases[name] = New(fmt.Sprintf("%s-%d", name, restartCount), s).WithInstance(name)
				}
			}
			for _, n := range names {
				l := leases[n]
				if _, held := l.Held(now); !held {
					continue
				}
				for other, at := range lastHeld {
					if other != l.self && now-at < s.HandoverGap {
						rt.Fatalf("%s may send orders at %v, but %s could at %v", l.self, now, other, at)
					}
				}
				lastHeld[l.self] = now
			}
		}
	})
}
