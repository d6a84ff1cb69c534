package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/orderlease"
	"github.com/mastictray/mastictray/internal/routing"
	"github.com/mastictray/mastictray/internal/storeindex"
	"github.com/mastictray/mastictray/internal/weights"
)

// ErrTrimmed: the store no longer has the records asked for; read all again.
var ErrTrimmed = errors.New("store: records were dropped")

// ErrTooLarge: the answer has more bytes than were asked for.
var ErrTooLarge = errors.New("store: answer too large")

// OperatorNews is what operators wrote.
type OperatorUpdate struct {
	// Config is the newest configuration, or nil when there is no newer one.
	Config *routing.Config
	// Versions are weights versions that were named.
	Versions []routing.WeightsVersion
	// Next is where to read on.
	NextOffset int64
}

// OperatorFeed reads what operators write.
type OperatorFeed interface {
	// Newest reads the newest configuration and versions. It fails with ErrTooLarge
	// when the answer has more bytes than limit; 0 sets none.
	Newest(ctx context.Context, limit int64) (OperatorUpdate, error)
	// Since reads on from an offset and waits up to wait for news. It fails
	// with ErrTrimmed when the store has dropped some.
	Since(ctx context.Context, from int64, wait time.Duration) (OperatorUpdate, error)
}

// RegistrationFeed reads the targets' registrations.
type RegistrationFeed interface {
	AllRegistrations(ctx context.Context) (events []directory.Event, next int64, err error)
	RegistrationsSince(ctx context.Context, from int64) (events []directory.Event, next int64, err error)
}

// Announcement is where an instance can be reached by its peers.
type Announcement struct {
	Instance    string
	Incarnation string
	Address     string
	Domain      string
	// Capacity is the hubs' work that the instance can do beside its own.
	Capacity int
	// Alive are the instances of which this one has updates. It announces them
	// because others may have none.
	Alive []string
}

// Announced is an announcement as it stands in the store; Revision changes
// with each time that it is written.
type Announced struct {
	Announcement
	Revision int64
}

// InstanceFeed is where instances find each other.
type InstanceFeed interface {
	Announce(ctx context.Context, a Announcement) error
	Withdraw(ctx context.Context, instance string) error
	Announcements(ctx context.Context) ([]Announced, error)
	// PeerSecret gives the secret shared by all instances; the first to ask
	// proposes it.
	PeerSecret(ctx context.Context, proposal []byte) ([]byte, error)
}

// TargetControl asks targets for their state and gives them orders.
type TargetControl interface {
	State(ctx context.Context, t directory.Registration) (weights.Observation, error)
	Order(ctx context.Context, t directory.Registration, o weights.Order) (weights.Receipt, error)
	// CacheEvents asks a store of KV cache what has changed and waits up to
	// wait for news.
	CacheEvents(ctx context.Context, address string, since int64, wait time.Duration) (storeindex.EventBatch, error)
}

// Store is all that the gateway needs of the platform's store.
type Store interface {
	OperatorFeed
	RegistrationFeed
	InstanceFeed
	orderlease.Store
	weights.VersionStore
}
