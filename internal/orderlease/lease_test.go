package orderlease

import (
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
	if at != m.record.End {
		return false
	}
	r.End = at + 1
	m.record = r
	return true
}

// acquire reads and writes once, as an instance does that wants the lease.
func acquire(l *Lease, m *memory, now time.Duration) bool {
	l.Read(now, m.record)
	at, r, ok := l.Propose(now)
	if !ok {
		return false
	}
	l.Sent(now)
	if !m.write(at, r) {
		l.Unwritten(at, true)
		return false
	}
	l.Written(now, at, r)
	return true
}

func TestFirstWriterHolds(t *testing.T) {
	is := is.New(t)
	var m memory
	s := DefaultSettings()
	a, b := New("a", s), New("b", s)
	a.Read(0, m.record)
	b.Read(0, m.record)
	is.True(acquire(a, &m, 0))
	at, r, ok := b.Propose(0) // from what it read before
	is.True(ok)
	is.True(!m.write(at, r))
	b.Unwritten(at, true)
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
	b.Read(100*time.Millisecond, m.record)
	is.True(!acquire(b, &m, s.Valid+s.Gap))
	is.True(acquire(b, &m, s.Valid+s.Gap+100*time.Millisecond))
	_, held := a.Held(s.Valid + s.Gap)
	is.True(!held)
	second, _ := b.Held(s.Valid + s.Gap + 100*time.Millisecond)
	is.True(second > first)
	is.True(!a.HeldLast() || a.record.End < m.record.End)
}

// The answer to a write is lost. The holder sends no order until it has read
// that the record is there, and then only for what is left of its right.
func TestLostAnswerIsSettledByReading(t *testing.T) {
	is := is.New(t)
	var m memory
	a := New("a", DefaultSettings())
	a.Read(0, m.record)
	at, r, _ := a.Propose(0)
	a.Sent(0)
	a.Unwritten(at, false)
	_, held := a.Held(0)
	is.True(!held)
	is.True(m.write(at, r)) // it was carried out late
	a.Read(time.Second, m.record)
	_, held = a.Held(time.Second)
	is.True(held)
	_, held = a.Held(DefaultSettings().Valid)
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
	b.Read(0, m.record)
	is.True(!acquire(b, &m, s.Gap-1))
	is.True(acquire(b, &m, s.Gap))
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
	renewal := s.Valid - s.RenewBefore
	at, _, ok := a.Propose(renewal)
	is.True(ok)
	a.Sent(renewal)
	a.Unwritten(at, false)
	a.Read(s.Valid, m.record)
	_, held := a.Held(s.Valid)
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
func TestRightsNeverOverlap(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := DefaultSettings()
		var m memory
		var now time.Duration
		names := []string{"a", "b", "c"}
		leases := map[string]*Lease{}
		for _, n := range names {
			leases[n] = New(n, s)
		}
		type late struct {
			at int64
			r  Record
		}
		var out []late
		last := map[string]time.Duration{} // when an order could last be sent
		for range rapid.IntRange(10, 120).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(rt, "ms")) * time.Millisecond
			l := leases[rapid.SampledFrom(names).Draw(rt, "who")]
			switch rapid.IntRange(0, 4).Draw(rt, "what") {
			case 0:
				l.Read(now, m.record)
			case 1:
				acquire(l, &m, now)
			case 2: // a write whose answer is lost, carried out later or never
				l.Read(now, m.record)
				if at, r, ok := l.Propose(now); ok {
					l.Sent(now)
					l.Unwritten(at, false)
					out = append(out, late{at, r})
				}
			case 3:
				if len(out) > 0 {
					i := rapid.IntRange(0, len(out)-1).Draw(rt, "which")
					m.write(out[i].at, out[i].r)
					out = append(out[:i], out[i+1:]...)
				}
			}
			for _, n := range names {
				if _, held := leases[n].Held(now); !held {
					continue
				}
				for other, at := range last {
					if other != n && now-at < s.Gap {
						rt.Fatalf("%s may order at %v, %s could at %v", n, now, other, at)
					}
				}
				last[n] = now
			}
		}
	})
}
