package claim

import (
	"maps"
	"time"
)

// Stats counts what claims cost. All counts go up only.
type Stats struct {
	// Appends, RecordsOut and BytesOut were handed out to be appended.
	Appends    int64
	RecordsOut int64
	BytesOut   int64
	// AppendErrors are appends that were refused or whose outcome is unknown.
	AppendErrors int64
	// RecordsIn and BytesIn were folded.
	RecordsIn int64
	BytesIn   int64
	// Dropped records found the queue full.
	Dropped int64
	// Answers by state.
	Answers map[State]int64
}

// Stats returns a copy of the counts.
func (m *Machine) Stats() Stats {
	s := m.stats
	s.Answers = maps.Clone(m.stats.Answers)
	return s
}

// Size is how many keys are remembered, and Held how many bytes of answers.
func (m *Machine) Size() (keys, heldBytes int) {
	return len(m.table.holders), m.table.held
}

// Coverage is how far back the fold surely reaches; ok is false while it
// reaches back to the first record of the stream.
func (m *Machine) Coverage() (back time.Duration, ok bool) {
	return m.table.coverage(m.wall), m.table.start > 0
}
