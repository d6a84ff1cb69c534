package sendbuffer

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// testBudget allows a number of bytes.
type testBudget struct{ left, taken int }

func (b *testBudget) Take(n int) bool {
	if n > b.left-b.taken {
		return false
	}
	b.taken += n
	return true
}

func (b *testBudget) Return(n int) { b.taken -= n }

// Guards against a stream whose caller gets other bytes, or in another order, than the target
// sent, and against a budget that is not returned.
func TestBytesStayInOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		budget := &testBudget{left: 16 << 10}
		b := Buffer{Budget: budget}
		var sent, taken []byte
		for range rapid.IntRange(0, 60).Draw(rt, "steps") {
			data := bytes.Repeat([]byte{byte(len(sent))}, rapid.IntRange(0, 9000).Draw(rt, "size"))
			n := b.Add(0, data)
			sent = append(sent, data[:n]...)
			next := b.Next()
			b.Add(0, nil)
			n = rapid.IntRange(0, len(next)).Draw(rt, "taken")
			taken = append(taken, next[:n]...)
			b.Taken(0, n)
			if b.Len() != len(sent)-len(taken) || b.Len() > MaxBytes || budget.taken > budget.left || budget.taken < 0 {
				rt.Fatalf("len=%d sent=%d taken=%d budget=%d", b.Len(), len(sent), len(taken), budget.taken)
			}
		}
		if !bytes.HasPrefix(sent, taken) {
			rt.Fatal("bytes differ")
		}
		b.Discard()
		if budget.taken != 0 {
			rt.Fatalf("not returned: %d", budget.taken)
		}
	})
}

// Guards against a slow caller that is cut off although it reads, and one that never reads and
// is never given up.
func TestOnlyCallerThatTakesNothingStalls(t *testing.T) {
	is := is.New(t)
	var b Buffer
	b.Add(time.Hour, make([]byte, 100))
	now := time.Hour
	for range 20 { // it takes a byte each few seconds
		now += 5 * time.Second
		is.True(!b.Stalled(now))
		b.Taken(now, 1)
	}
	is.True(!b.Stalled(now + DefaultStallTimeout - 1))
	is.True(b.Stalled(now + DefaultStallTimeout))
	b.Taken(now, 80)
	is.True(!b.Stalled(now + time.Hour)) // nothing is ready
}

// Guards against thousands of slow callers that fill the memory of an instance: what they keep
// beyond one block each stays within the budget, and each can still go on.
func TestManySlowCallersStayWithinBudget(t *testing.T) {
	is := is.New(t)
	const callers = 2000
	budget := &testBudget{left: 8 << 20}
	buffers := make([]Buffer, callers)
	kept := 0
	for i := range buffers {
		buffers[i].Budget = budget
		kept += buffers[i].Add(0, make([]byte, 2*MaxBytes))
		is.True(buffers[i].Len() >= blockBytes)
	}
	is.Equal(kept, callers*blockBytes+budget.left)
	for i := range buffers {
		n := len(buffers[i].Next())
		buffers[i].Taken(0, n)
		is.Equal(buffers[i].Add(0, make([]byte, n)), n)
	}
}
