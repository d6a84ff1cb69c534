package weights

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// NamedVersion says when operators named a version of a model's weights.
type NamedVersion struct {
	Model   string
	Version int64
	// NamedAt is a time of day, by the clock of the instance that wrote it.
	NamedAt time.Time
	// Estimated is set while no instance has written it that received the version
	// as it was named.
	Estimated bool
}

// VersionRecord is kept in the platform's store. Operators' records have no times,
// and instances that received a version as it was named can all be gone at once.
type VersionRecord struct {
	Versions []NamedVersion
	// NextOffset is the offset that the next record will get.
	NextOffset int64
}

// VersionStore is where the record is kept.
type VersionStore interface {
	// ReadVersionRecord reads the record; it is empty when there is none.
	ReadVersionRecord(ctx context.Context) (VersionRecord, error)
	// WriteVersionRecord writes a record if nothing was written since offset at. An
	// error leaves open whether it was, or still will be.
	WriteVersionRecord(ctx context.Context, at int64, list []NamedVersion) (written bool, err error)
}

// Covers says whether the record tells of a version, and as well as that.
func (n VersionRecord) Covers(v NamedVersion) bool {
	return slices.ContainsFunc(n.Versions, func(known NamedVersion) bool {
		return known.Model == v.Model && known.Version == v.Version && (!known.Estimated || v.Estimated)
	})
}

// Merge is the list with more versions. What is recorded stays, but for estimates
// that an instance corrects which received the version in time. Of each model the newest
// versions are kept, at most as many as given.
func (n VersionRecord) Merge(more []NamedVersion, most int) []NamedVersion {
	list := slices.Clone(n.Versions)
	for _, v := range more {
		if n.Covers(v) {
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
		return kept[v.Model] > most
	})
}
