package weights

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// Naming says when operators named a version of a model's weights.
type Naming struct {
	Model   string
	Version int64
	// At is a time of day, by the clock of the instance that wrote it.
	At time.Time
	// Estimate is set while nobody has written who heard the version as it was
	// named.
	Estimate bool
}

// Namings are kept in the platform's store. Operators' records have no times,
// and instances that heard a version as it was named can all be gone at once.
type Namings struct {
	List []Naming
	// End is the offset that the next record will get.
	End int64
}

// NamingLog is where the namings are kept.
type NamingLog interface {
	// ReadNamings reads the record; it is empty when there is none.
	ReadNamings(ctx context.Context) (Namings, error)
	// WriteNamings writes a record if nothing was written since offset at. An
	// error leaves open whether it was, or still will be.
	WriteNamings(ctx context.Context, at int64, list []Naming) (written bool, err error)
}

// Has says whether the record tells of a version, and as well as that.
func (n Namings) Has(v Naming) bool {
	return slices.ContainsFunc(n.List, func(known Naming) bool {
		return known.Model == v.Model && known.Version == v.Version && (!known.Estimate || v.Estimate)
	})
}

// With is the list with more namings. What is recorded stays, but for estimates
// that somebody corrects who heard the version. Of each model the newest
// versions are kept, at most as many as given.
func (n Namings) With(more []Naming, most int) []Naming {
	list := slices.Clone(n.List)
	for _, v := range more {
		if n.Has(v) {
			continue
		}
		list = slices.DeleteFunc(list, func(old Naming) bool { return old.Model == v.Model && old.Version == v.Version })
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b Naming) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(b.Version, a.Version))
	})
	kept := map[string]int{}
	return slices.DeleteFunc(list, func(v Naming) bool {
		kept[v.Model]++
		return kept[v.Model] > most
	})
}
