package directory

// ChangeLog are the events that recent reads of the registrations have brought,
// without mere heartbeats, for instances that do not read by themselves. It is
// not safe for concurrent use.
type ChangeLog struct {
	batches []batch
	end     int64
}

// batch is what was read from one place to another.
type batch struct {
	from, next int64
	events     []Event
}

// maxBatches bounds the reads remembered: half a minute of them. An instance
// that lacks more reads by itself.
const maxBatches = 48

// Reset forgets all; what comes from the place on will be known.
func (c *ChangeLog) Reset(at int64) {
	c.batches, c.end = nil, at
}

// Add takes in what was read from one place to another, and what it changed. A
// read that begins behind the end of the last one leaves a gap, and nothing
// before it can be told any more. One that begins before that end changes
// nothing up to there, since that was taken in already: it adds only the rest.
func (c *ChangeLog) Add(from, next int64, events []Event) {
	if from > c.end {
		c.Reset(from)
	}
	from = c.end
	c.end = next
	if last := len(c.batches) - 1; last >= 0 && len(events) == 0 && len(c.batches[last].events) == 0 {
		c.batches[last].next = next
		return
	}
	c.batches = append(c.batches, batch{from, next, events})
	if len(c.batches) > maxBatches {
		c.batches = c.batches[1:]
	}
}

// Since gives the events from a place on, in order; false when some of them are
// not remembered. A batch that the place lies in is given whole: taking its
// beginning in again changes nothing in the end.
func (c *ChangeLog) Since(place int64) ([]Event, bool) {
	if place == c.end {
		return nil, true
	}
	if len(c.batches) == 0 || place < c.batches[0].from || place > c.end {
		return nil, false
	}
	var out []Event
	for _, b := range c.batches {
		if b.next > place {
			out = append(out, b.events...)
		}
	}
	return out, true
}
