package cli

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/audit"
	"github.com/mastictray/mastictray/internal/config"
	"github.com/mastictray/mastictray/internal/platform"
)

const (
	maxReadRecords = 500
	// outcomeReadWait is the duration of a long poll while waiting for an
	// outcome.
	outcomeReadWait = time.Second
)

// errNoSnapshot is returned if the log was trimmed and has no snapshot that
// covers the trimmed records.
var errNoSnapshot = errors.New("the log has no snapshot that covers its trimmed records; check that an instance holds the lease duty/snapshot")

// readStream reads a batch from a stream, with retries while the log service
// refuses the read.
func (e *Env) readStream(stream string, from platform.Offset, wait time.Duration) (platform.Batch, error) {
	var batch platform.Batch
	err := e.retry(e.cmd.Timeout, func() (err error) {
		batch, err = e.Log.Read(e.ctx, stream, from, maxReadRecords, wait)
		return err
	})
	return batch, err
}

// retry repeats a call while the log service refuses it, which has no effect. It
// stops at any other error. It returns the last error of the call, so that an
// operator sees the answer of the service and not just a timeout.
func (e *Env) retry(limit time.Duration, call func() error) error {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = 50 * time.Millisecond
	policy.MaxInterval = time.Second
	var last error
	_, _ = backoff.Retry(e.ctx, func() (struct{}, error) {
		last = call()
		if last != nil && !errors.IsAny(last, platform.ErrOutage, platform.ErrRateLimited) {
			return struct{}{}, backoff.Permanent(last)
		}
		return struct{}{}, last
	}, backoff.WithBackOff(policy), backoff.WithMaxElapsedTime(limit))
	return last
}

// readNext reads the next batch of the config stream into f and reports whether
// it reached the end of the stream.
func (e *Env) readNext(f *config.Follower, wait time.Duration) (bool, error) {
	batch, err := e.readStream(platform.StreamConfig, platform.Offset(f.Next()), wait)
	if errors.Is(err, platform.ErrTrimmed) {
		f.SkipTo(int64(batch.Start))
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if _, err := f.Apply(batch.Records); err != nil {
		return false, err
	}
	return f.Next() >= int64(batch.Next), nil
}

// replayConfig reads the config stream to its end and returns the follower with
// the state at that point.
func (e *Env) replayConfig() (*config.Follower, error) {
	f := config.NewFollower()
	for atEnd := false; !atEnd; {
		var err error
		if atEnd, err = e.readNext(f, 0); err != nil {
			return nil, errors.Wrapf(err, "read configuration peer=%s", e.cmd.Log)
		}
	}
	if f.State() == nil || f.AwaitingState() {
		return nil, errNoSnapshot
	}
	return f, nil
}

// appendRecord appends a record to the config stream. It leaves half of the
// command's time for waitForOutcome. A lost answer is not an error here: the
// record may be in the log, and waitForOutcome looks for its operation ID.
func (e *Env) appendRecord(record []byte) error {
	half := e.cmd.Timeout / 2
	ctx, cancel := context.WithTimeout(e.ctx, half)
	defer cancel()
	err := e.retry(half, func() error {
		_, err := e.Log.Append(ctx, platform.StreamConfig, [][]byte{record})
		return err
	})
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		return nil
	}
	return errors.Wrapf(err, "append to the log peer=%s", e.cmd.Log)
}

// waitForOutcome reads on until the log has an outcome of the operation.
func (e *Env) waitForOutcome(f *config.Follower, op string) (audit.Entry, error) {
	for {
		if entry, ok := f.State().Outcome(op); ok {
			return entry, nil
		}
		if _, err := e.readNext(f, outcomeReadWait); err != nil || e.ctx.Err() != nil {
			return audit.Entry{}, errors.Mark(errors.Newf("outcome unknown; check with: mastictray outcome %s", op), errUnknown)
		}
	}
}
