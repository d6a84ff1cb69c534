package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/cacheindex"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/prefix"
	"github.com/mastictray/mastictray/internal/routing"
)

const (
	// cacheEventsWait is how long a question to the store waits for news;
	// shorter ones are charged as probes.
	cacheEventsWait = time.Second
	// cacheEventsEvery is the pause between questions, so that many events
	// come in one answer.
	cacheEventsEvery = 400 * time.Millisecond
	// cacheRetry is the pause after a question without an answer.
	cacheRetry = 500 * time.Millisecond
)

// cacheStore is the store of KV cache that this instance makes targets use.
type cacheStore struct {
	g *Gateway

	mu      sync.Mutex
	address string
	index   *cacheindex.Index
	since   int64
}

func newCacheStore(g *Gateway) *cacheStore { return &cacheStore{g: g, index: cacheindex.New()} }

// run follows the store's events until ctx ends.
func (s *cacheStore) run(ctx context.Context) {
	for {
		pause := cacheRetry
		if address, since := s.locate(); address != "" {
			call, cancel := context.WithTimeout(ctx, cacheEventsWait+orderTimeout)
			news, err := s.g.control.CacheEvents(call, address, since, cacheEventsWait)
			cancel()
			s.take(address, news, err)
			if err == nil {
				pause = cacheEventsEvery
			}
		}
		if !sleep(ctx, pause) {
			return
		}
	}
}

// locate finds the store in the configuration in force.
func (s *cacheStore) locate() (string, int64) {
	t := s.g.table.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	address := cacheAddress(t)
	if address != s.address {
		s.address, s.index, s.since = address, cacheindex.New(), 0
	}
	return s.address, s.since
}

// cacheAddress is the address of the configuration's first store of KV cache.
func cacheAddress(t *routing.Table) string {
	if t == nil {
		return ""
	}
	for _, s := range t.Config().Services {
		if s.Cache != nil {
			return s.Cache.Address
		}
	}
	return ""
}

func (s *cacheStore) take(address string, news cacheindex.News, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if address != s.address {
		return
	}
	was := s.index.Alive()
	if err != nil {
		s.index.Down()
		if was {
			logline.Error(err, "cache_store_lost", "address", address)
		}
		return
	}
	if !was {
		logline.Info("cache_store_found", "address", address, "boot", news.Boot)
	}
	s.index.Apply(news)
	s.since = news.Next
}

// plan says whether a request should fetch its pieces from the store, and
// whether its target should save them there.
func (s *cacheStore) plan(scope string, pieces []prefix.Hash) (fetch, save string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.index.Alive() || len(pieces) == 0 {
		return "", ""
	}
	n := s.index.Holds(scope, pieces)
	if n > 0 {
		fetch = s.address
	}
	if n < len(pieces) {
		save = s.address
	}
	return fetch, save
}

// saved notes that a target has read pieces that it was told to save.
func (s *cacheStore) saved(scope string, pieces []prefix.Hash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index.Saved(scope, pieces)
}
