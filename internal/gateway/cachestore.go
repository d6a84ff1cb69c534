package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/placement"
	"github.com/mastictray/mastictray/internal/prefix"
	"github.com/mastictray/mastictray/internal/routing"
	"github.com/mastictray/mastictray/internal/storeindex"
	"github.com/mastictray/mastictray/internal/wire"
)

const (
	// cachePollWait is how long a poll of a store waits for events. Shorter polls are
	// charged as probes.
	cachePollWait = time.Second
	// cachePollInterval is the pause between polls, so that one response carries many
	// events.
	cachePollInterval = 400 * time.Millisecond
	// cacheRetryDelay is the pause after a failed poll.
	cacheRetryDelay = 500 * time.Millisecond
	// maxCacheReaders is the maximum number of instances that poll a store, below the
	// number of requests that a store serves at once. They tell the other instances whether
	// the store is reachable.
	maxCacheReaders = 8
	// cacheReportValidity is how long a store counts as reachable that a peer has reported as
	// such and that doesn't respond to this instance.
	cacheReportValidity = 2 * time.Second
)

// cacheStores tracks the KV cache stores that this instance tells targets to use. Each
// prompt is assigned to one store by rendezvous hashing of its last shared piece, so that
// all instances save and look up the prompt in the same store.
type cacheStores struct {
	g *Gateway

	mu        sync.Mutex
	addresses []string
	stores    map[string]*cacheStore
}

// cacheStore is what is known of one store.
type cacheStore struct {
	index *storeindex.Index
	// since is the position from which to poll next.
	since int64
	// answeredAt is when the store last responded to this instance, or when a peer last
	// reported it as reachable.
	answeredAt time.Duration
	// reportedAt is when a peer last reported the store as reachable.
	reportedAt time.Duration
	// polling is set while this instance polls the store, failing if its last poll failed.
	polling, failing bool
}

func newCacheStores(g *Gateway) *cacheStores {
	return &cacheStores{g: g, stores: map[string]*cacheStore{}}
}

// run polls the stores until ctx ends.
func (s *cacheStores) run(ctx context.Context) {
	for {
		isReader := s.g.peers.rank() < maxCacheReaders
		for _, address := range s.updateStores(isReader) {
			go s.poll(ctx, address)
		}
		if !sleep(ctx, cachePollInterval) {
			return
		}
	}
}

// updateStores adopts the stores of the configuration in force and returns the addresses of
// those to poll now. isReader says whether this instance polls stores.
func (s *cacheStores) updateStores(isReader bool) []string {
	addresses := cacheStoreAddresses(s.g.table.Load())
	now := s.g.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Equal(addresses, s.addresses) {
		s.addresses = addresses
		next := map[string]*cacheStore{}
		for _, a := range addresses {
			next[a] = s.stores[a]
			if next[a] == nil {
				next[a] = &cacheStore{index: storeindex.New(), reportedAt: never}
			}
		}
		s.stores = next
	}
	var out []string
	for address, store := range s.stores {
		switch {
		case isReader && !store.polling:
			store.polling = true
			out = append(out, address)
		case !isReader:
			store.index.StopFollowing()
			if now-store.answeredAt > peerExpiry {
				store.index.MarkUnreachable()
			}
		}
	}
	return out
}

// cacheStoreAddresses returns the addresses of the configured stores in sorted order.
func cacheStoreAddresses(t *routing.Table) []string {
	var out []string
	if t == nil {
		return nil
	}
	for _, s := range t.Config().Services {
		if s.Cache != nil {
			out = append(out, s.Cache.Address)
		}
	}
	slices.Sort(out)
	return out
}

// poll asks one store for new events.
func (s *cacheStores) poll(ctx context.Context, address string) {
	s.mu.Lock()
	store := s.stores[address]
	s.mu.Unlock()
	if store == nil {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, cachePollWait+targetCallTimeout)
	defer cancel()
	batch, err := s.g.control.CacheEvents(callCtx, address, store.since, cachePollWait)
	if err != nil {
		sleep(ctx, cacheRetryDelay)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	store.polling, store.failing = false, err != nil
	_, wasReachable := store.index.Reachable()
	if err != nil {
		store.index.StopFollowing()
		if s.g.clock.Now()-store.reportedAt <= cacheReportValidity {
			return // targets reach the store, as peers do
		}
		store.index.MarkUnreachable()
		if wasReachable {
			logline.Error(err, "cache_store_lost", "address", address)
		}
		return
	}
	if !wasReachable {
		logline.Info("cache_store_found", "address", address, "boot", batch.BootEpoch)
	}
	store.answeredAt = s.g.clock.Now()
	store.index.Apply(store.answeredAt, batch)
	store.since = batch.Next
}

// storeAddress returns the address of the store for a prompt with these shared pieces;
// empty if there is none. The caller holds s.mu.
func (s *cacheStores) storeAddress(pieces []prefix.Hash) string {
	if len(s.addresses) == 0 || len(pieces) == 0 {
		return ""
	}
	usable := make([]bool, len(s.addresses))
	for i := range usable {
		usable[i] = true
	}
	return s.addresses[placement.RendezvousOrder(pieces[len(pieces)-1], s.addresses, usable)[0]]
}

// cachePlan says how a request uses the store of its prompt.
type cachePlan struct {
	// address is the address of the store; empty if it is not reachable.
	address string
	// storedPieces is the number of leading pieces that the store is known to have.
	storedPieces int
	// save says that the target should save the pieces that it prefills to the store.
	save bool
}

// plan returns how a request uses the store of its prompt. pieces are the prompt's shared
// pieces, tokens the sizes of all its pieces.
func (s *cacheStores) plan(scope string, pieces []prefix.Hash, tokens []int) cachePlan {
	now := s.g.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	address := s.storeAddress(pieces)
	if address == "" {
		return cachePlan{}
	}
	index := s.stores[address].index
	if _, ok := index.Reachable(); !ok {
		return cachePlan{}
	}
	n := index.LeadingStored(now, scope, pieces)
	return cachePlan{address: address, storedPieces: n, save: shouldSave(n, len(pieces), tokens)}
}

// shouldSave reports whether a target should save a prompt to a store that has the first
// held of its shared pieces. A target saves everything that it prefills, including the
// unshared part of the prompt, which is never requested again and evicts pieces that other
// requests need. Once new weights are named, every shared prefix is saved again, and the
// unshared parts alone would fill a store. A prompt is therefore saved only if its unshared
// part is not too large compared to the missing shared pieces. A later prompt with the same
// prefix may have a smaller unshared part.
func shouldSave(held, shared int, tokens []int) bool {
	missing, unshared := 0, 0
	for i, n := range tokens {
		switch {
		case i >= shared:
			unshared += n
		case i >= held:
			missing += n
		}
	}
	return missing > 0 && unshared <= maxUnsharedSaveRatio*missing
}

// maxUnsharedSaveRatio is the largest unshared part that is saved, as a multiple of the
// shared tokens that the store is missing.
const maxUnsharedSaveRatio = 2

// recordSave records that a target has prefilled pieces that this instance or a peer
// instructed it to save.
func (s *cacheStores) recordSave(scope string, pieces []prefix.Hash) {
	now := s.g.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if address := s.storeAddress(pieces); address != "" {
		s.stores[address].index.RecordSave(now, scope, pieces)
	}
}

// reachableStores returns the reachable stores that this instance polls, for its peers.
func (s *cacheStores) reachableStores() []wire.CacheStore {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []wire.CacheStore
	for address, store := range s.stores {
		if boot, ok := store.index.Reachable(); ok && store.polling && !store.failing {
			out = append(out, wire.CacheStore{Address: address, BootEpoch: boot})
		}
	}
	return out
}

// applyPeerReports records the stores that a peer polls as reachable. Stores that respond to
// this instance are skipped, because its own information is better.
func (s *cacheStores) applyPeerReports(stores []wire.CacheStore) {
	now := s.g.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, report := range stores {
		store := s.stores[report.Address]
		if store == nil {
			continue
		}
		store.reportedAt = now
		if !store.polling || store.failing {
			store.answeredAt = now
			store.index.MarkReachable(report.BootEpoch)
		}
	}
}
