package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/config"
	"github.com/mastictray/mastictray/internal/prefix"
)

// Cache events of an earlier incarnation arrive after the target has restarted
// with an empty cache. If they were applied, requests would be sent there for
// pieces that are no longer cached.
func TestEventsOfAnotherIncarnationAreIgnored(t *testing.T) {
	is := is.New(t)
	p := newEnginePool(newClock(), "d")
	p.configure(config.Pool{Name: "p"}, config.Model{Version: "1"}, []config.Target{{Name: "t", Domain: "d"}}, 1)
	stored := []cacheEvent{{Op: opStored, Pieces: []string{"00000000000000aa"}}}
	chain := []prefix.Hash{0xaa}
	cachedPieces := func() int {
		i, _ := p.pool.Find("t")
		return p.cacheIndex.Cached(p.pool.Target(i).Cache, chain)
	}

	p.applyLoadReport("t", time.Second, time.Second, loadReport{Incarnation: "old", Version: "1"})
	is.True(p.applyCacheEvents("t", "old", stored))
	is.Equal(cachedPieces(), 1)

	p.applyLoadReport("t", 2*time.Second, 2*time.Second, loadReport{Incarnation: "new", Version: "1"})
	is.Equal(cachedPieces(), 0)
	is.True(!p.applyCacheEvents("t", "old", stored))
	is.Equal(cachedPieces(), 0)
}
