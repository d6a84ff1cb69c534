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
	// After an outage every instance comes back to the log; the waits grow and
	// are spread by half, so that they do not come back at once.
	tailRetryMin = 100 * time.Millisecond
	tailRetryMax = 2 * time.Second
)

// follower is a fold of one stream of the log.
type streamConsumer interface {
	// next is the offset to read from.
	nextOffset() platform.Offset
	// read takes an answer to a read from next on.
	handleBatch(b platform.Batch) error
	// trimmed tells that the records before start are lost.
	handleTrim(start platform.Offset)
}

// tail feeds a stream to its follower until ctx ends.
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

// sleep waits or returns early when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
