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
	// A checkpoint is written after checkpointInterval or after
	// checkpointRecordInterval records, whichever comes first. They bound the
	// part of the control stream that a starting instance has to apply. The log
	// must retain records for several times checkpointInterval.
	checkpointInterval       = 5 * time.Minute
	checkpointRecordInterval = 4096
)

// snapshotter writes snapshots of the configuration and checkpoints of the
// leases to their streams on the instance that holds dutySnapshot. If two
// instances both believe to hold it, the only cost is a superfluous record, since
// neither kind of record changes a state.
type snapshotter struct {
	clock       clock
	config      *configDriver
	rates       *rateDriver
	log         platform.Log
	incarnation string

	// newestSnapshot is the SnapshotNext of the newest known snapshot, or -1.
	// newestSince is when it appeared; 0 if it was there at the start.
	newestSnapshot int64
	newestSince    time.Duration
	// checkpointNext is the NextOffset of the last checkpoint that this instance
	// wrote, at checkpointAt.
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

// writeSnapshotIfDue writes a snapshot of the configuration if one is due.
func (s *snapshotter) writeSnapshotIfDue(ctx context.Context) {
	state, logStart := s.config.stateAndLogStart()
	if state == nil || !config.SnapshotDue(state, config.DefaultSnapshotPolicy, s.snapshotAge(state), logStart) {
		return
	}
	records, err := config.SnapshotRecords(state, s.incarnation, s.clock.wallMillis())
	s.appendRecords(ctx, platform.StreamConfig, records, err)
}

// snapshotAge returns the time since this instance saw the newest snapshot appear.
// A snapshot that was there at the start counts as very old.
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

// writeCheckpointIfDue writes a checkpoint of the leases if one is due.
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

// checkpointDue reports whether to write a checkpoint now. The checkpoint would
// cover the records below next; the log retains those from logStart on.
func (s *snapshotter) checkpointDue(now time.Duration, next, logStart platform.Offset) bool {
	if s.checkpointAt == 0 || now-s.checkpointAt >= checkpointInterval || next-s.checkpointNext >= checkpointRecordInterval {
		return true
	}
	// A log that retains less than checkpointInterval trims the newest
	// checkpoint before the next one is written. An instance that starts in
	// between cannot distinguish held slots from free ones and acquires none, so
	// that a part of every account's rate is missing for minutes. Therefore a
	// checkpoint is also due when the last one falls into the older half of the
	// retained records.
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
