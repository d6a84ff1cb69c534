package logsvc

import "time"

// record is one record of a stream and the time at which it was stored.
type record struct {
	Offset int64  `json:"offset"`
	TimeMS int64  `json:"time_ms"`
	Data   []byte `json:"data"`
}

// stream holds the retained records of one append-only stream.
type stream struct {
	startOffset int64
	records     []record
	// changed is closed and replaced at each append, to wake waiting readers.
	changed chan struct{}
}

func newStream() *stream { return &stream{changed: make(chan struct{})} }

func (s *stream) nextOffset() int64 { return s.startOffset + int64(len(s.records)) }

func (s *stream) append(now time.Time, data [][]byte) int64 {
	first := s.nextOffset()
	for i, d := range data {
		s.records = append(s.records, record{Offset: first + int64(i), TimeMS: now.UnixMilli(), Data: d})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return first
}

// readFrom returns at most limit records, starting at the offset, which must not be
// trimmed.
func (s *stream) readFrom(offset int64, limit int) []record {
	if offset >= s.nextOffset() {
		return []record{}
	}
	tail := s.records[offset-s.startOffset:]
	return append([]record{}, tail[:min(limit, len(tail))]...)
}

// keepNewest drops all but the newest n records.
func (s *stream) keepNewest(n int) {
	if excess := len(s.records) - n; excess > 0 {
		s.records = s.records[excess:]
		s.startOffset += int64(excess)
	}
}

// dropBefore drops the records that were stored before the given time.
func (s *stream) dropBefore(before time.Time) {
	n := 0
	for n < len(s.records) && s.records[n].TimeMS < before.UnixMilli() {
		n++
	}
	s.keepNewest(len(s.records) - n)
}
