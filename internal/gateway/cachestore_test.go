package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/storeindex"
	"github.com/mastictray/mastictray/internal/wire"
)

// cutOffControl is a TargetControl whose calls all time out.
type cutOffControl struct{ unresponsiveTargets }

func (cutOffControl) CacheEvents(context.Context, string, int64, time.Duration) (storeindex.EventBatch, error) {
	return storeindex.EventBatch{}, errors.New("i/o timeout")
}

// Guards against an instance that has no targets fetch from a KV cache store, or save to it, because
// the instance itself can't reach it.
func TestCacheStoreOutOfReachIsUsedWhilePeersReportIt(t *testing.T) {
	is := is.New(t)
	const address = "127.0.0.1:2"
	p := startTestGateway(&memoryStore{newest: 2, targets: targetsOnVersions(2)}, "a")
	p.control = cutOffControl{}
	p.cache.addresses = []string{address}
	p.cache.stores[address] = &cacheStore{index: storeindex.New(), reportedAt: never}
	reachable := func() bool {
		p.cache.mu.Lock()
		defer p.cache.mu.Unlock()
		_, ok := p.cache.stores[address].index.Reachable()
		return ok
	}
	p.cache.poll(t.Context(), address)
	is.True(!reachable())
	p.cache.applyPeerReports([]wire.CacheStore{{Address: address, BootEpoch: 1}})
	is.True(reachable())
	p.cache.poll(t.Context(), address)
	is.True(reachable())
	is.Equal(len(p.cache.reachableStores()), 0) // it has nothing to report itself
	p.cache.stores[address].reportedAt = p.clock.Now() - 2*cacheReportValidity
	p.cache.poll(t.Context(), address)
	is.True(!reachable())
}

// Once new weights are named, every shared prefix is prefilled and saved again. Most are
// followed by an unshared part, and some of these are ten times as long as the others.
// Saved along with the prefixes, they would evict prefixes before these are requested
// again, and targets would compute those a second time.
func TestLongUnsharedPartsAreNotSaved(t *testing.T) {
	cases := map[string]struct {
		held, shared int
		tokens       []int
		want         bool
	}{
		"short unshared part":             {0, 2, []int{512, 4870, 2500}, true},
		"long unshared part":              {0, 2, []int{512, 4870, 20000}, false},
		"all shared pieces stored":        {2, 2, []int{512, 4870, 10}, false},
		"few shared tokens missing":       {1, 2, []int{341, 227, 1800}, false},
		"many shared tokens missing":      {1, 2, []int{341, 4000, 1800}, true},
		"single piece, counted as shared": {0, 1, []int{300}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(shouldSave(c.held, c.shared, c.tokens), c.want)
		})
	}
}
