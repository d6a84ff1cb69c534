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
	// requiredVersion is the weights version that the router expects; empty
	// accepts any.
	requiredVersion string
	arrival         uint64
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

// queue orders jobs by descending priority, then by arrival.
type queue struct {
	mu          sync.Mutex
	nonEmpty    *sync.Cond
	jobs        jobHeap
	lastArrival uint64
	tokens      int
	closed      bool
}

func newQueue() *queue {
	q := &queue{}
	q.nonEmpty = sync.NewCond(&q.mu)
	return q
}

func (q *queue) push(j *job) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastArrival++
	j.arrival = q.lastArrival
	q.tokens += j.tokens
	heap.Push(&q.jobs, j)
	q.nonEmpty.Signal()
}

// close makes pop return nil.
func (q *queue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.nonEmpty.Broadcast()
}

// pop removes and returns the first job, waiting until there is one. It returns nil
// after close.
func (q *queue) pop() *job {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.jobs) == 0 && !q.closed {
		q.nonEmpty.Wait()
	}
	if q.closed {
		return nil
	}
	j := heap.Pop(&q.jobs).(*job)
	q.tokens -= j.tokens
	return j
}

// size returns the number of waiting jobs and the sum of their prompt tokens.
func (q *queue) size() (jobs, tokens int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.jobs), q.tokens
}
