package weights

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// NamedVersion tells when operators named a version of a model's weights.
type NamedVersion struct {
	Model   string
	Version int64
	// NamedAt is a wall-clock time of the instance that wrote the entry.
	NamedAt time.Time
	// Estimated is set until an instance that received the version when it was
	// named has written the entry.
	Estimated bool
}

// VersionRecord lists the known versions with the times at which they were
// named. It is kept in the platform's store because operators' records carry no
// times, and because all instances that received a version when it was named
// can fail at once.
type VersionRecord struct {
	Versions []NamedVersion
	// NextOffset is the offset that the next record will get.
	NextOffset int64
}

// VersionStore keeps the record.
type VersionStore interface {
	// ReadVersionRecord reads the record. It is empty when there is none.
	ReadVersionRecord(ctx context.Context) (VersionRecord, error)
	// WriteVersionRecord writes a record if nothing was written since offset
	// at. After an error it is unknown whether the record was written or still
	// will be.
	WriteVersionRecord(ctx context.Context, at int64, list []NamedVersion) (written bool, err error)
}

// Covers reports whether the record has an entry for v's version that is at
// least as accurate: an estimate does not cover an exact time.
func (r VersionRecord) Covers(v NamedVersion) bool {
	return slices.ContainsFunc(r.Versions, func(known NamedVersion) bool {
		return known.Model == v.Model && known.Version == v.Version && (!known.Estimated || v.Estimated)
	})
}

// Merge returns the record's versions merged with more. An existing entry
// stays, unless it is an estimate and the new entry is exact. Of each model
// only the newest versions are kept, at most as many as given.
func (r VersionRecord) Merge(more []NamedVersion, limit int) []NamedVersion {
	list := slices.Clone(r.Versions)
	for _, v := range more {
		if r.Covers(v) {
			continue
		}
		list = slices.DeleteFunc(list, func(old NamedVersion) bool { return old.Model == v.Model && old.Version == v.Version })
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b NamedVersion) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(b.Version, a.Version))
	})
	kept := map[string]int{}
	return slices.DeleteFunc(list, func(v NamedVersion) bool {
		kept[v.Model]++
		return kept[v.Model] > limit
	})
}
