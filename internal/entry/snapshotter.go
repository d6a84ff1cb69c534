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

const snapshotCheckInterval = time.Second

const (
	// checkpointEvery and checkpointRecords bound what a starting instance
	// folds of the control stream. The log has to keep its records for
	// several times checkpointEvery.
	checkpointInterval       = 5 * time.Minute
	checkpointRecordInterval = 4096
)

// snapshotter writes snapshots of the configuration and checkpoints of the
// leases into their streams, on the instance that holds the duty. Two
// instances that both assume to hold it cost a needless record, nothing else:
// neither record changes a state.
type snapshotter struct {
	clock       clock
	config      *configDriver
	rates       *rateDriver
	log         platform.Log
	incarnation string

	// seen is the newest snapshot known, since when it is known.
	newestSnapshot int64
	newestSince    time.Duration
	// through and writtenAt are the last checkpoint of this instance.
	checkpointNext platform.Offset
	checkpointAt   time.Duration
}

func (s *snapshotter) run(ctx context.Context) {
	s.newestSnapshot = -1
	for ctx.Err() == nil {
		sleep(ctx, snapshotCheckInterval)
		if _, held := s.rates.dutyToken(dutySnapshot); held {
			s.writeSnapshotIfDue(ctx)
			s.writeCheckpointIfDue(ctx)
		}
	}
}

// snapshot writes the configuration when it is due.
func (s *snapshotter) writeSnapshotIfDue(ctx context.Context) {
	state, logStart := s.config.stateAndLogStart()
	if state == nil || !config.SnapshotDue(state, config.DefaultSnapshotPolicy, s.snapshotAge(state), logStart) {
		return
	}
	records, err := config.SnapshotRecords(state, s.incarnation, s.clock.wallMillis())
	s.appendRecords(ctx, platform.StreamConfig, records, err)
}

// snapshotAge is how long the newest snapshot has been known to be the newest;
// one that was there at the start counts as very old.
func (s *snapshotter) snapshotAge(state *config.State) time.Duration {
	now := s.clock.now()
	if s.newestSnapshot >= 0 && state.SnapshotNext != s.newestSnapshot {
		s.newestSince = now
	}
	s.newestSnapshot = state.SnapshotNext
	if s.newestSince == 0 {
		return math.MaxInt64
	}
	return now - s.newestSince
}

// checkpoint writes the state of the leases when it is due.
func (s *snapshotter) writeCheckpointIfDue(ctx context.Context) {
	now := s.clock.now()
	c, logStart, ok := s.rates.checkpoint()
	if !ok || !s.checkpointDue(now, c.NextOffset, logStart) {
		return
	}
	s.checkpointAt, s.checkpointNext = now, c.NextOffset
	record, err := logrec.Encode(lease.KindCheckpoint, s.incarnation, s.clock.wallMillis(), c)
	s.appendRecords(ctx, platform.StreamControl, [][]byte{record}, err)
}

// checkpointDue says whether to write a checkpoint now, of the records below
// next, when the log has those from start on.
func (s *snapshotter) checkpointDue(now time.Duration, next, logStart platform.Offset) bool {
	if s.checkpointAt == 0 || now-s.checkpointAt >= checkpointInterval || next-s.checkpointNext >= checkpointRecordInterval {
		return true
	}
	// A log that keeps less than checkpointEvery drops the newest checkpoint
	// before the next is written. An instance that starts in between cannot
	// tell held slots from free ones and takes none: a part of every account's
	// rate is missing for minutes. A checkpoint that is renewed when it comes
	// into the older half of what the log keeps is always there.
	return logStart > 0 && s.checkpointNext-logStart < (next-logStart)/2
}

func (s *snapshotter) appendRecords(ctx context.Context, stream string, records [][]byte, err error) {
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
