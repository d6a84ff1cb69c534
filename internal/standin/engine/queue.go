package engine

import (
	"container/heap"
	"sync"
)

// job is a request that waits for prefill.
type job struct {
	stream   *stream
	prompt   []byte
	tokens   int
	priority int
	// wanted is the version the router counts on; empty takes any.
	wanted  string
	arrival uint64
}

type jobHeap []*job

func (h jobHeap) Len() int { return len(h) }
func (h jobHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority > h[j].priority
	}
	return h[i].arrival < h[j].arrival
}
func (h jobHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *jobHeap) Push(x any)   { *h = append(*h, x.(*job)) }
func (h *jobHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// queue hands out jobs by priority, then by arrival.
type queue struct {
	mu       sync.Mutex
	ready    *sync.Cond
	jobs     jobHeap
	arrivals uint64
	tokens   int
	closed   bool
}

func newQueue() *queue {
	q := &queue{}
	q.ready = sync.NewCond(&q.mu)
	return q
}

func (q *queue) push(j *job) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.arrivals++
	j.arrival = q.arrivals
	q.tokens += j.tokens
	heap.Push(&q.jobs, j)
	q.ready.Signal()
}

// close makes pop return nil.
func (q *queue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.ready.Broadcast()
}

// pop waits for a job; nil after close.
func (q *queue) pop() *job {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.jobs) == 0 && !q.closed {
		q.ready.Wait()
	}
	if q.closed {
		return nil
	}
	j := heap.Pop(&q.jobs).(*job)
	q.tokens -= j.tokens
	return j
}

// size is the number of waiting jobs and their prompt tokens.
func (q *queue) size() (jobs, tokens int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.jobs), q.tokens
}
