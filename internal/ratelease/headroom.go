package ratelease

import "time"

// maxHeadroomMarks bounds the marks; the oldest ones are merged.
const maxHeadroomMarks = 16

// headroomLog remembers how close a bucket came to its limit. Tokens that come
// back late (a refund, an expired credit) count only as far as the bucket would
// have had room for them all along. Otherwise a caller could let the bucket fill
// up, spend all of it and then get the refund on top, and one window would hold
// more than the burst.
type headroomLog struct {
	marks [maxHeadroomMarks]headroomMark
	n     int
}

// headroomMark is the room at time at, after event number seq. Marks are ordered
// by time, with increasing room.
type headroomMark struct {
	at   time.Duration
	seq  uint64
	room float64
}

// record adds the room at now, after event number seq.
func (h *headroomLog) record(now time.Duration, seq uint64, room float64) {
	for h.n > 0 && h.marks[h.n-1].room >= room {
		h.n--
	}
	if h.n == maxHeadroomMarks {
		// Merge the two oldest into the smaller room with the later time, so that a
		// query returns at most the true minimum.
		h.marks[1].room = h.marks[0].room
		copy(h.marks[:], h.marks[1:])
		h.n--
	}
	h.marks[h.n] = headroomMark{at: now, seq: seq, room: room}
	h.n++
}

// minSince returns the least room recorded at or after a time.
func (h *headroomLog) minSince(at time.Duration) float64 {
	for i := range h.n {
		if h.marks[i].at >= at {
			return max(0, h.marks[i].room)
		}
	}
	return 0
}

// minAfterSeq returns the least room recorded after event number seq.
func (h *headroomLog) minAfterSeq(seq uint64) float64 {
	for i := range h.n {
		if h.marks[i].seq >= seq {
			return max(0, h.marks[i].room)
		}
	}
	return 0
}

// reduce lowers all marks by tokens that came back late.
func (h *headroomLog) reduce(tokens float64) {
	for i := range h.n {
		h.marks[i].room -= tokens
	}
}
