package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/config"
)

const (
	loadEvery   = 250 * time.Millisecond
	loadTimeout = time.Second
	// loadMisses is how many questions in a row may stay unanswered.
	loadMisses   = 2
	maxReportAge = 10 * time.Second
)

// loadPoller asks every target of the engine pools for its load, one question
// after the other for each target.
type loadPoller struct {
	clock  clock
	client *http.Client
	events *http.Client
	// observed is told the incarnation in each answer.
	observed func(target, incarnation string)

	mu      sync.Mutex
	running map[string]polled
}

// polled is one target that is being asked.
type polled struct {
	address string
	pool    *enginePool
	stop    context.CancelFunc
}

func newLoadPoller(c clock) *loadPoller {
	return &loadPoller{
		clock:   c,
		client:  &http.Client{Timeout: loadTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
		events:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
		running: make(map[string]polled),
	}
}

// follow asks exactly these targets from now on.
func (l *loadPoller) follow(ctx context.Context, targets []config.Target, poolOf func(string) *enginePool) {
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
		l.running[t.Name] = polled{address: t.Address, pool: pool, stop: stop}
		go l.poll(own, t.Name, t.Address, pool)
		events := &eventReader{client: l.events, address: t.Address, target: t.Name, pool: pool}
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
		r, err := l.ask(ctx, address)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			missed = 0
			pool.observe(name, asked, l.asOf(asked, r), r)
			l.observed(name, r.Incarnation)
		} else if missed++; missed >= loadMisses {
			pool.unanswered(name)
		}
		sleep(ctx, loadEvery)
	}
}

func (l *loadPoller) ask(ctx context.Context, address string) (loadReport, error) {
	var r loadReport
	err := getJSON(ctx, l.client, "http://"+address+"/load", &r)
	return r, err
}

// asOf turns the target's wall clock into this process's time. A clock that is
// far off cannot make a report newer than its answer or very old.
func (l *loadPoller) asOf(asked time.Duration, r loadReport) time.Duration {
	now := l.clock.now()
	age := time.Duration(l.clock.wallMillis()-r.AsOfMS) * time.Millisecond
	age = min(max(age, 0), maxReportAge)
	return max(min(now-age, now), asked-maxReportAge)
}
