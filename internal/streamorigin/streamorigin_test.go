package streamorigin

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	v1 = Origin{Service: "engines", Software: "v1"}
	v2 = Origin{Service: "engines", Software: "v2"}
)

func all(string) bool { return true }

// Guards against origins that are forgotten while callers may still take their streams up, or
// replaced by that of a later part.
func TestTableKeepsFirstOriginForRetention(t *testing.T) {
	is := is.New(t)
	table, key := NewTable(), KeyOf("a")
	table.Record(0, key, v1)
	for now := time.Duration(0); now <= Retention; now += time.Second {
		table.Record(now, KeyOf(fmt.Sprint(now)), v2)
		table.Record(now, key, v2)
		o, ok := table.Find(key)
		is.True(ok)
		is.Equal(o, v1)
	}
	table.Record(10*Retention, KeyOf("b"), v2)
	table.Record(11*Retention, KeyOf("c"), v2)
	_, ok := table.Find(key)
	is.True(!ok)
}

// Guards against a table that grows without a bound.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	for i := range 3 * maxGeneration {
		table.Record(0, Key(i), v1)
	}
	is.True(len(table.current)+len(table.previous) <= 2*maxGeneration)
	_, ok := table.Find(Key(3*maxGeneration - 1))
	is.True(ok)
}

// Guards against broken streams that peers hear of after those that still run, and against
// streams that are told twice or needlessly.
func TestOutboxTellsBrokenStreamsFirst(t *testing.T) {
	is := is.New(t)
	b := NewOutbox()
	for i := range 10 {
		b.Begin(Key(i), v1)
	}
	b.End(0, 3, false)
	b.End(0, 4, true)
	b.End(0, 99, false) // already told
	is.Equal(b.Take(0, 5, func(service string) bool { return service == "other" }), map[Origin][]Key{})
	is.Equal(b.Take(0, 1, all), map[Origin][]Key{v1: {3}})
	is.Equal(len(b.Take(0, 100, all)[v1]), 8)
	is.Equal(len(b.Take(0, 100, all)), 0)
	b.End(0, 5, false) // its peers have it
	is.Equal(len(b.Take(0, 100, all)), 0)
	b.Begin(20, v2)
	b.End(0, 20, false)
	is.Equal(len(b.Take(Retention+1, 100, all)), 0)
}

// Guards against taking one version for the only one while streams of another may be taken up.
func TestSoleVersion(t *testing.T) {
	const start, second = time.Hour, time.Second
	set := func(versions ...string) map[string]bool {
		out := map[string]bool{}
		for _, v := range versions {
			out[v] = true
		}
		return out
	}
	for name, c := range map[string]struct {
		play    func(v *Versions)
		at      time.Duration
		sole    string
		several bool
	}{
		"tracked for long": {play: func(v *Versions) { v.Update(start, "engines", set("v1")) }, at: start + Retention, sole: "v1"},
		"just started":     {play: func(v *Versions) { v.Update(start, "engines", set("v1")) }, at: start + Retention - 1},
		"just started, with the record": {play: func(v *Versions) {
			v.Update(start, "engines", set("v1"))
			v.ApplyRecord(start, time.Unix(1_000_000, 0), 0, []RecordedVersion{{Service: "engines", Software: "v1"}})
		}, at: start, sole: "v1"},
		"targets read later": {play: func(v *Versions) {
			v.Update(start, "engines", set())
			v.Update(start+second, "engines", set("v1"))
		}, at: start + Retention},
		"two":             {play: func(v *Versions) { v.Update(start, "engines", set("v1", "v2")) }, at: start, several: true},
		"unknown service": {play: func(*Versions) {}, at: start},
		"other one just gone": {play: func(v *Versions) {
			v.Update(start, "engines", set("v1", "v2"))
			v.Update(start+second, "engines", set("v2"))
		}, at: start + second + Retention, several: true},
		"other one gone for long": {play: func(v *Versions) {
			v.Update(start, "engines", set("v1", "v2"))
			v.Update(start+second, "engines", set("v2"))
		}, at: start + second + Retention + 1, sole: "v2"},
		"peer tells of another one": {play: func(v *Versions) {
			v.Update(start, "engines", set("v1"))
			v.Note(start+second, v2)
			v.Note(start+second, v1)
		}, at: start + second, several: true},
		"no version stated": {play: func(v *Versions) {
			v.Update(start, "engines", set(""))
			v.ApplyRecord(start, time.Unix(1_000_000, 0), 0, []RecordedVersion{{Service: "engines"}})
		}, at: start},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := NewVersions()
			c.play(v)
			sole, ok := v.Sole(c.at, "engines")
			is.Equal(sole, c.sole)
			is.Equal(ok, c.sole != "" || name == "no version stated")
			is.Equal(v.Several(c.at, "engines"), c.several)
		})
	}
}

// BenchmarkFullTable reports the memory of a full table and the time of a record.
func BenchmarkFullTable(b *testing.B) {
	for range b.N {
		b.StopTimer()
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := NewTable()
		b.StartTimer()
		for i := range 2 * maxGeneration {
			table.Record(0, KeyOf(strconv.Itoa(i)), v1)
		}
		b.StopTimer()
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(2*maxGeneration), "ns/record")
		runtime.KeepAlive(table)
	}
}
