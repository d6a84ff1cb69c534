package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/cacheindex"
	"github.com/mastictray/mastictray/internal/prefix"
)

// Guards against large prompts that wait for a claim to the memory of their home target while
// other targets have room.
func TestRequestsGoWhereMemoryIsFree(t *testing.T) {
	is := is.New(t)
	const memory, delay = 200_000, 500 * time.Millisecond
	targets := []Target{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	for i := range targets {
		targets[i].MemoryTokens, targets[i].Memory = memory, NewMemoryShare("self")
		targets[i].PrefillTokensPerSecond = 68_200
	}
	pool := NewPool(targets, "", DefaultFilters())
	picker, rng := NewPicker(pool, cacheindex.New(1<<20), DefaultOptions()), rand.New(rand.NewPCG(1, 1))
	r := &Request{Chain: []prefix.Hash{1, 2}, PieceEnds: []int{500, 5000}, PromptTokens: 12_000, HeldTokens: 12_500}
	home, err := picker.Pick(0, r, rng)
	is.NoErr(err)
	for i := range pool.Len() {
		pool.Target(i).Memory.SetPeers(0, delay, nil)
	}
	pool.Target(home.Index).PeersHeldTokens = memory * 8 / 10
	other, err := picker.Pick(0, r, rng)
	is.NoErr(err)
	is.True(other.Index != home.Index)
	is.True(!pool.Target(other.Index).Full(0, r))
}
