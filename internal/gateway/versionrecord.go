package gateway

import (
	"context"
	"time"

	"github.com/mastictray/mastictray/internal/feedturn"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/weights"
)

// versionRecordInterval is the interval between two checks of whether the record of
// named versions has to be read or written. If all instances are killed within one
// interval after a version is named, the version is not recorded.
const versionRecordInterval = 100 * time.Millisecond

// maxRecordedVersions is the maximum number of versions of each model in the record.
// More than that are never named within the bound on old weights, so at least one
// version is older than the bound.
const maxRecordedVersions = 32

// versionRecordRereadDelay is the delay before a record that lacks a version is read
// again: its writer may not have written the version yet.
const versionRecordRereadDelay = time.Second

// versionRecordRetryDelay is the delay after a failed write. Only one instance writes,
// so the delay can be shorter than where all instances retry.
const versionRecordRetryDelay = 300 * time.Millisecond

// wallClockMargin is added to ages computed from the record, since wall clocks jump by
// seconds. Versions of estimated age also have an earlier cutoff, after which requests
// neither start nor wait at outdated targets. Together, these tolerate an error of 3 s.
const wallClockMargin = time.Second

// versionRecord is this process's copy of the record of named versions. Only the loop
// that maintains the record uses it.
type versionRecord struct {
	weights.VersionRecord
	// upToDate is set while no later write is known.
	upToDate bool
	// notBefore is the end of the delay after a failed call or before the next read.
	notBefore time.Duration
}

// maintainVersionRecord records when versions are named, and reads the record if this
// process didn't receive a version when it was named. No other copy survives a restart
// of all instances: when each process counted the bound from its own start, requests
// began on weights replaced 25 s before.
func (g *Gateway) maintainVersionRecord(ctx context.Context) {
	for sleep(ctx, versionRecordInterval) {
		g.versionRecordStep(ctx)
	}
}

// versionRecordStep reads or writes the record if needed. While all targets serve the
// newest named version, ages don't matter and the store isn't called.
func (g *Gateway) versionRecordStep(ctx context.Context) {
	now := g.clock.Now()
	if now < g.versionRecord.notBefore || len(g.pendingRollouts()) == 0 {
		return
	}
	missing, needsRead := g.unrecordedVersions()
	mustWrite := len(missing) > 0 && g.peers.rank() == 0
	if !mustWrite && !needsRead {
		return
	}
	if !g.versionRecord.upToDate || !mustWrite {
		if err := g.readVersionRecord(ctx); err != nil {
			g.versionRecordFailed(err, "version_record_unread", feedturn.RetryDelay(g.peers.fleetSize(), g.newRand()))
			return
		}
		missing, needsRead = g.unrecordedVersions()
	}
	switch {
	case mustWrite && len(missing) > 0:
		if err := g.writeVersionRecord(ctx, missing); err != nil {
			g.versionRecordFailed(err, "version_record_unwritten", versionRecordRetryDelay)
		}
	case needsRead:
		g.versionRecord.notBefore = g.clock.Now() + versionRecordRereadDelay
	}
}

// unrecordedVersions returns the known versions that the record lacks or has only an
// estimate of. needsRead is set if the record could improve what this process knows:
// for one of these versions it has only an estimate, by which the version is not due
// yet.
func (g *Gateway) unrecordedVersions() (missing []weights.NamedVersion, needsRead bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, wallNow := g.clock.Now(), g.wallClock()
	due := now - g.settings.WeightsBound
	for model, versions := range g.versions {
		for _, v := range versions.newestDueAndLater(due) {
			named := weights.NamedVersion{Model: model, Version: v.version, NamedAt: wallNow.Add(v.namedAt - now), Estimated: v.estimated}
			if !g.versionRecord.Covers(named) {
				missing = append(missing, named)
				needsRead = needsRead || v.estimated && v.namedAt > due
			}
		}
	}
	return missing, needsRead
}

func (g *Gateway) readVersionRecord(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	record, err := g.store.ReadVersionRecord(ctx)
	if err != nil {
		return err
	}
	g.versionRecord.VersionRecord, g.versionRecord.upToDate = record, true
	g.applyVersionRecord(record.Versions)
	return nil
}

func (g *Gateway) writeVersionRecord(ctx context.Context, missing []weights.NamedVersion) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	list := g.versionRecord.Merge(missing, maxRecordedVersions)
	written, err := g.store.WriteVersionRecord(ctx, g.versionRecord.NextOffset, list)
	if err != nil {
		return err
	}
	g.versionRecord.upToDate = written
	if written {
		g.versionRecord.VersionRecord = weights.VersionRecord{Versions: list, NextOffset: g.versionRecord.NextOffset + 1}
		logline.Info("version_record_written", "versions", len(list), "new", len(missing))
	}
	return nil
}

func (g *Gateway) versionRecordFailed(err error, event string, pause time.Duration) {
	g.versionRecord.upToDate = false
	g.versionRecord.notBefore = g.clock.Now() + pause
	logline.Error(err, event)
}

// applyVersionRecord applies the recorded times to versions that no instance has
// reported as observed.
func (g *Gateway) applyVersionRecord(list []weights.NamedVersion) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, wallNow := g.clock.Now(), g.wallClock()
	for _, v := range list {
		known, age := g.versionsOf(v.Model), max(0, wallNow.Sub(v.NamedAt))+wallClockMargin
		if known.improvesEstimate(v.Version, now-age) {
			known.addEstimate(v.Version, now-age)
			logline.Info("weights_dated", "model", v.Model, "version", v.Version, "age", age)
		}
	}
	g.updateVersionBounds()
}
