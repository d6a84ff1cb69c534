package crashpieces

import (
	"testing"
	"time"
)

// fullTracker returns a tracker with all crashes, pieces and blocks that it can hold.
func fullTracker() *Tracker {
	t := New()
	for i := range maxBlocks * MinCrashes {
		t.Lost(time.Duration(i)*150*time.Millisecond, Target(i), []Piece{Piece(1 + i/MinCrashes)})
	}
	for i := range maxCrashes {
		pieces := make([]Piece, maxPiecesPerCrash)
		for j := range pieces {
			pieces[j] = Piece(1e6 + 1000*i + j)
		}
		t.Lost(time.Minute+time.Duration(i)*time.Millisecond, Target(1000+i), pieces)
	}
	for i := range 2 * maxHealthy {
		t.Answered([]Piece{Piece(1e9 + i)}, time.Minute)
	}
	return t
}

func BenchmarkCrash(b *testing.B) {
	t := fullTracker()
	b.ResetTimer()
	for i := range b.N {
		t.Lost(time.Minute+time.Second, Target(1e6+i), []Piece{1e9, 1e9 + 1})
	}
}

// All crashes have as many pieces as possible, none of them in common.
func BenchmarkCrashOfManyPieces(b *testing.B) {
	t := fullTracker()
	b.ResetTimer()
	for i := range b.N {
		pieces := make([]Piece, maxPiecesPerCrash)
		for j := range pieces {
			pieces[j] = Piece(1e12 + 1000*i + j)
		}
		t.Lost(time.Minute+time.Duration(i)*time.Millisecond, Target(1e6+i), pieces)
	}
}

func BenchmarkCheckAndAnswer(b *testing.B) {
	t := fullTracker()
	pieces := []Piece{1e9, 1e9 + 1, 1e9 + 2}
	b.ResetTimer()
	for i := range b.N {
		t.Check(time.Minute, pieces, never)
		t.Answered(pieces, time.Minute+time.Duration(i))
	}
}
