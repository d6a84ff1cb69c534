package entry

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/prefix"
)

const (
	eventsPollWait    = 5 * time.Second
	eventsPollTimeout = 8 * time.Second
	eventsRetryDelay  = time.Second
)

// cacheEvents is a target's answer to a question for its cache events.
type cacheEventsResponse struct {
	Incarnation string       `json:"incarnation"`
	Next        int64        `json:"next"`
	Events      []cacheEvent `json:"events"`
}

// cacheEvent says that a target stored or evicted pieces.
type cacheEvent struct {
	Seq    int64    `json:"seq"`
	Op     string   `json:"op"`
	Pieces []string `json:"pieces"`
}

// The operations of a cache event.
const (
	opStored  = "stored"
	opEvicted = "evicted"
	opCleared = "cleared"
)

// eventReader follows one target's cache events. It begins with those that the
// target still retains, so a restarted instance knows at once what is cached.
// A lost event costs hit rate only, so gaps are passed over.
type cacheEventReader struct {
	client  *http.Client
	address string
	target  string
	pool    *enginePool
}

func (r *cacheEventReader) run(ctx context.Context) {
	from, incarnation := int64(0), ""
	for ctx.Err() == nil {
		got, err := r.fetch(ctx, from)
		if err != nil {
			sleep(ctx, eventsRetryDelay)
			continue
		}
		if got.Incarnation != incarnation {
			// Offsets of another incarnation mean nothing here.
			incarnation = got.Incarnation
			if from != 0 {
				from = 0
				continue
			}
		}
		if !r.pool.applyCacheEvents(r.target, got.Incarnation, got.Events) {
			// The load question has not told of this incarnation yet.
			sleep(ctx, loadPollInterval)
			continue
		}
		from = got.Next
	}
}

func (r *cacheEventReader) fetch(ctx context.Context, from int64) (cacheEventsResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, eventsPollTimeout)
	defer cancel()
	var got cacheEventsResponse
	url := fmt.Sprintf("http://%s/events?from=%d&wait_ms=%d", r.address, from, eventsPollWait.Milliseconds())
	err := getJSON(ctx, r.client, url, &got)
	return got, err
}

// cached takes a target's cache events in. False when they are not from the
// incarnation that the target is known by: nothing is known of another.
func (p *enginePool) applyCacheEvents(name, incarnation string, events []cacheEvent) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	i, ok := p.pool.Find(name)
	if !ok || p.pool.Target(i).Incarnation != incarnation {
		return false
	}
	id := p.cacheIdentity(i)
	for _, e := range events {
		pieces, err := parsePieceHashes(e.Pieces)
		if err != nil {
			logline.Error(err, "cache_event_malformed", "target", name, "seq", e.Seq)
			continue
		}
		switch e.Op {
		case opStored:
			p.cacheIndex.Stored(id, pieces)
		case opEvicted:
			p.cacheIndex.Evicted(id, pieces)
		case opCleared:
			p.cacheIndex.Cleared(id)
		}
	}
	p.eventsRead[name] = true
	p.updateCacheStateKnown()
	return true
}

// checkFollowed tells the picker once the retained events of all targets that
// answer have been read: until then rendezvous order is the better guide.
// Callers hold mu.
func (p *enginePool) updateCacheStateKnown() {
	for i := range p.pool.Len() {
		if t := p.pool.Target(i); !p.eventsRead[t.Name] && !t.BreakerOpen {
			return
		}
	}
	p.picker.SetCacheStateKnown()
}

// counted takes in the cached-token count at the end of an answer.
func (p *enginePool) recordCachedTokens(pl placedAttempt, cachedTokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatcher.RecordCachedTokens(&pl.dispatchSend, cachedTokens)
}

func parsePieceHashes(list []string) ([]prefix.Hash, error) {
	pieces := make([]prefix.Hash, 0, len(list))
	for _, s := range list {
		h, err := strconv.ParseUint(s, 16, 64)
		if err != nil {
			return nil, err
		}
		pieces = append(pieces, prefix.Hash(h))
	}
	return pieces, nil
}
