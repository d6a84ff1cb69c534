package streamorigin

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a process that has just started and takes the one version with targets for the only
// one of which callers may take up streams.
func TestSoleVersionAfterARestartFollowsFromTheRecord(t *testing.T) {
	const start, margin = time.Hour, time.Second
	wallStart := time.Unix(1_000_000, 0)
	gone := func(ago time.Duration) time.Time { return wallStart.Add(-ago) }
	for name, c := range map[string]struct {
		record     []RecordedVersion
		knownSince time.Time // of all entries
		read       bool
		at         time.Duration // since the start
		sole       bool
	}{
		"not read":                   {},
		"not read, long ago":         {at: Retention, sole: true},
		"only one":                   {read: true, record: []RecordedVersion{{Service: "engines", Software: "v2"}}, sole: true},
		"service not recorded":       {read: true, record: []RecordedVersion{{Service: "desk", Software: "v2"}}},
		"empty":                      {read: true},
		"other had targets":          {read: true, record: []RecordedVersion{{Service: "engines", Software: "v1"}, {Service: "engines", Software: "v2"}}, at: Retention},
		"other had, long ago":        {read: true, record: []RecordedVersion{{Service: "engines", Software: "v1"}, {Service: "engines", Software: "v2"}}, at: Retention + 1, sole: true},
		"only the other had":         {read: true, record: []RecordedVersion{{Service: "engines", Software: "v1"}}},
		"other just gone":            {read: true, record: []RecordedVersion{{Service: "engines", Software: "v1", GoneAt: gone(Retention)}, {Service: "engines", Software: "v2"}}},
		"other gone for long":        {read: true, record: []RecordedVersion{{Service: "engines", Software: "v1", GoneAt: gone(Retention + margin + 1)}, {Service: "engines", Software: "v2"}}, sole: true},
		"clock was set back":         {read: true, record: []RecordedVersion{{Service: "engines", Software: "v1", GoneAt: gone(-time.Hour)}, {Service: "engines", Software: "v2"}}},
		"writer just started":        {read: true, record: []RecordedVersion{{Service: "engines", Software: "v2"}}, knownSince: wallStart.Add(-time.Second)},
		"writer started a while ago": {read: true, record: []RecordedVersion{{Service: "engines", Software: "v2"}}, knownSince: wallStart.Add(-time.Second), at: Retention, sole: true},
		"other service's other":      {read: true, record: []RecordedVersion{{Service: "desk", Software: "v1"}, {Service: "engines", Software: "v2"}}, sole: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := NewVersions()
			v.Update(start, "engines", map[string]bool{"v2": true})
			for i := range c.record {
				c.record[i].KnownSince = c.knownSince
			}
			if c.read {
				v.ApplyRecord(start, wallStart, margin, c.record)
			}
			sole, ok := v.Sole(start+c.at, "engines")
			is.Equal(ok, c.sole)
			is.Equal(sole == "v2", c.sole)
		})
	}
}

// Guards against a process that reads the record before it knows its services, and forgets what it read
// or writes a record without it.
func TestRecordIsKeptUntilItsServicesAreKnown(t *testing.T) {
	const start = time.Hour
	is, wall := is.New(t), time.Unix(1_000_000, 0)
	v, list := NewVersions(), []RecordedVersion{{Service: "engines", Software: "v1"}, {Service: "engines", Software: "v2"}}
	v.ApplyRecord(start, wall, 0, list)
	is.Equal(len(v.Recorded(start, wall)), len(list))
	v.Update(start+time.Second, "engines", map[string]bool{"v2": true})
	_, ok := v.Sole(start+Retention, "engines")
	is.True(!ok)
	sole, ok := v.Sole(start+Retention+1, "engines")
	is.True(ok)
	is.Equal(sole, "v2")
}

// Guards against a record that misses a version that comes or goes, and against writes without a
// change.
func TestRecordFollowsTheVersions(t *testing.T) {
	is := is.New(t)
	v, wall := NewVersions(), time.Unix(1_000_000, 0)
	var r Record
	record := func(now time.Duration) (changed bool) {
		list := v.Recorded(now, wall.Add(now))
		changed = !r.HasSamePresent(list)
		if changed {
			r.Versions = list
		}
		return changed
	}
	is.True(!record(0))
	v.Update(0, "engines", map[string]bool{"v1": true})
	is.True(record(0))
	is.True(!record(time.Second))
	v.Update(2*time.Second, "engines", map[string]bool{"v1": true, "v2": true})
	is.True(record(2 * time.Second))
	v.Update(3*time.Second, "engines", map[string]bool{"v2": true})
	is.True(record(4 * time.Second))
	for i := range r.Versions {
		is.Equal(r.Versions[i].KnownSince, wall)
		r.Versions[i].KnownSince = time.Time{}
	}
	is.Equal(r.Versions, []RecordedVersion{{Service: "engines", Software: "v1", GoneAt: wall.Add(3 * time.Second)}, {Service: "engines", Software: "v2"}})
	is.True(!record(3*time.Second + 2*Retention)) // that it no longer matters is no change

	// A process that takes over keeps what it knows itself.
	v.ApplyRecord(5*time.Second, wall.Add(5*time.Second), 0, []RecordedVersion{{Service: "engines", Software: "v1"}})
	_, ok := v.Sole(3*time.Second+Retention, "engines")
	is.True(!ok)
}

// Guards against forgetting a version while callers may still take up streams that began there just
// before its targets stopped to get new ones.
func TestGoneVersionCountsAsLongAsItsStreams(t *testing.T) {
	const drainBound, callerTimeLimit = 5 * time.Second, 15 * time.Second
	is := is.New(t)
	v := NewVersions()
	v.Update(0, "engines", map[string]bool{"v1": true, "v2": true})
	v.Update(time.Hour, "engines", map[string]bool{"v2": true})
	_, ok := v.Sole(time.Hour+drainBound+callerTimeLimit, "engines")
	is.True(!ok)
}
