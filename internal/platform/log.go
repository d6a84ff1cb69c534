package platform

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Offset is the position of a record in one stream. The first record has
// offset 0; offsets only increase and are never reused.
type Offset int64

// Names of the streams in the platform's log.
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
	// ErrOutage: the service is unavailable; the call had no effect.
	ErrOutage = errors.New("log service: outage")
	// ErrRateLimited: the call exceeded the rate limit and had no effect.
	ErrRateLimited = errors.New("log service: rate limited")
	// ErrOutcomeUnknown: the response was lost and the append may have taken
	// effect. The caller must read the stream to find out; a second append could
	// store the records twice.
	ErrOutcomeUnknown = errors.New("log service: outcome unknown")
	// ErrTrimmed: the requested offset is older than the oldest retained record.
	ErrTrimmed = errors.New("log service: offset trimmed")
)

// Record is one entry of a stream.
type Record struct {
	Offset Offset
	// Time is the log service's wall-clock time when it stored the record. It
	// is informational; no decision may depend on it.
	Time time.Time
	Data []byte
}

// Batch is the result of one read.
type Batch struct {
	// Start is the oldest retained offset.
	Start Offset
	// Next is the offset of the next record to be appended.
	Next Offset
	// Records are in offset order, starting at the requested offset.
	Records []Record
}

// Log is the platform's append-only log service.
type Log interface {
	// Append stores the records in order, with one request, at consecutive
	// offsets, and returns the first offset. Errors: ErrOutage, ErrRateLimited,
	// ErrOutcomeUnknown.
	Append(ctx context.Context, stream string, records [][]byte) (Offset, error)
	// Read returns at most limit records, starting at offset from. If there are
	// none yet, it waits up to wait for the next append. Errors: ErrOutage,
	// ErrRateLimited, ErrTrimmed (then Batch.Start is set).
	Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) (Batch, error)
}
