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

// memory is a store that keeps the record, and writes that are still out.
type memory struct{ record Record }

func (m *memory) write(at int64, r Record) bool {
	if at != m.record.NextOffset {
		return false
	}
	r.NextOffset = at + 1
	m.record = r
	return true
}

// acquire reads and writes once, as an instance does that wants the lease.
func acquire(l *Lease, m *memory, now time.Duration) bool {
	l.HandleRead(now, m.record)
	at, r, ok := l.Propose(now)
	if !ok {
		return false
	}
	l.MarkSent(now)
	if !m.write(at, r) {
		l.HandleWriteFailure(at, true)
		return false
	}
	l.HandleWritten(now, at, r)
	return true
}

func TestFirstWriterHolds(t *testing.T) {
	is := is.New(t)
	var m memory
	s := DefaultSettings()
	a, b := New("a", s), New("b", s)
	a.HandleRead(0, m.record)
	b.HandleRead(0, m.record)
	is.True(acquire(a, &m, 0))
	at, r, ok := b.Propose(0) // from what it read before
	is.True(ok)
	is.True(!m.write(at, r))
	b.HandleWriteFailure(at, true)
	is.True(!acquire(b, &m, time.Second))
	_, held := a.Held(time.Second)
	is.True(held)
}

// The holder stands still past the end of its right, and another instance
// takes over. Orders of both must lie the gap apart, or a target would hear
// two holders in turn.
func TestTakeoverKeepsTheGap(t *testing.T) {
	is := is.New(t)
	var m memory
	s := DefaultSettings()
	a, b := New("a", s), New("b", s)
	is.True(acquire(a, &m, 0))
	first, _ := a.Held(0)
	b.HandleRead(100*time.Millisecond, m.record)
	is.True(!acquire(b, &m, s.TTL+s.HandoverGap))
	is.True(acquire(b, &m, s.TTL+s.HandoverGap+100*time.Millisecond))
	_, held := a.Held(s.TTL + s.HandoverGap)
	is.True(!held)
	second, _ := b.Held(s.TTL + s.HandoverGap + 100*time.Millisecond)
	is.True(second > first)
	is.True(!a.IsLastHolder() || a.record.NextOffset < m.record.NextOffset)
}

// All instances lose power in a rollout. Callers have few targets until it goes
// on. The next process of the holder's instance knows that the one before gives
// no more orders, and waits for the gap only, counted from its own start; others
// can't know. It is another holder: its token is higher.
func TestNextProcessOfTheHolderWaitsForTheGapOnly(t *testing.T) {
	is := is.New(t)
	var m memory
	s := DefaultSettings()
	is.True(acquire(New("a1", s).WithInstance("a"), &m, 0))
	first := m.record.Token
	a, b := New("a2", s).WithInstance("a"), New("b2", s).WithInstance("b")
	start := time.Second
	a.HandleRead(start, m.record)
	b.HandleRead(start, m.record)
	is.True(!acquire(a, &m, start+s.HandoverGap-time.Millisecond))
	is.True(!acquire(b, &m, start+s.HandoverGap))
	is.True(acquire(a, &m, start+s.HandoverGap))
	is.True(m.record.Token > first)
	is.True(!acquire(b, &m, start+s.HandoverGap+s.TTL)) // it has to wait for a's right
}

// The answer to a write is lost. The holder sends no order until it has read
// that the record is there, and then only for what is left of its right.
func TestLostAnswerIsSettledByReading(t *testing.T) {
	is := is.New(t)
	var m memory
	a := New("a", DefaultSettings())
	a.HandleRead(0, m.record)
	at, r, _ := a.Propose(0)
	a.MarkSent(0)
	a.HandleWriteFailure(at, false)
	_, held := a.Held(0)
	is.True(!held)
	is.True(m.write(at, r)) // it was carried out late
	a.HandleRead(time.Second, m.record)
	_, held = a.Held(time.Second)
	is.True(held)
	_, held = a.Held(DefaultSettings().TTL)
	is.True(!held)
}

// A holder that leaves says so; the next one waits for the gap alone.
func TestReleaseSparesTheWaitForTheLapse(t *testing.T) {
	is := is.New(t)
	var m memory
	s := DefaultSettings()
	a, b := New("a", s), New("b", s)
	is.True(acquire(a, &m, 0))
	at, r, ok := a.Release()
	is.True(ok)
	is.True(m.write(at, r))
	_, held := a.Held(0)
	is.True(!held)
	_, _, ok = a.Propose(time.Hour)
	is.True(!ok)
	b.HandleRead(0, m.record)
	is.True(!acquire(b, &m, s.HandoverGap-1))
	is.True(acquire(b, &m, s.HandoverGap))
}

// A renewal is lost on its way, and the holder reads the record again. It still
// is its own, but the one from before: taken for the renewal it would stretch
// the right past the time at which another instance may take over.
func TestLostRenewalDoesNotStretchTheRight(t *testing.T) {
	is := is.New(t)
	var m memory
	s := DefaultSettings()
	a := New("a", s)
	is.True(acquire(a, &m, 0))
	renewal := s.TTL - s.RenewBefore
	at, _, ok := a.Propose(renewal)
	is.True(ok)
	a.MarkSent(renewal)
	a.HandleWriteFailure(at, false)
	a.HandleRead(s.TTL, m.record)
	_, held := a.Held(s.TTL)
	is.True(!held)
}

// The holder of the last rollout goes on at once in the next one.
func TestLastHolderNeedsNoWait(t *testing.T) {
	is := is.New(t)
	var m memory
	a := New("a", DefaultSettings())
	is.True(acquire(a, &m, 0))
	is.True(acquire(a, &m, time.Minute))
	_, held := a.Held(time.Minute)
	is.True(held)
}

// Instances read, write, lose answers and stand still in any order, and a
// write may be carried out much later. Whatever happens, rights of two
// instances never lie closer together than the gap.
func TestRightsNeverOverlap(t *testing.T) { checkRights(t, false) }

// The same, and processes end at any time with writes still on their way; the
// next one of the instance starts at once.
func TestRightsNeverOverlapOverRestarts(t *testing.T) { checkRights(t, true) }

func checkRights(t *testing.T, restarts bool) {
	rapid.Check(t, func(rt *rapid.T) {
		s := DefaultSettings()
		var m memory
		var now time.Duration
		names := []string{"a", "b", "c"}
		leases := map[string]*Lease{}
		for _, n := range names {
			leases[n] = New(n, s)
			if restarts {
				leases[n].WithInstance(n)
			}
		}
		starts := 0
		type late struct {
			at int64
			r  Record
		}
		var out []late
		last := map[string]time.Duration{} // when an order could last be sent
		for range rapid.IntRange(10, 120).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(rt, "ms")) * time.Millisecond
			who := rapid.SampledFrom(names).Draw(rt, "who")
			l := leases[who]
			switch rapid.IntRange(0, 4).Draw(rt, "what") {
			case 0:
				l.HandleRead(now, m.record)
			case 1:
				acquire(l, &m, now)
			case 2: // a write whose answer is lost, carried out later or never
				l.HandleRead(now, m.record)
				if at, r, ok := l.Propose(now); ok {
					l.MarkSent(now)
					l.HandleWriteFailure(at, false)
					out = append(out, late{at, r})
				}
			case 3:
				if len(out) > 0 {
					i := rapid.IntRange(0, len(out)-1).Draw(rt, "which")
					m.write(out[i].at, out[i].r)
					out = append(out[:i], out[i+1:]...)
				}
			case 4:
				if restarts {
					starts++
					leases[who] = New(fmt.Sprintf("%s-%d", who, starts), s).WithInstance(who)
				}
			}
			for _, n := range names {
				l := leases[n]
				if _, held := l.Held(now); !held {
					continue
				}
				for other, at := range last {
					if other != l.self && now-at < s.HandoverGap {
						rt.Fatalf("%s may order at %v, %s could at %v", l.self, now, other, at)
					}
				}
				last[l.self] = now
			}
		}
	})
}
