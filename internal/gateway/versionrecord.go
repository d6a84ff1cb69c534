package gateway

import (
	"context"
	"time"

	"github.com/mastictray/mastictray/internal/feedturn"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/weights"
)

// versionRecordEvery is the pause between two looks at whether the record of named
// versions has to be read or written. A kill of all instances within it, right
// after a version was named, leaves the version without a record.
const versionRecordEvery = 100 * time.Millisecond

// keptVersions is the versions of each model in the record: more than are named
// within the bound on old weights, so that one is older than it.
const keptVersions = 32

// rereadVersions is the pause before a record that lacks a version is read
// again: its writer may not have got to it.
const rereadVersions = time.Second

// rewriteVersions is the pause after a write that failed. One instance writes, so
// it need not be as long as where all come back together.
const rewriteVersions = 300 * time.Millisecond

// timeOfDayMargin is added to ages by the record: times of day jump by seconds.
// With the part of the bound that estimateShare leaves, and no
// waits in it for versions whose age is an estimate, 3 s may be wrong.
const timeOfDayMargin = time.Second

// versionRecord is the record of named versions as this process knows it.
// Only the loop that keeps it uses it.
type versionRecord struct {
	weights.VersionRecord
	// current is set while no write is known to have come after.
	current bool
	// notBefore ends the pause after a failed call, or before the next read.
	notBefore time.Duration
}

// keepVersionRecord writes down when versions are named, and reads it where this
// process did not receive them as they were. Nothing else survives the end of all
// instances: a bound that began anew with each process let requests begin on
// weights replaced 25 s before.
func (g *Gateway) keepVersionRecord(ctx context.Context) {
	for sleep(ctx, versionRecordEvery) {
		g.versionRecordStep(ctx)
	}
}

// versionRecordStep is one look at the record. While all targets serve what was named
// last, no age matters and the store is not asked.
func (g *Gateway) versionRecordStep(ctx context.Context) {
	now := g.clock.Now()
	if now < g.versionRecord.notBefore || len(g.rolloutWork()) == 0 {
		return
	}
	missing, doubtful := g.unrecorded()
	writes := len(missing) > 0 && g.peers.rank() == 0
	if !writes && !doubtful {
		return
	}
	if !g.versionRecord.current || !writes {
		if err := g.readVersionRecord(ctx); err != nil {
			g.versionRecordFailed(err, "version_record_unread", feedturn.RetryDelay(g.peers.fleetSize(), g.source()))
			return
		}
		missing, doubtful = g.unrecorded()
	}
	switch {
	case writes && len(missing) > 0:
		if err := g.writeVersionRecord(ctx, missing); err != nil {
			g.versionRecordFailed(err, "version_record_unwritten", rewriteVersions)
		}
	case doubtful:
		g.versionRecord.notBefore = g.clock.Now() + rereadVersions
	}
}

// unrecorded are the known versions that the record lacks, or has no more than
// an estimate of; doubtful says that the record could tell this process more: it
// did not receive a version as it was named, which is not due anyhow.
func (g *Gateway) unrecorded() (missing []weights.NamedVersion, doubtful bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, wall := g.clock.Now(), g.wall()
	due := now - g.settings.WeightsBound
	for model, versions := range g.versions {
		for _, v := range versions.since(due) {
			named := weights.NamedVersion{Model: model, Version: v.version, NamedAt: wall.Add(v.at - now), Estimated: v.estimated}
			if !g.versionRecord.Covers(named) {
				missing = append(missing, named)
				doubtful = doubtful || v.estimated && v.at > due
			}
		}
	}
	return missing, doubtful
}

func (g *Gateway) readVersionRecord(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	n, err := g.store.ReadVersionRecord(ctx)
	if err != nil {
		return err
	}
	g.versionRecord.VersionRecord, g.versionRecord.current = n, true
	g.takeVersionRecord(n.Versions)
	return nil
}

func (g *Gateway) writeVersionRecord(ctx context.Context, missing []weights.NamedVersion) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	list := g.versionRecord.Merge(missing, keptVersions)
	written, err := g.store.WriteVersionRecord(ctx, g.versionRecord.NextOffset, list)
	if err != nil {
		return err
	}
	g.versionRecord.current = written
	if written {
		g.versionRecord.VersionRecord = weights.VersionRecord{Versions: list, NextOffset: g.versionRecord.NextOffset + 1}
		logline.Info("version_record_written", "versions", len(list), "new", len(missing))
	}
	return nil
}

func (g *Gateway) versionRecordFailed(err error, event string, pause time.Duration) {
	g.versionRecord.current = false
	g.versionRecord.notBefore = g.clock.Now() + pause
	logline.Error(err, event)
}

// takeVersionRecord puts into force what the record tells of versions that nobody has
// reported from an instance that received them as they were named.
func (g *Gateway) takeVersionRecord(list []weights.NamedVersion) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, wall := g.clock.Now(), g.wall()
	for _, v := range list {
		known, age := g.versionsOf(v.Model), max(0, wall.Sub(v.NamedAt))+timeOfDayMargin
		if known.dates(v.Version, now-age) {
			known.addEstimate(v.Version, now-age)
			logline.Info("weights_dated", "model", v.Model, "version", v.Version, "age", age)
		}
	}
	g.updateVersionBounds()
}
