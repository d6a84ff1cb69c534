package engine

import (
	"bytes"
	"context"
	"os"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/mastictray/mastictray/internal/prefix"
	"github.com/mastictray/mastictray/internal/standin"
)

// Kinds of fault.
const (
	FaultKill       = "kill"
	FaultFreeze     = "freeze"
	FaultCrashOn    = "crash_on"
	FaultBadVersion = "bad_version"
	FaultSlow       = "slow"
)

const (
	crashStatus      = 3
	defaultMaxTokens = 32
	defaultGrace     = 2 * time.Second
	defaultBatch     = 64
)

// Config sizes an engine. Rates and delays are of the engine's own clock.
type Config struct {
	Model   string
	Version string
	Role    string
	// PieceBytes is the prompt bytes in one cached piece.
	PieceBytes int
	// CachePieces is how many pieces the cache holds.
	CachePieces int
	// PrefillTPS is the prompt tokens computed in a second.
	PrefillTPS float64
	// DecodeTPS is the tokens generated in a second by the whole batch.
	DecodeTPS float64
	// MinTokenInterval is the least time between two tokens of a stream.
	MinTokenInterval time.Duration
	// MaxBatch is how many streams are generated at once; default 64.
	MaxBatch int
	// ResumeGrace is how long a stream outlives its last reader; default 2s.
	ResumeGrace time.Duration
	// LoadReportLag is the age of what /load reports.
	LoadReportLag time.Duration
	// EventLag is how late cache events show up, EventLoss the part of
	// them that never does.
	EventLag      time.Duration
	EventLossRate float64
	// WeightsLoadTime is how long a change of weights takes when WeightsURL is
	// empty; else the bytes are read from there first.
	WeightsLoadTime time.Duration
	WeightsURL      string
	// ChecksFencing refuses orders with a fence below the highest seen.
	ChecksFencing bool
	// TimeScale speeds the engine's clock up; default 1.
	TimeScale float64
	// Seed is for the events that get lost.
	Seed uint64
	// Exit ends the process; default os.Exit.
	Exit func(status int)
}

func (c Config) withDefaults() Config {
	if c.MaxBatch == 0 {
		c.MaxBatch = defaultBatch
	}
	if c.ResumeGrace == 0 {
		c.ResumeGrace = defaultGrace
	}
	if c.TimeScale == 0 {
		c.TimeScale = 1
	}
	if c.Exit == nil {
		c.Exit = os.Exit
	}
	return c
}

// Engine is one incarnation of a model engine.
type Engine struct {
	cfg         Config
	incarnation string
	faults      *standin.Faults
	queue       *queue
	feed        *feed
	batch       chan struct{}
	ctx         context.Context
	cancel      context.CancelFunc

	mu      sync.Mutex
	streams map[string]*stream
	cache   *cache
	// prefilling is the prompt tokens of the job in prefill.
	prefilling int
	weights    weights
	loads      loadHistory
}

// New starts an engine with an empty cache and a new incarnation.
func New(cfg Config) *Engine {
	cfg = cfg.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{
		cfg:         cfg,
		incarnation: uuid.NewString(),
		faults:      standin.NewFaults(FaultKill, FaultFreeze, FaultCrashOn, FaultBadVersion, FaultSlow),
		queue:       newQueue(),
		feed:        newFeed(cfg.EventLag, cfg.EventLossRate, cfg.Seed),
		batch:       make(chan struct{}, cfg.MaxBatch),
		ctx:         ctx,
		cancel:      cancel,
		streams:     map[string]*stream{},
		cache:       newCache(cfg.CachePieces),
		weights:     weights{model: cfg.Model, version: cfg.Version, role: cfg.Role},
	}
	go e.prefillLoop()
	go e.loadLoop()
	return e
}

// Close stops the engine's own goroutines and its streams.
func (e *Engine) Close() {
	e.cancel()
	e.queue.close()
}

// Faults is the engine's set of faults.
func (e *Engine) Faults() *standin.Faults { return e.faults }

// sleep waits for d of the engine's clock, and for as long as it is frozen.
func (e *Engine) sleep(ctx context.Context, d time.Duration) error {
	if err := standin.Sleep(ctx, time.Duration(float64(d)/e.cfg.TimeScale)); err != nil {
		return err
	}
	return e.faults.WaitWhile(ctx, FaultFreeze)
}

// slowness is what the slow fault adds to each step.
func (e *Engine) slowness() time.Duration {
	f, _ := e.faults.Get(FaultSlow)
	return f.Delay()
}

// submit queues a request; its stream can be read at once.
func (e *Engine) submit(j *job) {
	e.mu.Lock()
	e.streams[j.stream.id] = j.stream
	e.mu.Unlock()
	e.queue.push(j)
}

func (e *Engine) find(id string) (*stream, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[id]
	return s, ok
}

// forget cancels a stream and drops its events.
func (e *Engine) forget(s *stream) {
	s.cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[s.id] == s {
		delete(e.streams, s.id)
	}
}

// prefillLoop computes one prompt at a time and hands it to the batch.
func (e *Engine) prefillLoop() {
	for {
		j := e.queue.pop()
		if j == nil {
			return
		}
		if j.stream.ctx.Err() != nil {
			j.stream.abort()
			continue
		}
		select {
		case e.batch <- struct{}{}:
		case <-e.ctx.Done():
			return
		}
		e.start(j)
	}
}

// start prefills one job and starts its generation. It holds a place in the
// batch, which it gives back when there is nothing to generate.
func (e *Engine) start(j *job) {
	e.crashIfMarked(j)
	version, ok := e.serving(j.wanted)
	if !ok {
		<-e.batch
		j.stream.refuse(codeWrongVersion)
		return
	}
	cached, err := e.prefill(j, version)
	if err != nil {
		<-e.batch
		j.stream.abort()
		return
	}
	go e.decode(j, cached)
}

// crashIfMarked ends the process for a prompt with the crash_on marker, or
// for any prompt while a bad version is served.
func (e *Engine) crashIfMarked(j *job) {
	if f, ok := e.faults.Get(FaultCrashOn); ok && f.Marker != "" && bytes.Contains(j.prompt, []byte(f.Marker)) {
		e.cfg.Exit(crashStatus)
	}
	version, _ := e.serving("")
	if f, ok := e.faults.Get(FaultBadVersion); ok && f.Marker == version {
		e.cfg.Exit(crashStatus)
	}
}

// prefill computes what the cache lacks, stores it, and returns the cached
// tokens.
func (e *Engine) prefill(j *job, version string) (int, error) {
	scope := prefix.Scope{Account: j.stream.account, Model: e.cfg.Model, Version: version}
	chain := prefix.Chain(nil, scope.Seed(), j.prompt, e.cfg.PieceBytes)
	e.mu.Lock()
	cached := e.cache.match(j.stream.account, chain) * e.cfg.PieceBytes / BytesPerToken
	e.prefilling = j.tokens - cached
	e.mu.Unlock()
	seconds := float64(j.tokens-cached) / e.cfg.PrefillTPS
	err := e.sleep(j.stream.ctx, time.Duration(seconds*float64(time.Second))+e.slowness())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prefilling = 0
	if err != nil {
		return 0, err
	}
	if e.weights.version == version {
		e.storeLocked(j.stream.account, chain)
	}
	return cached, nil
}

// storeLocked caches pieces and publishes what changed.
func (e *Engine) storeLocked(account string, chain []prefix.Hash) {
	stored, evicted := e.cache.store(account, chain)
	now := time.Now()
	e.feed.add(now, OpStored, stored)
	e.feed.add(now, OpEvicted, evicted)
}

// decode generates the answer, one chunk a token.
func (e *Engine) decode(j *job, cached int) {
	defer func() { <-e.batch }()
	s, n := j.stream, j.stream.req.MaxTokens
	text := NewTextGenerator(j.prompt)
	for i := range n {
		if i > 0 && e.sleep(s.ctx, e.interToken()) != nil {
			s.abort()
			return
		}
		s.chunk(text.TokenText(i))
	}
	s.finish(Usage{
		PromptTokens:        j.tokens,
		CompletionTokens:    n,
		TotalTokens:         j.tokens + n,
		PromptTokensDetails: PromptDetails{CachedTokens: cached},
	})
}

// interToken is the time to the next token: the batch shares the decode rate.
func (e *Engine) interToken() time.Duration {
	shared := time.Duration(float64(len(e.batch)) / e.cfg.DecodeTPS * float64(time.Second))
	return max(shared, e.cfg.MinTokenInterval) + e.slowness()
}
