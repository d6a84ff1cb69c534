// Package sendbuffer keeps the part of a response that its caller has not taken yet.
//
// Callers may read slowly. If a response were read from its target only as fast as the caller
// takes it, the target would keep a slot and memory for the caller and cut the response off
// when it remains unread for some seconds. A Buffer takes what the target sends, up to a bound,
// and tells when a caller has taken nothing for so long that it is given up. One that takes
// anything is served to the end.
//
// The package does no I/O and reads no clock.
package sendbuffer

import "time"

const (
	// blockBytes is the size of the blocks in which a Buffer allocates memory, and the most
	// that Next returns.
	blockBytes = 4 << 10
	// MaxBytes is the most that a Buffer keeps: more than most streams have in all, and little
	// enough for thousands of slow callers.
	MaxBytes = 32 << 10
	// DefaultStallTimeout is how long a caller may take nothing of what is ready before it is given
	// up: well above the pauses of callers that go on reading.
	DefaultStallTimeout = 12 * time.Second
)

// Budget grants the memory of buffers. Its calls come in pairs: what was taken is returned.
type Budget interface {
	// Take reports whether a buffer may keep that many bytes more.
	Take(bytes int) bool
	Return(bytes int)
}

// Buffer is the unsent part of one connection. It is not safe for concurrent use. The zero value
// is an empty buffer without a budget.
type Buffer struct {
	// Budget, if not nil, is asked for each block but the first, which every caller may use.
	Budget Budget
	// StallTimeout replaces the default unless it is 0.
	StallTimeout time.Duration
	blocks       [][]byte
	bytes        int
	// waitingSince is when data was last taken, or became ready in an empty buffer.
	waitingSince time.Duration
}

// Len returns the number of bytes that are kept.
func (b *Buffer) Len() int { return b.bytes }

// Add keeps a copy of as much of data as the bound and the budget allow, and returns how much
// that was.
func (b *Buffer) Add(now time.Duration, data []byte) int {
	if b.bytes == 0 {
		b.waitingSince = now
	}
	added := 0
	for added < len(data) {
		if !b.hasSpace() && !b.grow() {
			break
		}
		last := &b.blocks[len(b.blocks)-1]
		n := min(len(data)-added, cap(*last)-len(*last))
		*last = append(*last, data[added:added+n]...)
		added += n
	}
	b.bytes += added
	return added
}

// hasSpace reports whether the last block has.
func (b *Buffer) hasSpace() bool {
	n := len(b.blocks)
	return n > 0 && len(b.blocks[n-1]) < cap(b.blocks[n-1])
}

// grow adds a block.
func (b *Buffer) grow() bool {
	n := len(b.blocks)
	if n >= MaxBytes/blockBytes || n > 0 && b.Budget != nil && !b.Budget.Take(blockBytes) {
		return false
	}
	b.blocks = append(b.blocks, make([]byte, 0, blockBytes))
	return true
}

// Next returns what is to be sent next; nil if there is nothing. It stays valid while more is
// added.
func (b *Buffer) Next() []byte {
	if b.bytes == 0 {
		return nil
	}
	return b.blocks[0]
}

// Taken removes the first n bytes, which the caller has taken.
func (b *Buffer) Taken(now time.Duration, n int) {
	if n == 0 {
		return
	}
	b.waitingSince = now
	b.bytes -= n
	b.blocks[0] = b.blocks[0][n:]
	if len(b.blocks[0]) > 0 {
		return
	}
	if len(b.blocks) > 1 {
		b.returnBlocks(1)
	}
	b.blocks[0] = nil // another block may be written to, this one no more
	b.blocks = b.blocks[1:]
}

// Discard removes everything.
func (b *Buffer) Discard() {
	if len(b.blocks) > 1 {
		b.returnBlocks(len(b.blocks) - 1)
	}
	b.blocks, b.bytes = nil, 0
}

func (b *Buffer) returnBlocks(n int) {
	if b.Budget != nil {
		b.Budget.Return(n * blockBytes)
	}
}

// Stalled reports whether the caller has taken nothing for so long that it is given up.
func (b *Buffer) Stalled(now time.Duration) bool {
	return b.bytes > 0 && now-b.waitingSince >= b.Timeout()
}

// Timeout returns the time after which a caller that takes nothing is given up.
func (b *Buffer) Timeout() time.Duration {
	if b.StallTimeout > 0 {
		return b.StallTimeout
	}
	return DefaultStallTimeout
}
