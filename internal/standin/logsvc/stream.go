package logsvc

import "time"

// record is one stored entry.
type record struct {
	Offset int64  `json:"offset"`
	TimeMS int64  `json:"time_ms"`
	Data   []byte `json:"data"`
}

// stream is the retained end of one append-only stream.
type stream struct {
	start   int64
	records []record
	// changed is closed and replaced at each append.
	changed chan struct{}
}

func newStream() *stream { return &stream{changed: make(chan struct{})} }

func (s *stream) next() int64 { return s.start + int64(len(s.records)) }

func (s *stream) append(now time.Time, data [][]byte) int64 {
	first := s.next()
	for i, d := range data {
		s.records = append(s.records, record{Offset: first + int64(i), TimeMS: now.UnixMilli(), Data: d})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return first
}

// from returns at most limit records from an offset that is retained.
func (s *stream) from(offset int64, limit int) []record {
	if offset >= s.next() {
		return []record{}
	}
	tail := s.records[offset-s.start:]
	return append([]record{}, tail[:min(limit, len(tail))]...)
}

// keep forgets all but the last n records.
func (s *stream) keep(n int) {
	if drop := len(s.records) - n; drop > 0 {
		s.records = s.records[drop:]
		s.start += int64(drop)
	}
}

// expire forgets records stored before the time.
func (s *stream) expire(before time.Time) {
	n := 0
	for n < len(s.records) && s.records[n].TimeMS < before.UnixMilli() {
		n++
	}
	s.keep(len(s.records) - n)
}
