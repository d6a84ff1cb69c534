package entry

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/platform"
)

const (
	tailBatchLimit = 1024
	tailPollWait   = 5 * time.Second
	tailTimeout    = 10 * time.Second
	// The retry delays grow from tailRetryMin to tailRetryMax and are randomized
	// by 50%, so that the instances do not all return to the log at the same
	// moment after an outage.
	tailRetryMin = 100 * time.Millisecond
	tailRetryMax = 2 * time.Second
)

// streamConsumer applies the records of one stream of the log.
type streamConsumer interface {
	// nextOffset returns the offset to read from.
	nextOffset() platform.Offset
	// handleBatch handles the result of a read that began at nextOffset.
	handleBatch(b platform.Batch) error
	// handleTrim is called if the log no longer has the records before start.
	handleTrim(start platform.Offset)
}

// tail passes the records of a stream to its consumer until ctx ends.
func tail(ctx context.Context, log platform.Log, stream string, consumer streamConsumer) {
	retries := backoff.NewExponentialBackOff()
	retries.InitialInterval, retries.MaxInterval = tailRetryMin, tailRetryMax
	for ctx.Err() == nil {
		err := tailBatch(ctx, log, stream, consumer)
		if err == nil {
			retries.Reset()
			continue
		}
		if ctx.Err() != nil {
			return
		}
		wait := retries.NextBackOff()
		logline.Error(err, "log_read_failed", "stream", stream, "retry", wait)
		sleep(ctx, wait)
	}
}

// tailBatch reads the next records, waiting for up to tailPollWait if there are
// none, and passes them to the consumer.
func tailBatch(ctx context.Context, log platform.Log, stream string, consumer streamConsumer) error {
	callCtx, cancel := context.WithTimeout(ctx, tailTimeout)
	defer cancel()
	batch, err := log.Read(callCtx, stream, consumer.nextOffset(), tailBatchLimit, tailPollWait)
	if errors.Is(err, platform.ErrTrimmed) {
		consumer.handleTrim(batch.Start)
		return nil
	}
	if err != nil {
		return err
	}
	return consumer.handleBatch(batch)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
