package engine

import "time"

// loadSampleInterval is the time between two samples of the load, which are taken
// if its reports are delayed.
const loadSampleInterval = 20 * time.Millisecond

// Load is the response to GET /load.
type Load struct {
	Incarnation         string `json:"incarnation"`
	Model               string `json:"model"`
	Version             string `json:"version"`
	Software            string `json:"software,omitempty"`
	QueuedPrefillTokens int    `json:"queued_prefill_tokens"`
	Running             int    `json:"running"`
	Waiting             int    `json:"waiting"`
	AsOfMS              int64  `json:"as_of_ms"`
}

// loadHistory has the sample to report, which is the newest one that is at least as
// old as the lag, or the first if none is, followed by the newer samples.
type loadHistory struct{ samples []Load }

// add appends a sample and drops those older than the one to report.
func (h *loadHistory) add(l Load, lag time.Duration) {
	h.samples = append(h.samples, l)
	for len(h.samples) > 1 && h.samples[1].AsOfMS <= l.AsOfMS-lag.Milliseconds() {
		h.samples = h.samples[1:]
	}
}

// currentLoad returns the load without a delay.
func (e *Engine) currentLoad() Load {
	waiting, tokens := e.queue.size()
	e.mu.Lock()
	defer e.mu.Unlock()
	return Load{
		Incarnation:         e.incarnation,
		Model:               e.model.name,
		Version:             e.model.version,
		Software:            e.cfg.Software,
		QueuedPrefillTokens: tokens + e.prefillingTokens,
		Running:             len(e.batchSlots),
		Waiting:             waiting,
		AsOfMS:              time.Now().UnixMilli(),
	}
}

// sampleLoadLoop samples the load until the engine is closed.
func (e *Engine) sampleLoadLoop() {
	for e.cfg.LoadReportLag > 0 && e.ctx.Err() == nil {
		l := e.currentLoad()
		e.mu.Lock()
		e.loadReports.add(l, e.cfg.LoadReportLag)
		e.mu.Unlock()
		if e.sleep(e.ctx, loadSampleInterval) != nil {
			return
		}
	}
}

// Load returns the load as reported, which is delayed by LoadReportLag.
func (e *Engine) Load() Load {
	if e.cfg.LoadReportLag <= 0 {
		return e.currentLoad()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.loadReports.samples) == 0 {
		return Load{Incarnation: e.incarnation, Model: e.model.name, Version: e.model.version, Software: e.cfg.Software}
	}
	return e.loadReports.samples[0]
}
