package membudget

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const megabyte = 1 << 20

// Guards against thousands of slow callers that end the process: an instance with 144 MB and
// 2,000 callers that each want 32 KB of their response kept stays 20% under its memory, and
// goes on accepting requests, relays and small responses.
func TestSlowCallersLeaveRoomForOtherWork(t *testing.T) {
	is := is.New(t)
	const (
		memory          = 144 * megabyte
		callers         = 2000
		connectionBytes = 12 << 10
		blockBytes      = 4 << 10
		blocks          = 7 // beyond the first one, which is part of the connection
		requestBytes    = 20 << 10
	)
	b := New(memory)
	paused := 0
	for range callers {
		b.Charge(Connections, connectionBytes)
		for range blocks {
			if !b.Take(Responses, blockBytes) {
				paused++
				break
			}
		}
	}
	is.True(paused > 0)
	is.True(b.Peak() <= b.Total())
	is.True(float64(b.Peak()+reservedBytes) <= maxUse*memory)
	accepted := 0
	for b.Take(Requests, requestBytes) {
		accepted++
	}
	is.True(accepted >= 400)
	is.True(b.Take(Relays, requestBytes))
	is.True(float64(b.Peak()+reservedBytes) <= maxUse*memory)
}

// Guards against large requests that take the memory which responses under way need.
func TestRequestsLeaveOthersTheirShare(t *testing.T) {
	is := is.New(t)
	b := New(184 * megabyte)
	for b.Take(Requests, 4*megabyte) {
	}
	is.True(!b.Take(Requests, 4*megabyte))
	for _, c := range []Class{Responses, Relays, Connections} {
		is.True(b.Take(c, int64(0.9*shares[c].guaranteed*float64(b.Total()))))
	}
	b.Return(Requests, 8*megabyte)
	is.True(b.Take(Requests, 4*megabyte))
}

// Guards against a budget that leaks or is exceeded: whatever is taken and returned, in any order.
func TestTakenAndReturnedAddUp(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := New(int64(rapid.IntRange(64, 536).Draw(rt, "memory")) * megabyte)
		var taken []struct {
			class Class
			bytes int64
		}
		for range rapid.IntRange(0, 200).Draw(rt, "steps") {
			c, n := Class(rapid.IntRange(0, int(classCount)-1).Draw(rt, "class")), int64(rapid.IntRange(0, 4*megabyte).Draw(rt, "bytes"))
			if b.Take(c, n) {
				taken = append(taken, struct {
					class Class
					bytes int64
				}{c, n})
			}
			if len(taken) > 0 && rapid.Bool().Draw(rt, "return") {
				i := rapid.IntRange(0, len(taken)-1).Draw(rt, "which")
				b.Return(taken[i].class, taken[i].bytes)
				taken = append(taken[:i], taken[i+1:]...)
			}
			if b.usedAll() > b.total {
				rt.Fatalf("used=%d total=%d", b.usedAll(), b.total)
			}
		}
		for _, x := range taken {
			b.Return(x.class, x.bytes)
		}
		if b.usedAll() != 0 {
			rt.Fatalf("left=%d", b.usedAll())
		}
	})
}

// Guards against large requests that keep small ones out: a part of the class is left to these.
func TestLargeRequestsLeaveRoomForSmallOnes(t *testing.T) {
	is := is.New(t)
	b := New(96 * megabyte)
	for b.TakeLarge(Requests, megabyte) {
	}
	is.True(b.Used(Requests) > 0)
	small := 0
	for b.Take(Requests, 64<<10) {
		small++
	}
	is.True(small >= 64)
	is.True(b.Peak() <= b.Total())
}

// Guards against a small instance that refuses streams because of memory that is kept for what it
// never does: 431 of them are served at a time with 64 MB.
func TestUnusedClassesKeepNothing(t *testing.T) {
	is := is.New(t)
	const streams, connectionBytes, requestBytes = 431, 16 << 10, 16 << 10
	b := New(64*megabyte, Responses)
	for range streams {
		is.True(b.Take(Connections, connectionBytes))
		is.True(b.Take(Requests, requestBytes))
	}
}
