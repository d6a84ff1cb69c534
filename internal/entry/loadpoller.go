package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/config"
)

const (
	loadPollInterval = 250 * time.Millisecond
	loadPollTimeout  = time.Second
	// loadMisses is how many questions in a row may stay unanswered.
	maxMissedPolls = 2
	maxReportAge   = 10 * time.Second
)

// loadPoller asks every target of the engine pools for its load, one question
// after the other for each target.
type loadPoller struct {
	clock        clock
	loadClient   *http.Client
	eventsClient *http.Client
	// observed is told the incarnation in each answer.
	onIncarnation func(target, incarnation string)

	mu      sync.Mutex
	running map[string]polledTarget
}

// polled is one target that is being asked.
type polledTarget struct {
	address string
	pool    *enginePool
	stop    context.CancelFunc
}

func newLoadPoller(c clock) *loadPoller {
	return &loadPoller{
		clock:        c,
		loadClient:   &http.Client{Timeout: loadPollTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
		eventsClient: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
		running:      make(map[string]polledTarget),
	}
}

// follow asks exactly these targets from now on.
func (l *loadPoller) setTargets(ctx context.Context, targets []config.Target, poolOf func(string) *enginePool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wanted := make(map[string]bool, len(targets))
	for _, t := range targets {
		pool := poolOf(t.Pool)
		if pool == nil {
			continue
		}
		wanted[t.Name] = true
		if was, ok := l.running[t.Name]; ok {
			if was.address == t.Address && was.pool == pool {
				continue
			}
			was.stop()
		}
		own, stop := context.WithCancel(ctx)
		l.running[t.Name] = polledTarget{address: t.Address, pool: pool, stop: stop}
		go l.poll(own, t.Name, t.Address, pool)
		events := &cacheEventReader{client: l.eventsClient, address: t.Address, target: t.Name, pool: pool}
		go events.run(own)
	}
	for name, was := range l.running {
		if !wanted[name] {
			was.stop()
			delete(l.running, name)
		}
	}
}

func (l *loadPoller) poll(ctx context.Context, name, address string, pool *enginePool) {
	missed := 0
	for ctx.Err() == nil {
		asked := l.clock.now()
		r, err := l.fetchLoad(ctx, address)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			missed = 0
			pool.applyLoadReport(name, asked, l.reportTime(asked, r), r)
			l.onIncarnation(name, r.Incarnation)
		} else if missed++; missed >= maxMissedPolls {
			pool.markUnresponsive(name)
		}
		sleep(ctx, loadPollInterval)
	}
}

func (l *loadPoller) fetchLoad(ctx context.Context, address string) (loadReport, error) {
	var r loadReport
	err := getJSON(ctx, l.loadClient, "http://"+address+"/load", &r)
	return r, err
}

// asOf turns the target's wall clock into this process's time. A clock that is
// far off cannot make a report newer than its answer or very old.
func (l *loadPoller) reportTime(asked time.Duration, r loadReport) time.Duration {
	now := l.clock.now()
	age := time.Duration(l.clock.wallMillis()-r.AsOfMS) * time.Millisecond
	age = min(max(age, 0), maxReportAge)
	return max(min(now-age, now), asked-maxReportAge)
}
