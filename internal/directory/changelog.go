package directory

// ChangeLog keeps the recent changes of the registrations, without plain heartbeats.
// From it, an instance updates others that do not read the registrations themselves.
// It is not safe for concurrent use.
type ChangeLog struct {
	batches []batch
	end     int64
}

// batch is the result of reading the registrations from one offset to another.
type batch struct {
	from, next int64
	events     []Event
}

// maxBatches is the number of batches kept, about 30 seconds of reads. An instance
// that has missed more reads the registrations itself.
const maxBatches = 48

// Reset discards all batches; the log continues at the given offset.
func (c *ChangeLog) Reset(offset int64) {
	c.batches, c.end = nil, offset
}

// Add appends the changes that were read from one offset to the next. A read that
// starts after the end of the last one leaves a gap, so earlier batches are discarded.
// If a read starts before that end, the overlap has already been applied and contains
// no changes: only the rest is added.
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

// Since returns the events from an offset on, in order, or false if some of them are
// no longer kept. If the offset lies inside a batch, the whole batch is returned:
// applying its beginning again does not change the result.
func (c *ChangeLog) Since(offset int64) ([]Event, bool) {
	if offset == c.end {
		return nil, true
	}
	if len(c.batches) == 0 || offset < c.batches[0].from || offset > c.end {
		return nil, false
	}
	var out []Event
	for _, b := range c.batches {
		if b.next > offset {
			out = append(out, b.events...)
		}
	}
	return out, true
}
