package load

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const progressEvery = time.Second

// progress counts what a run has done so far.
type progress struct {
	sent, ok, refused, failed, violations atomic.Int64
	// passedOver counts entries that took no connection.
	passedOver atomic.Int64
}

func (p *progress) end(r Result) {
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

// WriteProgress writes one line a second until ctx ends.
func (r *Runner) WriteProgress(ctx context.Context, w io.Writer) {
	t := time.NewTicker(progressEvery)
	defer t.Stop()
	start, p := time.Now(), &r.stats
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			_, _ = fmt.Fprintf(w, "elapsed=%ds sent=%d ok=%d refused=%d failed=%d violations=%d passed_over=%d\n",
				int(time.Since(start).Seconds()+0.5), p.sent.Load(), p.ok.Load(), p.refused.Load(), p.failed.Load(), p.violations.Load(), p.passedOver.Load())
		}
	}
}
