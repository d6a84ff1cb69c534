package load

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const progressInterval = time.Second

// runCounters counts the requests of a run by outcome.
type runCounters struct {
	sent, ok, refused, failed, violations atomic.Int64
	// connectFailures counts failed attempts to connect to an entry.
	connectFailures atomic.Int64
}

func (p *runCounters) countOutcome(r Result) {
	switch r.Outcome {
	case OutcomeOK:
		p.ok.Add(1)
	case OutcomeRateRefused, OutcomeRefused:
		p.refused.Add(1)
	case OutcomeFailed:
		p.failed.Add(1)
	case OutcomeViolation:
		p.violations.Add(1)
	}
}

// WriteProgress writes a line of counters every second until ctx is done.
func (r *Runner) WriteProgress(ctx context.Context, w io.Writer) {
	t := time.NewTicker(progressInterval)
	defer t.Stop()
	start, p := time.Now(), &r.counters
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			_, _ = fmt.Fprintf(w, "elapsed=%ds sent=%d ok=%d refused=%d failed=%d violations=%d passed_over=%d\n",
				int(time.Since(start).Seconds()+0.5), p.sent.Load(), p.ok.Load(), p.refused.Load(), p.failed.Load(), p.violations.Load(), p.connectFailures.Load())
		}
	}
}
