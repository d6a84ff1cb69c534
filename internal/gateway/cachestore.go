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
	// cachePollWait is how long a question to a store waits for news;
	// shorter ones are charged as probes.
	cachePollWait = time.Second
	// cachePollInterval is the pause between questions, so that many events
	// come in one answer.
	cachePollInterval = 400 * time.Millisecond
	// cacheRetryDelay is the pause after a question without an answer.
	cacheRetryDelay = 500 * time.Millisecond
	// maxCacheReaders is the instances that read a store's events, under what
	// a store answers at once. The others hear of its life from these.
	maxCacheReaders = 8
)

// cacheStores are the stores of KV cache that this instance makes targets use.
// Each prompt has one store, by rendezvous hashing of its last shared piece, so
// that all instances save and look for it at the same place.
type cacheStores struct {
	g *Gateway

	mu        sync.Mutex
	addresses []string
	stores    map[string]*cacheStore
}

type cacheStore struct {
	index *storeindex.Index
	since int64
	// answeredAt is when the store answered last, here or as a peer reported.
	answeredAt time.Duration
	polling    bool
}

func newCacheStores(g *Gateway) *cacheStores {
	return &cacheStores{g: g, stores: map[string]*cacheStore{}}
}

// run follows the stores' events until ctx ends.
func (s *cacheStores) run(ctx context.Context) {
	for {
		reads := s.g.peers.rank() < maxCacheReaders
		for _, address := range s.updateStores(reads) {
			go s.poll(ctx, address)
		}
		if !sleep(ctx, cachePollInterval) {
			return
		}
	}
}

// updateStores finds the stores in the configuration in force, and gives those to
// read now.
func (s *cacheStores) updateStores(reads bool) []string {
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
				next[a] = &cacheStore{index: storeindex.New()}
			}
		}
		s.stores = next
	}
	var out []string
	for address, store := range s.stores {
		switch {
		case reads && !store.polling:
			store.polling = true
			out = append(out, address)
		case !reads:
			store.index.StopFollowing()
			if now-store.answeredAt > goneAfter {
				store.index.MarkUnreachable()
			}
		}
	}
	return out
}

// cacheStoreAddresses are the addresses of the configuration's stores, in order.
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

// poll asks one store what has changed.
func (s *cacheStores) poll(ctx context.Context, address string) {
	s.mu.Lock()
	store := s.stores[address]
	s.mu.Unlock()
	if store == nil {
		return
	}
	call, cancel := context.WithTimeout(ctx, cachePollWait+orderTimeout)
	defer cancel()
	news, err := s.g.control.CacheEvents(call, address, store.since, cachePollWait)
	if err != nil {
		sleep(ctx, cacheRetryDelay)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	store.polling = false
	_, was := store.index.Reachable()
	if err != nil {
		store.index.MarkUnreachable()
		if was {
			logline.Error(err, "cache_store_lost", "address", address)
		}
		return
	}
	if !was {
		logline.Info("cache_store_found", "address", address, "boot", news.BootEpoch)
	}
	store.answeredAt = s.g.clock.Now()
	store.index.Apply(store.answeredAt, news)
	store.since = news.Next
}

// storeAddress is the address storeAddress the store for a prompt with these shared pieces. The
// caller holds s.mu.
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

// cachePlan is what a request should do with the store of its pieces.
type cachePlan struct {
	// address is the store; empty for none that answers.
	address string
	// storedPieces is the leading pieces that it is known to hold.
	storedPieces int
	// save says that the target should save what it reads there.
	save bool
}

// plan says what a request with these shared pieces, and so many tokens in each
// of all its pieces, should do with their store.
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

// shouldSave says whether a target should save a prompt to a store that holds
// its first pieces. It saves all that it reads, also the own part, which nobody
// asks for again and which pushes out pieces that others need: once new weights
// are named and every opening is saved anew, the own parts alone fill a store.
// So a prompt is saved whose own part is not too large beside what is missing;
// the next one with the same opening may have a smaller one.
func shouldSave(held, shared int, tokens []int) bool {
	missing, own := 0, 0
	for i, n := range tokens {
		switch {
		case i >= shared:
			own += n
		case i >= held:
			missing += n
		}
	}
	return missing > 0 && own <= maxUnsharedSaveRatio*missing
}

// maxUnsharedSaveRatio is the size of an own part that is saved, as a multiple of what
// the store is missing.
const maxUnsharedSaveRatio = 2

// recordSave notes that a target has read pieces that it was asked to save, by this
// instance or by a peer.
func (s *cacheStores) recordSave(scope string, pieces []prefix.Hash) {
	now := s.g.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if address := s.storeAddress(pieces); address != "" {
		s.stores[address].index.RecordSave(now, scope, pieces)
	}
}

// reachableStores lists the stores that this instance reads, for its peers.
func (s *cacheStores) reachableStores() []wire.CacheStore {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []wire.CacheStore
	for address, store := range s.stores {
		if boot, ok := store.index.Reachable(); ok && store.polling {
			out = append(out, wire.CacheStore{Address: address, BootEpoch: boot})
		}
	}
	return out
}

// applyPeerReports takes in which stores a peer reads. An instance that reads a store
// itself knows better.
func (s *cacheStores) applyPeerReports(stores []wire.CacheStore) {
	now := s.g.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range stores {
		if store := s.stores[t.Address]; store != nil && !store.polling {
			store.answeredAt = now
			store.index.MarkReachable(t.BootEpoch)
		}
	}
}
