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

// Supported kinds of fault.
const (
	FaultKill       = "kill"
	FaultFreeze     = "freeze"
	FaultCrashOn    = "crash_on"
	FaultBadVersion = "bad_version"
	FaultSlow       = "slow"
	FaultShed       = "shed"
)

const (
	crashExitStatus    = 3
	defaultMaxTokens   = 32
	defaultResumeGrace = 2 * time.Second
	defaultMaxBatch    = 64
)

// Config sets the model, the capacity and the speed of an engine. Rates and delays
// are in the time of the engine's clock, see TimeScale.
type Config struct {
	Model   string
	Version string
	// Software is the version of the engine's software; empty for an engine that states none.
	Software string
	Role     string
	// PieceBytes is the number of prompt bytes in a cached piece.
	PieceBytes int
	// CachePieces is the capacity of the cache in pieces.
	CachePieces int
	// PrefillTPS is the number of prompt tokens computed per second.
	PrefillTPS float64
	// DecodeTPS is the number of tokens that the whole batch generates per second.
	DecodeTPS float64
	// MinTokenInterval is the minimum time between two tokens of a stream.
	MinTokenInterval time.Duration
	// MaxBatch is the maximum number of streams in the batch; default 64.
	MaxBatch int
	// ResumeGrace is the time for which a stream without a reader can be resumed
	// before it is removed; default 2s.
	ResumeGrace time.Duration
	// LoadReportLag is the age of the load that GET /load reports.
	LoadReportLag time.Duration
	// EventLag is the delay until readers see a cache event, and EventLossRate
	// is the fraction of events that they never see.
	EventLag      time.Duration
	EventLossRate float64
	// WeightsLoadTime is the time that a change of weights takes. If WeightsURL
	// is set, the weights are downloaded from that store first.
	WeightsLoadTime time.Duration
	WeightsURL      string
	// ChecksFencing rejects orders with a fencing token below the highest one seen.
	ChecksFencing bool
	// TimeScale is the speed of the engine's clock relative to real time; default 1.
	TimeScale float64
	// Seed seeds the random choice of the cache events that are lost.
	Seed uint64
	// Exit ends the process. It is called by faults; default os.Exit.
	Exit func(status int)
}

func (c Config) withDefaults() Config {
	if c.MaxBatch == 0 {
		c.MaxBatch = defaultMaxBatch
	}
	if c.ResumeGrace == 0 {
		c.ResumeGrace = defaultResumeGrace
	}
	if c.TimeScale == 0 {
		c.TimeScale = 1
	}
	if c.Exit == nil {
		c.Exit = os.Exit
	}
	return c
}

// Engine is a running engine. A restart of the process is a new incarnation.
type Engine struct {
	cfg         Config
	incarnation string
	faults      *standin.Faults
	queue       *queue
	feed        *eventFeed
	batchSlots  chan struct{}
	ctx         context.Context
	cancel      context.CancelFunc

	mu      sync.Mutex
	streams map[string]*stream
	cache   *cache
	// prefillingTokens is the number of uncached prompt tokens of the job that is
	// being prefilled.
	prefillingTokens int
	model            modelState
	loadReports      loadHistory
}

// New starts an engine with an empty cache and a new incarnation.
func New(cfg Config) *Engine {
	cfg = cfg.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{
		cfg:         cfg,
		incarnation: uuid.NewString(),
		faults:      standin.NewFaults(FaultKill, FaultFreeze, FaultCrashOn, FaultBadVersion, FaultSlow, FaultShed, standin.FaultLeaving),
		queue:       newQueue(),
		feed:        newEventFeed(cfg.EventLag, cfg.EventLossRate, cfg.Seed),
		batchSlots:  make(chan struct{}, cfg.MaxBatch),
		ctx:         ctx,
		cancel:      cancel,
		streams:     map[string]*stream{},
		cache:       newCache(cfg.CachePieces),
		model:       modelState{name: cfg.Model, version: cfg.Version, role: cfg.Role},
	}
	go e.prefillLoop()
	go e.sampleLoadLoop()
	return e
}

// Close stops prefilling queued jobs and sampling the load. Streams that are already
// being decoded continue.
func (e *Engine) Close() {
	e.cancel()
	e.queue.close()
}

// Faults returns the set of active faults.
func (e *Engine) Faults() *standin.Faults { return e.faults }

// sleep blocks for d in the time of the engine's clock, and then for as long as the
// freeze fault is active.
func (e *Engine) sleep(ctx context.Context, d time.Duration) error {
	if err := standin.Sleep(ctx, time.Duration(float64(d)/e.cfg.TimeScale)); err != nil {
		return err
	}
	return e.faults.WaitWhile(ctx, FaultFreeze)
}

// slowDelay returns the delay that the slow fault adds to each prefill and token.
func (e *Engine) slowDelay() time.Duration {
	f, _ := e.faults.Get(FaultSlow)
	return f.Delay()
}

// submit queues a request. Its stream can be read immediately.
func (e *Engine) submit(j *job) {
	e.mu.Lock()
	e.streams[j.stream.id] = j.stream
	e.mu.Unlock()
	e.queue.push(j)
}

func (e *Engine) findStream(id string) (*stream, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[id]
	return s, ok
}

// removeStream cancels a stream and removes it, with its events.
func (e *Engine) removeStream(s *stream) {
	s.cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[s.id] == s {
		delete(e.streams, s.id)
	}
}

// prefillLoop prefills one prompt at a time, waiting for a free batch slot first.
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
		case e.batchSlots <- struct{}{}:
		case <-e.ctx.Done():
			return
		}
		e.runJob(j)
	}
}

// runJob prefills a job and starts its decoding. The caller has taken a batch slot
// for it, which runJob frees if it does not start decoding.
func (e *Engine) runJob(j *job) {
	e.applyCrashFaults(j)
	version, ok := e.servedVersion(j.requiredVersion)
	if !ok {
		<-e.batchSlots
		j.stream.reject(codeWrongVersion)
		return
	}
	cached, err := e.prefill(j, version)
	if err != nil {
		<-e.batchSlots
		j.stream.abort()
		return
	}
	go e.decode(j, cached)
}

// applyCrashFaults exits the process if the prompt contains the marker of the
// crash_on fault, or if the served version is that of the bad_version fault.
func (e *Engine) applyCrashFaults(j *job) {
	if f, ok := e.faults.Get(FaultCrashOn); ok && f.Marker != "" && bytes.Contains(j.prompt, []byte(f.Marker)) {
		e.cfg.Exit(crashExitStatus)
	}
	version, _ := e.servedVersion("")
	if f, ok := e.faults.Get(FaultBadVersion); ok && f.Marker == version {
		e.cfg.Exit(crashExitStatus)
	}
}

// prefill simulates the computation of the uncached tokens, caches the prompt's
// pieces, and returns the number of tokens that were cached before.
func (e *Engine) prefill(j *job, version string) (int, error) {
	scope := prefix.Scope{Account: j.stream.account, Model: e.cfg.Model, Version: version}
	chain := prefix.Chain(nil, scope.Seed(), j.prompt, e.cfg.PieceBytes)
	e.mu.Lock()
	cached := e.cache.matchPrefix(j.stream.account, chain) * e.cfg.PieceBytes / BytesPerToken
	e.prefillingTokens = j.tokens - cached
	e.mu.Unlock()
	seconds := float64(j.tokens-cached) / e.cfg.PrefillTPS
	err := e.sleep(j.stream.ctx, time.Duration(seconds*float64(time.Second))+e.slowDelay())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prefillingTokens = 0
	if err != nil {
		return 0, err
	}
	if e.model.version == version {
		e.storeLocked(j.stream.account, chain)
	}
	return cached, nil
}

// storeLocked caches pieces and publishes the events. It requires e.mu.
func (e *Engine) storeLocked(account string, chain []prefix.Hash) {
	stored, evicted := e.cache.store(account, chain)
	now := time.Now()
	e.feed.add(now, OpStored, stored)
	e.feed.add(now, OpEvicted, evicted)
}

// decode generates the response, one chunk per token, and then frees the batch slot.
func (e *Engine) decode(j *job, cached int) {
	defer func() { <-e.batchSlots }()
	s, n := j.stream, j.stream.req.MaxTokens
	text := NewTextGenerator(j.prompt)
	for i := range n {
		if i > 0 && e.sleep(s.ctx, e.interTokenDelay()) != nil {
			s.abort()
			return
		}
		s.appendToken(text.TokenText(i))
	}
	s.finish(Usage{
		PromptTokens:        j.tokens,
		CompletionTokens:    n,
		TotalTokens:         j.tokens + n,
		PromptTokensDetails: PromptDetails{CachedTokens: cached},
	})
}

// interTokenDelay returns the time until the next token of a stream: the streams in
// the batch share the decode rate.
func (e *Engine) interTokenDelay() time.Duration {
	batchInterval := time.Duration(float64(len(e.batchSlots)) / e.cfg.DecodeTPS * float64(time.Second))
	return max(batchInterval, e.cfg.MinTokenInterval) + e.slowDelay()
}
