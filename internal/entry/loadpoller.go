package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/config"
	"github.com/mastictray/mastictray/internal/responsecheck"
	"github.com/mastictray/mastictray/internal/targetconn"
)

const (
	loadPollInterval = 250 * time.Millisecond
	loadPollTimeout  = time.Second
	// maxMissedPolls is the number of consecutive failed load queries after
	// which a target counts as unresponsive.
	maxMissedPolls = 2
	maxReportAge   = 10 * time.Second
)

// loadPoller queries the load of every target of the engine pools. Each target
// has at most one query in flight.
type loadPoller struct {
	clock        clock
	loadClient   *http.Client
	eventsClient *http.Client
	// onIncarnation is called with the incarnation in each load report.
	onIncarnation func(target, incarnation string)

	mu      sync.Mutex
	running map[string]polledTarget
}

// polledTarget is a target that is being polled.
type polledTarget struct {
	address string
	pool    *enginePool
	stop    context.CancelFunc
}

func newLoadPoller(c clock, dial targetconn.DialFunc) *loadPoller {
	return &loadPoller{
		clock:        c,
		loadClient:   &http.Client{Timeout: loadPollTimeout, Transport: responsecheck.NewTransport(&http.Transport{DialContext: dial, MaxIdleConnsPerHost: 1})},
		eventsClient: &http.Client{Transport: responsecheck.NewTransport(&http.Transport{DialContext: dial, MaxIdleConnsPerHost: 1})},
		running:      make(map[string]polledTarget),
	}
}

// setTargets starts polling the given targets and stops polling all others.
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
		if current, ok := l.running[t.Name]; ok {
			if current.address == t.Address && current.pool == pool {
				continue
			}
			current.stop()
		}
		targetCtx, stop := context.WithCancel(ctx)
		l.running[t.Name] = polledTarget{address: t.Address, pool: pool, stop: stop}
		go l.poll(targetCtx, t.Name, t.Address, pool)
		events := &cacheEventReader{client: l.eventsClient, address: t.Address, target: t.Name, pool: pool}
		go events.run(targetCtx)
	}
	for name, current := range l.running {
		if !wanted[name] {
			current.stop()
			delete(l.running, name)
		}
	}
}

func (l *loadPoller) poll(ctx context.Context, name, address string, pool *enginePool) {
	missed := 0
	for ctx.Err() == nil {
		queriedAt := l.clock.now()
		r, err := l.fetchLoad(ctx, address)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			missed = 0
			pool.applyLoadReport(name, queriedAt, l.reportTime(queriedAt, r), r)
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

// reportTime converts the report's wall clock time to this process's monotonic
// clock. The result is limited to the time between maxReportAge before the
// query and now, in case the target's clock is wrong.
func (l *loadPoller) reportTime(queriedAt time.Duration, r loadReport) time.Duration {
	now := l.clock.now()
	age := time.Duration(l.clock.wallMillis()-r.AsOfMS) * time.Millisecond
	age = min(max(age, 0), maxReportAge)
	return max(min(now-age, now), queriedAt-maxReportAge)
}
