package experiment

import (
	"container/heap"
	"time"
)

// clock runs functions in order of simulated time.
type clock struct {
	now   time.Duration
	queue eventHeap
	n     uint64
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
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

func (c *clock) after(d time.Duration, do func()) {
	c.n++
	heap.Push(&c.queue, event{at: c.now + d, seq: c.n, do: do})
}

func (c *clock) every(period time.Duration, do func()) {
	c.after(period, func() {
		do()
		c.every(period, do)
	})
}

func (c *clock) runUntil(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.do()
	}
	c.now = end
}
