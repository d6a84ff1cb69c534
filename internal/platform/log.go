package platform

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Offset is the position of a record in one stream. The first record has
// offset 0. Offsets never repeat and never go down.
type Offset int64

// Streams that the system keeps in the platform's log.
const (
	// StreamConfig carries operators' changes, snapshots and audit records.
	StreamConfig = "config"
	// StreamControl carries leases, orders to targets and their outcomes.
	StreamControl = "control"
	// StreamClaims carries claims and results of non-idempotent requests.
	StreamClaims = "claims"
)

// Errors of the log service. Match them with errors.Is.
var (
	// ErrOutage: the service did not take the call; it had no effect.
	ErrOutage = errors.New("log service: outage")
	// ErrRateLimited: refused for its rate; it had no effect.
	ErrRateLimited = errors.New("log service: rate limited")
	// ErrOutcomeUnknown: the answer was lost, the append may have taken effect.
	// The caller settles it by reading the stream, never by appending again.
	ErrOutcomeUnknown = errors.New("log service: outcome unknown")
	// ErrTrimmed: the offset asked for is older than the retained records.
	ErrTrimmed = errors.New("log service: offset trimmed")
)

// Record is one entry of a stream.
type Record struct {
	Offset Offset
	// Time is the log service's clock when it stored the record. It is for
	// people to read; no decision may depend on it.
	Time time.Time
	Data []byte
}

// Batch is the answer to one read.
type Batch struct {
	// Start is the oldest offset still retained.
	Start Offset
	// Next is the offset that the next append will get.
	Next Offset
	// Records are in offset order, from the offset asked for.
	Records []Record
}

// Log is the platform's append-only log service.
type Log interface {
	// Append stores the records in order, in one call, at consecutive
	// offsets, and returns the first. Errors: ErrOutage, ErrRateLimited,
	// ErrOutcomeUnknown.
	Append(ctx context.Context, stream string, records [][]byte) (Offset, error)
	// Read returns at most limit records from an offset on. It waits up to
	// wait for one to appear when there is none yet. Errors: ErrOutage,
	// ErrRateLimited, ErrTrimmed (then Batch.Start is set).
	Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) (Batch, error)
}
