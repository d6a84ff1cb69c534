package entry

import (
	"context"
	"math"
	"time"

	"github.com/mastictray/mastictray/internal/config"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/platform"
)

const dutyEvery = time.Second

// snapshotter writes snapshots of the configuration into its stream, on the
// instance that holds the lease for it. Two instances that both believe to
// hold it cost a needless record, nothing else: a snapshot changes no state.
type snapshotter struct {
	clock  clock
	config *configDriver
	rates  *rateDriver
	log    platform.Log
	self   string

	// seen is the newest snapshot known, since when it is known.
	seen  int64
	since time.Duration
}

func (s *snapshotter) run(ctx context.Context) {
	s.seen = -1
	for ctx.Err() == nil {
		sleep(ctx, dutyEvery)
		s.step(ctx)
	}
}

func (s *snapshotter) step(ctx context.Context) {
	state, logStart := s.config.view()
	if state == nil {
		return
	}
	now := s.clock.now()
	age := time.Duration(math.MaxInt64)
	switch {
	case s.seen < 0:
		s.seen = state.SnapshotThrough
	case state.SnapshotThrough != s.seen:
		s.seen, s.since = state.SnapshotThrough, now
	}
	if s.since > 0 {
		age = now - s.since
	}
	if !config.SnapshotDue(state, config.DefaultSnapshotPolicy, age, logStart) {
		return
	}
	if _, held := s.rates.valid(dutySnapshot); !held {
		return
	}
	s.write(ctx, state)
}

func (s *snapshotter) write(ctx context.Context, state *config.State) {
	records, err := config.SnapshotRecords(state, s.self, s.clock.wallMillis())
	if err != nil {
		logline.Error(err, "snapshot_failed", "revision", state.Revision)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	offset, err := s.log.Append(ctx, platform.StreamConfig, records)
	if err != nil {
		logline.Error(err, "snapshot_failed", "revision", state.Revision)
		return
	}
	logline.Info("snapshot_written", "offset", offset, "through", state.Next, "records", len(records))
}
