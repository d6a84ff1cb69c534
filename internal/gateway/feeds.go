package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/canary"
	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/orderlease"
	"github.com/mastictray/mastictray/internal/routing"
	"github.com/mastictray/mastictray/internal/runmove"
	"github.com/mastictray/mastictray/internal/storeindex"
	"github.com/mastictray/mastictray/internal/streamorigin"
	"github.com/mastictray/mastictray/internal/weights"
)

// ErrTrimmed means that the store no longer has the requested records; the reader must
// read the whole state again.
var ErrTrimmed = errors.New("store: records were dropped")

// ErrTooLarge means that the response exceeds the requested byte limit.
var ErrTooLarge = errors.New("store: response exceeds the size limit")

// OperatorUpdate holds configurations and weights versions written by operators.
type OperatorUpdate struct {
	// Config is the newest configuration, or nil if there is no newer one.
	Config *routing.Config
	// Versions holds weights versions that were named.
	Versions []routing.WeightsVersion
	// Rollouts holds orders to move services to other versions of their targets' software.
	Rollouts []canary.Order
	// NextOffset is the offset at which to continue reading.
	NextOffset int64
}

// OperatorFeed reads the configurations and weights versions that operators write.
type OperatorFeed interface {
	// Newest reads the newest configuration and versions. It fails with ErrTooLarge if
	// the response exceeds limit bytes; 0 means no limit.
	Newest(ctx context.Context, limit int64) (OperatorUpdate, error)
	// Since reads from an offset and waits up to wait for new records. It fails with
	// ErrTrimmed if the store has dropped records after the offset.
	Since(ctx context.Context, from int64, wait time.Duration) (OperatorUpdate, error)
}

// RegistrationFeed reads the registrations of targets.
type RegistrationFeed interface {
	AllRegistrations(ctx context.Context) (events []directory.Event, next int64, err error)
	RegistrationsSince(ctx context.Context, from int64) (events []directory.Event, next int64, err error)
}

// Announcement tells peers how to reach an instance.
type Announcement struct {
	Instance    string
	Incarnation string
	Address     string
	Domain      string
	// Capacity is the instance's spare capacity for the work of a hub.
	Capacity int
	// Alive lists the instances whose updates this one receives. Other instances may
	// receive none of them.
	Alive []string
}

// Announced is an announcement as stored. Revision changes with every write.
type Announced struct {
	Announcement
	Revision int64
}

// InstanceFeed lets instances discover each other.
type InstanceFeed interface {
	Announce(ctx context.Context, a Announcement) error
	Withdraw(ctx context.Context, instance string) error
	Announcements(ctx context.Context) ([]Announced, error)
	// PeerSecret returns the secret shared by all instances. The first caller's
	// proposal becomes the secret.
	PeerSecret(ctx context.Context, proposal []byte) ([]byte, error)
}

// TargetControl queries the state of targets and sends them orders.
type TargetControl interface {
	State(ctx context.Context, t directory.Registration) (weights.Observation, error)
	Order(ctx context.Context, t directory.Registration, o weights.Order) (weights.Receipt, error)
	// CacheEvents requests the changes of a KV cache store since an event number and
	// waits up to wait for new ones.
	CacheEvents(ctx context.Context, address string, since int64, wait time.Duration) (storeindex.EventBatch, error)
	// CopyRun asks a target to copy the memory of a run to another target, and returns once the
	// copy is complete. A copy is found under its handle, at its destination or, if the run has
	// stopped, also at the target.
	CopyRun(ctx context.Context, t directory.Registration, c RunCopy) (result runmove.Result, handle string, err error)
	// FreeCopy frees a copy that nobody will use, at both ends.
	FreeCopy(ctx context.Context, t directory.Registration, handle string) error
}

// RunCopy describes a copy of the memory of a run.
type RunCopy struct {
	// RequestID is the ID of the request that is running.
	RequestID string
	// Destination is the address of the target to copy to.
	Destination string
	// Stop makes the target stop the run before it copies the rest, and close its stream.
	Stop bool
}

// RolloutStore keeps the decisions on ordered rollouts and reports them to operators.
type RolloutStore interface {
	// ReadRollouts reads the records of all services and the offset at which the next write is
	// expected.
	ReadRollouts(ctx context.Context) ([]canary.Record, int64, error)
	// WriteRollout writes a record if nothing has been written since the offset, and returns
	// whether it was. After an error it may have been, or may still be.
	WriteRollout(ctx context.Context, at int64, r canary.Record) (bool, error)
	// ReportRollout tells operators the phase of an order.
	ReportRollout(ctx context.Context, o canary.Order, p canary.Phase) error
}

// Store is the part of the platform's store that the gateway uses.
type Store interface {
	OperatorFeed
	RegistrationFeed
	InstanceFeed
	orderlease.Store
	weights.VersionStore
	streamorigin.RecordStore
	RolloutStore
}
