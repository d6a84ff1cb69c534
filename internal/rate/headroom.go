package rate

import "time"

// headroomMarks is the most marks kept; older ones are merged.
const headroomMarks = 16

// headroomLog remembers how close a bucket came to its cap. Tokens that come
// back late (a refund, an expired credit) count only as far as the bucket
// would have had room for them all along: otherwise a caller could let the
// bucket fill up, spend it whole and then get the refund on top, and one
// window would hold more than the burst.
type headroomLog struct {
	marks [headroomMarks]headroomMark
	n     int
}

// headroomMark says how much room there was at time at, after event number
// seq. Marks are in time order with rising room.
type headroomMark struct {
	at   time.Duration
	seq  uint64
	room float64
}

// note records the room at now, after event number seq.
func (h *headroomLog) note(now time.Duration, seq uint64, room float64) {
	for h.n > 0 && h.marks[h.n-1].room >= room {
		h.n--
	}
	if h.n == headroomMarks {
		// Merge the two oldest: the lower room with the later time, so
		// that a query can only get less than the truth.
		h.marks[1].room = h.marks[0].room
		copy(h.marks[:], h.marks[1:])
		h.n--
	}
	h.marks[h.n] = headroomMark{at: now, seq: seq, room: room}
	h.n++
}

// leastSince is the lowest room noted at or after a time.
func (h *headroomLog) leastSince(at time.Duration) float64 {
	for i := range h.n {
		if h.marks[i].at >= at {
			return max(0, h.marks[i].room)
		}
	}
	return 0
}

// leastAfter is the lowest room noted after event number seq.
func (h *headroomLog) leastAfter(seq uint64) float64 {
	for i := range h.n {
		if h.marks[i].seq >= seq {
			return max(0, h.marks[i].room)
		}
	}
	return 0
}

// used lowers all marks by tokens that were put into the bucket late.
func (h *headroomLog) used(tokens float64) {
	for i := range h.n {
		h.marks[i].room -= tokens
	}
}
