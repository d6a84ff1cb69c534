package weights

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a later time that replaces the recorded one. Two instances
// record the same version, one of them late because it was suspended. The later
// time would let outdated weights serve for longer, so an existing entry stays
// unless it is an estimate and the new one is exact.
func TestRecordedVersionsStay(t *testing.T) {
	is := is.New(t)
	version := func(model string, number, at int64) NamedVersion {
		return NamedVersion{Model: model, Version: number, NamedAt: time.Unix(at, 0)}
	}
	estimate := func(v NamedVersion) NamedVersion { v.Estimated = true; return v }
	n := VersionRecord{Versions: []NamedVersion{version("m", 2, 20), version("m", 3, 30)}}
	list := n.Merge([]NamedVersion{version("m", 3, 38), version("m", 4, 39), version("other", 1, 5)}, 8)
	is.Equal(list, []NamedVersion{version("m", 4, 39), version("m", 3, 30), version("m", 2, 20), version("other", 1, 5)})
	is.Equal(n.Merge([]NamedVersion{version("m", 4, 39)}, 2), []NamedVersion{version("m", 4, 39), version("m", 3, 30)})
	is.Equal(len(n.Versions), 2) // the record itself is as it was
	is.True(n.Covers(version("m", 3, 0)))
	is.True(n.Covers(estimate(version("m", 3, 0))))
	is.True(!n.Covers(version("other", 3, 0)))

	late := VersionRecord{Versions: []NamedVersion{estimate(version("m", 3, 38))}}
	is.True(!late.Covers(version("m", 3, 0)))
	is.Equal(late.Merge([]NamedVersion{version("m", 3, 30)}, 8), []NamedVersion{version("m", 3, 30)})
	is.Equal(late.Merge([]NamedVersion{estimate(version("m", 3, 30))}, 8), late.Versions)
}
