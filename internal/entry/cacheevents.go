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
	// eventsPollWait is how long a target may hold a query open while it has no
	// new events.
	eventsPollWait    = 5 * time.Second
	eventsPollTimeout = 8 * time.Second
	eventsRetryDelay  = time.Second
)

// cacheEventsResponse is a target's response to a query for its cache events.
type cacheEventsResponse struct {
	Incarnation string       `json:"incarnation"`
	Next        int64        `json:"next"`
	Events      []cacheEvent `json:"events"`
}

// cacheEvent reports that a target stored or evicted pieces, or cleared its
// cache.
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

// cacheEventReader reads one target's cache events. It begins with the oldest
// events that the target retains, so that a restarted instance soon knows what
// is cached. Gaps are ignored, as a lost event only lowers the hit rate.
type cacheEventReader struct {
	client  *http.Client
	address string
	target  string
	pool    *enginePool
}

func (r *cacheEventReader) run(ctx context.Context) {
	from, incarnation := int64(0), ""
	for ctx.Err() == nil {
		resp, err := r.fetch(ctx, from)
		if err != nil {
			sleep(ctx, eventsRetryDelay)
			continue
		}
		if resp.Incarnation != incarnation {
			// Offsets of different incarnations are not comparable.
			incarnation = resp.Incarnation
			if from != 0 {
				from = 0
				continue
			}
		}
		if !r.pool.applyCacheEvents(r.target, resp.Incarnation, resp.Events) {
			// The load poller has not seen this incarnation yet.
			sleep(ctx, loadPollInterval)
			continue
		}
		from = resp.Next
	}
}

func (r *cacheEventReader) fetch(ctx context.Context, from int64) (cacheEventsResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, eventsPollTimeout)
	defer cancel()
	var resp cacheEventsResponse
	url := fmt.Sprintf("http://%s/events?from=%d&wait_ms=%d", r.address, from, eventsPollWait.Milliseconds())
	err := getJSON(ctx, r.client, url, &resp)
	return resp, err
}

// applyCacheEvents adds a target's cache events to the index. It returns false
// and ignores them if they are not from the target's known incarnation.
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

// updateCacheStateKnown notifies the picker once the retained events of all
// available targets have been read. Until then, rendezvous order predicts the
// cached prefixes better than the index. p.mu must be held.
func (p *enginePool) updateCacheStateKnown() {
	for i := range p.pool.Len() {
		if t := p.pool.Target(i); !p.eventsRead[t.Name] && !t.BreakerOpen {
			return
		}
	}
	p.picker.SetCacheStateKnown()
}

// recordCachedTokens records the cached-token count at the end of a response.
func (p *enginePool) recordCachedTokens(pl placedAttempt, cachedTokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatcher.RecordCachedTokens(&pl.dispatchSend, cachedTokens)
}

func parsePieceHashes(encoded []string) ([]prefix.Hash, error) {
	pieces := make([]prefix.Hash, 0, len(encoded))
	for _, s := range encoded {
		h, err := strconv.ParseUint(s, 16, 64)
		if err != nil {
			return nil, err
		}
		pieces = append(pieces, prefix.Hash(h))
	}
	return pieces, nil
}
