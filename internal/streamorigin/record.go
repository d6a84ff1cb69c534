package streamorigin

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// RecordedVersion is a software version of a service that has targets, or had some until GoneAt.
type RecordedVersion struct {
	Service, Software string
	// GoneAt is zero while the version has targets.
	GoneAt time.Time
	// KnownSince is when the writer, or those whose record it has read, began to know all versions
	// of the service.
	KnownSince time.Time
}

// Record is what the store keeps of software versions. It is all that remains of them when all
// instances restart.
type Record struct {
	Versions []RecordedVersion
	// NextOffset is the offset of the next write.
	NextOffset int64
}

// RecordStore reads and writes the record.
type RecordStore interface {
	// ReadSoftwareRecord reads the record. It is empty when there is none.
	ReadSoftwareRecord(ctx context.Context) (Record, error)
	// WriteSoftwareRecord writes a record if nothing was written since offset at. After an error it
	// is unknown whether the record was written or still will be.
	WriteSoftwareRecord(ctx context.Context, at int64, list []RecordedVersion) (written bool, err error)
}

// HasSamePresent reports whether the record and the list name the same versions with targets.
func (r Record) HasSamePresent(list []RecordedVersion) bool {
	return slices.Equal(presentIn(r.Versions), presentIn(list))
}

// presentIn returns the versions of a list that have targets, in order.
func presentIn(list []RecordedVersion) []RecordedVersion {
	var out []RecordedVersion
	for _, v := range list {
		if v.GoneAt.IsZero() {
			out = append(out, RecordedVersion{Service: v.Service, Software: v.Software})
		}
	}
	slices.SortFunc(out, compareVersions)
	return out
}

func compareVersions(a, b RecordedVersion) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Software, b.Software))
}

// Recorded returns the versions for the record. wallNow is the time of day.
func (v *Versions) Recorded(now time.Duration, wallNow time.Time) (list []RecordedVersion) {
	for service, s := range v.services {
		for version := range s.recent(now) {
			entry := RecordedVersion{Service: service, Software: version, KnownSince: wallNow.Add(s.trackedSince - now)}
			if !s.present[version] {
				entry.GoneAt = wallNow.Add(s.goneAt[version] - now)
			}
			list = append(list, entry)
		}
	}
	slices.SortFunc(list, compareVersions)
	return list
}

// ApplyRecord applies the record, as it was read after the targets: a version that it has and that no
// longer has targets may have begun streams until now, and the versions of a service that it names
// are known for as long as they were to its writers. margin is the error of the time of day.
func (v *Versions) ApplyRecord(now time.Duration, wallNow time.Time, margin time.Duration, list []RecordedVersion) {
	for _, entry := range list {
		s := v.services[entry.Service]
		if s == nil {
			s = &serviceVersions{trackedSince: now, goneAt: map[string]time.Duration{}}
			v.services[entry.Service] = s
		}
		s.trackedSince = min(s.trackedSince, now-min(max(0, wallNow.Sub(entry.KnownSince)-margin), Retention))
		if s.present[entry.Software] {
			continue
		}
		goneAt := now
		if !entry.GoneAt.IsZero() {
			goneAt = now - max(0, wallNow.Sub(entry.GoneAt)-margin)
		}
		if _, known := s.goneAt[entry.Software]; !known {
			s.goneAt[entry.Software] = goneAt
		}
	}
}
