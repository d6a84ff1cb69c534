package entry

import (
	"context"
	"math"
	"time"

	"github.com/mastictray/mastictray/internal/config"
	"github.com/mastictray/mastictray/internal/lease"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/logrec"
	"github.com/mastictray/mastictray/internal/platform"
)

const dutyEvery = time.Second

const (
	// checkpointEvery and checkpointRecords bound what a starting instance
	// folds of the control stream. The log has to keep its records for
	// several times checkpointEvery.
	checkpointEvery   = 5 * time.Minute
	checkpointRecords = 4096
)

// snapshotter writes snapshots of the configuration and checkpoints of the
// leases into their streams, on the instance that holds the duty. Two
// instances that both assume to hold it cost a needless record, nothing else:
// neither record changes a state.
type snapshotter struct {
	clock  clock
	config *configDriver
	rates  *rateDriver
	log    platform.Log
	self   string

	// seen is the newest snapshot known, since when it is known.
	seen  int64
	since time.Duration
	// through and writtenAt are the last checkpoint of this instance.
	through   platform.Offset
	writtenAt time.Duration
}

func (s *snapshotter) run(ctx context.Context) {
	s.seen = -1
	for ctx.Err() == nil {
		sleep(ctx, dutyEvery)
		if _, held := s.rates.dutyToken(dutySnapshot); held {
			s.snapshot(ctx)
			s.checkpoint(ctx)
		}
	}
}

// snapshot writes the configuration when it is due.
func (s *snapshotter) snapshot(ctx context.Context) {
	state, logStart := s.config.view()
	if state == nil || !config.SnapshotDue(state, config.DefaultSnapshotPolicy, s.snapshotAge(state), logStart) {
		return
	}
	records, err := config.SnapshotRecords(state, s.self, s.clock.wallMillis())
	s.append(ctx, platform.StreamConfig, records, err)
}

// snapshotAge is how long the newest snapshot has been known to be the newest;
// one that was there at the start counts as very old.
func (s *snapshotter) snapshotAge(state *config.State) time.Duration {
	now := s.clock.now()
	if s.seen >= 0 && state.SnapshotNext != s.seen {
		s.since = now
	}
	s.seen = state.SnapshotNext
	if s.since == 0 {
		return math.MaxInt64
	}
	return now - s.since
}

// checkpoint writes the state of the leases when it is due.
func (s *snapshotter) checkpoint(ctx context.Context) {
	now := s.clock.now()
	c, start, ok := s.rates.checkpoint()
	if !ok || !s.checkpointDue(now, c.NextOffset, start) {
		return
	}
	s.writtenAt, s.through = now, c.NextOffset
	record, err := logrec.Encode(lease.KindCheckpoint, s.self, s.clock.wallMillis(), c)
	s.append(ctx, platform.StreamControl, [][]byte{record}, err)
}

// checkpointDue says whether to write a checkpoint now, of the records below
// next, when the log has those from start on.
func (s *snapshotter) checkpointDue(now time.Duration, next, start platform.Offset) bool {
	if s.writtenAt == 0 || now-s.writtenAt >= checkpointEvery || next-s.through >= checkpointRecords {
		return true
	}
	// A log that keeps less than checkpointEvery drops the newest checkpoint
	// before the next is written. An instance that starts in between cannot
	// tell held slots from free ones and takes none: a part of every account's
	// rate is missing for minutes. A checkpoint that is renewed when it comes
	// into the older half of what the log keeps is always there.
	return start > 0 && s.through-start < (next-start)/2
}

func (s *snapshotter) append(ctx context.Context, stream string, records [][]byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	var offset platform.Offset
	if err == nil {
		offset, err = s.log.Append(ctx, stream, records)
	}
	if err != nil {
		logline.Error(err, "snapshot_failed", "stream", stream)
		return
	}
	logline.Info("snapshot_written", "stream", stream, "offset", offset, "records", len(records))
}
