package claim

import (
	"maps"
	"time"
)

// Stats counts the work of a Machine. All values are cumulative.
type Stats struct {
	// Appends, RecordsOut and BytesOut count what Ready returned to be appended.
	Appends    int64
	RecordsOut int64
	BytesOut   int64
	// AppendErrors counts appends that failed or whose outcome is unknown.
	AppendErrors int64
	// RecordsIn and BytesIn count what was read from the log and applied.
	RecordsIn int64
	BytesIn   int64
	// Dropped counts records that could not be queued, mostly because the queue was
	// full.
	Dropped int64
	// Answers counts answers by state.
	Answers map[State]int64
}

// Stats returns a copy of the counters.
func (m *Machine) Stats() Stats {
	s := m.stats
	s.Answers = maps.Clone(m.stats.Answers)
	return s
}

// Size returns the number of keys in the table and the total size of the response bodies
// that it holds.
func (m *Machine) Size() (keys, heldBytes int) {
	return len(m.table.holders), m.table.heldBodyBytes
}

// Coverage returns how far back the table certainly has all records. ok is false if it
// has all records since the start of the stream.
func (m *Machine) Coverage() (back time.Duration, ok bool) {
	return m.table.coverage(m.wallMillis), m.table.start > 0
}
