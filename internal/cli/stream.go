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
	readLimit = 500
	// settleWait is one long read while waiting for a verdict.
	settleWait = time.Second
)

// errNoSnapshot: the log was trimmed and holds nothing to start from.
var errNoSnapshot = errors.New("the log holds no snapshot that covers what it trimmed; is the snapshot duty running?")

// read is one read of a stream, tried again while the service refuses.
func (e *Env) read(stream string, from platform.Offset, wait time.Duration) (platform.Batch, error) {
	var batch platform.Batch
	err := e.retry(e.cmd.Timeout, func() (err error) {
		batch, err = e.Log.Read(e.ctx, stream, from, readLimit, wait)
		return err
	})
	return batch, err
}

// retry calls again while the log service refuses, which has no effect. Any
// other error ends it. It gives the last error, so that an operator sees
// what the service said and not that time ran out.
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

// step reads on and says whether the end of the stream was reached.
func (e *Env) step(f *config.Follower, wait time.Duration) (bool, error) {
	batch, err := e.read(platform.StreamConfig, platform.Offset(f.Next()), wait)
	if errors.Is(err, platform.ErrTrimmed) {
		f.Trimmed(int64(batch.Start))
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if _, err := f.Read(batch.Records); err != nil {
		return false, err
	}
	return f.Next() >= int64(batch.Next), nil
}

// follow reads the config stream to its end.
func (e *Env) follow() (*config.Follower, error) {
	f := config.NewFollower()
	for end := false; !end; {
		var err error
		if end, err = e.step(f, 0); err != nil {
			return nil, errors.Wrapf(err, "read configuration peer=%s", e.cmd.Log)
		}
	}
	if f.State() == nil || f.Searching() {
		return nil, errNoSnapshot
	}
	return f, nil
}

// append stores one record. Half of the time is kept for settle. A lost
// answer is no error here: the record may be in the log, and settle finds it,
// or does not, by its op id.
func (e *Env) append(record []byte) error {
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

// settle reads on until the fold has judged the operation.
func (e *Env) settle(f *config.Follower, op string) (audit.Entry, error) {
	for {
		if entry, ok := f.State().Outcome(op); ok {
			return entry, nil
		}
		if _, err := e.step(f, settleWait); err != nil || e.ctx.Err() != nil {
			return audit.Entry{}, errors.Mark(errors.Newf("outcome unknown; ask with: mastictray outcome %s", op), errUnknown)
		}
	}
}
