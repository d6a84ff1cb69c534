package experiment

import (
	"container/heap"
	"time"
)

// clock is the event queue of the simulation. It runs functions in the order of
// their simulated time, and those with the same time in the order of scheduling.
type clock struct {
	now     time.Duration
	queue   eventHeap
	lastSeq uint64
}

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func (c *clock) after(d time.Duration, fn func()) {
	c.lastSeq++
	heap.Push(&c.queue, event{at: c.now + d, seq: c.lastSeq, run: fn})
}

func (c *clock) every(interval time.Duration, fn func()) {
	c.after(interval, func() {
		fn()
		c.every(interval, fn)
	})
}

func (c *clock) runUntil(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}
