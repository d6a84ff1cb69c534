package gateway

import (
	"context"
	"time"

	"github.com/mastictray/mastictray/internal/feedturn"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/streamorigin"
)

const (
	// softwareRecordInterval is the interval between two checks of whether the record of software
	// versions has to be read or written. If all instances are killed within one interval after a
	// version has its first target, the version is not recorded.
	softwareRecordInterval = 100 * time.Millisecond
	// softwareRecordRetryDelay is the delay after a failed write. Only one instance writes.
	softwareRecordRetryDelay = 300 * time.Millisecond
)

// softwareRecord is this process's copy of the record of software versions. Only the loop that
// maintains the record uses it.
type softwareRecord struct {
	streamorigin.Record
	// upToDate is set once it has been read, and while no later write is known.
	upToDate bool
	// notBefore is the end of the delay after a failed call.
	notBefore time.Duration
}

// maintainSoftwareRecord records which software versions have targets, and reads the record once:
// nothing else tells a process after a restart of all instances which versions began the streams
// that callers take up.
func (g *Gateway) maintainSoftwareRecord(ctx context.Context) {
	for sleep(ctx, softwareRecordInterval) {
		g.softwareRecordStep(ctx)
	}
}

// softwareRecordStep reads the record if this process hasn't, or writes it if it is the first-ranked
// instance and a version has come or gone.
func (g *Gateway) softwareRecordStep(ctx context.Context) {
	r := &g.softwareRecord
	if g.clock.Now() < r.notBefore || !g.knowsServiceTargets() {
		return
	}
	if !r.upToDate {
		if err := g.readSoftwareRecord(ctx); err != nil {
			logline.Error(err, "software_record_unread")
			r.notBefore = g.clock.Now() + feedturn.RetryDelay(g.peers.fleetSize(), g.newRand())
			return
		}
	}
	list := g.origins.recorded(g.clock.Now(), g.wallClock())
	if r.HasSamePresent(list) || g.peers.rank() != 0 {
		return
	}
	if err := g.writeSoftwareRecord(ctx, list); err != nil {
		logline.Error(err, "software_record_unwritten")
		r.upToDate, r.notBefore = false, g.clock.Now()+softwareRecordRetryDelay
	}
}

// knowsServiceTargets reports whether this process has read both the configuration and the
// registrations, without which it knows no versions.
func (g *Gateway) knowsServiceTargets() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registrations.nextOffset != unreadOffset && g.table.Load() != nil
}

func (g *Gateway) readSoftwareRecord(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	record, err := g.store.ReadSoftwareRecord(ctx)
	if err != nil {
		return err
	}
	g.softwareRecord.Record, g.softwareRecord.upToDate = record, true
	g.origins.applyRecord(g.clock.Now(), g.wallClock(), record.Versions)
	return nil
}

func (g *Gateway) writeSoftwareRecord(ctx context.Context, list []streamorigin.RecordedVersion) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	r := &g.softwareRecord
	written, err := g.store.WriteSoftwareRecord(ctx, r.NextOffset, list)
	if err != nil {
		return err
	}
	r.upToDate = written
	if written {
		r.Record = streamorigin.Record{Versions: list, NextOffset: r.NextOffset + 1}
		logline.Info("software_record_written", "versions", len(list))
	}
	return nil
}

// recorded returns the versions for the record.
func (o *streamOrigins) recorded(now time.Duration, wallNow time.Time) []streamorigin.RecordedVersion {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.versions.Recorded(now, wallNow)
}

// applyRecord applies the record.
func (o *streamOrigins) applyRecord(now time.Duration, wallNow time.Time, list []streamorigin.RecordedVersion) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.versions.ApplyRecord(now, wallNow, wallClockMargin, list)
	for _, service := range o.versions.Services() {
		if t, ok := o.versions.Tracked(service); ok {
			logline.Info("software_versions", "service", service, "versions", t.Present, "known_for", now-t.Since, "recorded", len(list))
		}
	}
}
