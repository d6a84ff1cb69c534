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
	tailLimit   = 1024
	tailWait    = 5 * time.Second
	tailTimeout = 10 * time.Second
	// After an outage every instance comes back to the log; the waits grow and
	// are spread by half, so that they do not come back at once.
	tailRetryMin = 100 * time.Millisecond
	tailRetryMax = 2 * time.Second
)

// follower is a fold of one stream of the log.
type follower interface {
	// next is the offset to read from.
	next() platform.Offset
	// read takes an answer to a read from next on.
	read(b platform.Batch) error
	// trimmed tells that the records before start are lost.
	trimmed(start platform.Offset)
}

// tail feeds a stream to its follower until ctx ends.
func tail(ctx context.Context, log platform.Log, stream string, f follower) {
	retries := backoff.NewExponentialBackOff()
	retries.InitialInterval, retries.MaxInterval = tailRetryMin, tailRetryMax
	for ctx.Err() == nil {
		err := tailOnce(ctx, log, stream, f)
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

func tailOnce(ctx context.Context, log platform.Log, stream string, f follower) error {
	callCtx, cancel := context.WithTimeout(ctx, tailTimeout)
	defer cancel()
	batch, err := log.Read(callCtx, stream, f.next(), tailLimit, tailWait)
	if errors.Is(err, platform.ErrTrimmed) {
		f.trimmed(batch.Start)
		return nil
	}
	if err != nil {
		return err
	}
	return f.read(batch)
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
