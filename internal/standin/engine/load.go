package engine

import "time"

// loadSample is how often the load is noted while its report lags.
const loadSample = 20 * time.Millisecond

// Load is the answer to GET /load.
type Load struct {
	Incarnation         string `json:"incarnation"`
	Model               string `json:"model"`
	Version             string `json:"version"`
	QueuedPrefillTokens int    `json:"queued_prefill_tokens"`
	Running             int    `json:"running"`
	Waiting             int    `json:"waiting"`
	AsOfMS              int64  `json:"as_of_ms"`
}

// loadHistory is the samples not yet old enough to report, and the last one
// that was.
type loadHistory struct{ samples []Load }

// add notes a sample and drops those that no report needs any more.
func (h *loadHistory) add(l Load, lag time.Duration) {
	h.samples = append(h.samples, l)
	for len(h.samples) > 1 && h.samples[1].AsOfMS <= l.AsOfMS-lag.Milliseconds() {
		h.samples = h.samples[1:]
	}
}

// loadNow is the load without lag.
func (e *Engine) loadNow() Load {
	waiting, tokens := e.queue.size()
	e.mu.Lock()
	defer e.mu.Unlock()
	return Load{
		Incarnation:         e.incarnation,
		Model:               e.weights.model,
		Version:             e.weights.version,
		QueuedPrefillTokens: tokens + e.prefilling,
		Running:             len(e.batch),
		Waiting:             waiting,
		AsOfMS:              time.Now().UnixMilli(),
	}
}

// loadLoop notes samples until the engine closes.
func (e *Engine) loadLoop() {
	for e.cfg.LoadReportLag > 0 && e.ctx.Err() == nil {
		l := e.loadNow()
		e.mu.Lock()
		e.loads.add(l, e.cfg.LoadReportLag)
		e.mu.Unlock()
		if e.sleep(e.ctx, loadSample) != nil {
			return
		}
	}
}

// Load is the load as reported, late by the lag.
func (e *Engine) Load() Load {
	if e.cfg.LoadReportLag <= 0 {
		return e.loadNow()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.loads.samples) == 0 {
		return Load{Incarnation: e.incarnation, Model: e.weights.model, Version: e.weights.version}
	}
	return e.loads.samples[0]
}
