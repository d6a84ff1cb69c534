package fairqueue

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/mastictray/mastictray/internal/propertytest"
)

func TestMain(m *testing.M) { propertytest.Main(m, 200) }

type item = Item[int]

func newQueue(maxItems int) *Queue[int] {
	return New[int](Options{MaxItems: maxItems, MinRate: 1000})
}

// One account sends 5,000 small requests, or 20 very large ones, before another account
// sends a single one. That request must be served next. In a first-come-first-served
// queue, it would wait for all others.
func TestAccountIsServedDuringFloodOfAnother(t *testing.T) {
	for name, flood := range map[string]struct {
		n    int
		cost float64
	}{
		"many small": {5000, 1},
		"few huge":   {20, 50000},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := newQueue(10000)
			for i := range flood.n {
				is.Equal(len(q.Push(0, item{ID: uint64(i), Account: "noisy", Cost: flood.cost})), 0)
			}
			_, ok := q.Pop(0)
			is.True(ok)
			q.Push(0, item{Account: "quiet", Cost: 100})
			got, _ := q.Pop(0)
			is.Equal(got.Account, "quiet")
		})
	}
}

// A queue of 100 items is full of one account's requests when another account sends one.
// The first account must lose its newest request. If the pushed request were refused
// instead, one account could block all others by flooding the queue.
func TestFullQueueRefusesItemOfLargestAccount(t *testing.T) {
	is := is.New(t)
	q := newQueue(100)
	for i := range 100 {
		q.Push(0, item{ID: uint64(i), Account: "noisy", Cost: 1})
	}
	refused := q.Push(0, item{ID: 1000, Account: "quiet", Cost: 1})
	is.Equal(len(refused), 1)
	is.Equal(refused[0].Item.ID, uint64(99))
	is.Equal(refused[0].Reason, ReasonFull)
	is.Equal(q.Len(), 100)
}

// The queue holds ten seconds of work. A request due in five seconds must be refused
// immediately, with the time after which it could be served. If it waited until its
// deadline, its caller could not use the time to go elsewhere.
func TestPushRefusesItemThatMissesDeadline(t *testing.T) {
	is := is.New(t)
	q := newQueue(100)
	for i := range 10 {
		q.Push(0, item{ID: uint64(i), Account: "a", Cost: 1000})
	}
	refused := q.Push(0, item{Account: "a", Cost: 1, Deadline: 5 * time.Second})
	is.Equal(len(refused), 1)
	is.Equal(refused[0].Reason, ReasonDeadline)
	is.Equal(refused[0].RetryAfter, 5*time.Second)
	is.Equal(len(q.Push(0, item{Account: "b", Cost: 1, Deadline: 5 * time.Second})), 0) // account b has no backlog
	is.Equal(len(q.Push(0, item{Account: "a", Cost: 1, Priority: 5, Deadline: time.Second})), 0)
}

func TestSweepRemovesItemsPastDeadline(t *testing.T) {
	is := is.New(t)
	q := newQueue(100)
	q.Push(0, item{ID: 1, Account: "a", Cost: 1, Deadline: time.Second, MinServiceTime: 100 * time.Millisecond})
	q.Push(0, item{ID: 2, Account: "a", Cost: 1, Deadline: 3 * time.Second})
	is.Equal(len(q.Sweep(900*time.Millisecond)), 0)
	late := q.Sweep(901 * time.Millisecond)
	is.Equal(len(late), 1)
	is.Equal(late[0].Item.ID, uint64(1))
	is.Equal(q.Len(), 1)
}

func TestPrioritiesOrderInsideAccountOnly(t *testing.T) {
	is := is.New(t)
	q := newQueue(100)
	q.Push(0, item{ID: 1, Account: "a", Cost: 10})
	q.Push(0, item{ID: 2, Account: "a", Cost: 10, Priority: 9})
	q.Push(0, item{ID: 3, Account: "b", Cost: 10})
	var order []uint64
	for it, ok := q.Pop(0); ok; it, ok = q.Pop(0) {
		order = append(order, it.ID)
	}
	is.Equal(order, []uint64{2, 3, 1})
}

func TestAdjustChargeCountsActualUse(t *testing.T) {
	is := is.New(t)
	q := newQueue(100)
	for i := range 3 {
		q.Push(0, item{ID: uint64(i), Account: "a", Cost: 10})
		q.Push(0, item{ID: uint64(10 + i), Account: "b", Cost: 10})
	}
	first, _ := q.Pop(0)
	q.AdjustCharge(first.Account, 25) // it used 35 tokens instead of 10
	for range 3 {
		it, _ := q.Pop(0)
		is.True(it.Account != first.Account)
	}
}

func TestCancelRemovesItem(t *testing.T) {
	is := is.New(t)
	q := newQueue(100)
	q.Push(0, item{ID: 1, Account: "a", Cost: 10})
	is.True(q.Cancel("a", 1))
	is.True(!q.Cancel("a", 1))
	is.Equal(q.Len(), 0)
	is.Equal(q.Cost(), 0.0)
}

// While two accounts have waiting items, the tokens served to each, divided by its
// weight, differ by no more than the sum of their largest requests divided by their
// weights. This is the fairness bound of start-time fair queueing.
func TestPropertyBackloggedAccountsShareByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue(100000)
		weights := map[string]float64{"a": rapid.Float64Range(0.5, 4).Draw(t, "wa"), "b": 1}
		largest := map[string]float64{}
		for name, w := range weights {
			for _, cost := range rapid.SliceOfN(rapid.Float64Range(1, 1000), 30, 30).Draw(t, name) {
				q.Push(0, item{Account: name, Weight: w, Cost: cost})
				largest[name] = max(largest[name], cost)
			}
		}
		served := map[string]float64{}
		left := map[string]int{"a": 30, "b": 30}
		for left["a"] > 0 && left["b"] > 0 {
			it, _ := q.Pop(0)
			left[it.Account]--
			served[it.Account] += it.Cost
			diff := served["a"]/weights["a"] - served["b"]/weights["b"]
			if bound := largest["a"]/weights["a"] + largest["b"]; diff > bound+1e-6 || diff < -bound-1e-6 {
				t.Fatalf("difference %v exceeds bound %v", diff, bound)
			}
		}
	})
}

// In any sequence of operations, every item leaves exactly once: popped or refused. The
// caller of a lost item would never get an answer.
func TestPropertyEveryItemLeavesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue(5)
		waiting := map[uint64]bool{}
		remove := func(id uint64) {
			if !waiting[id] {
				t.Fatalf("item %d left the queue more than once", id)
			}
			delete(waiting, id)
		}
		var now time.Duration
		for id := range uint64(60) {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			waiting[id] = true
			it := item{
				ID: id, Account: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"),
				Priority: rapid.IntRange(0, 9).Draw(t, "priority"), Cost: float64(rapid.IntRange(1, 900).Draw(t, "cost")),
				Deadline: now + time.Duration(rapid.IntRange(0, 3000).Draw(t, "due"))*time.Millisecond,
			}
			for _, r := range q.Push(now, it) {
				remove(r.Item.ID)
			}
			if rapid.Bool().Draw(t, "pop") {
				for _, r := range q.Sweep(now) {
					remove(r.Item.ID)
				}
				if it, ok := q.Pop(now); ok {
					remove(it.ID)
				}
			}
			if q.Len() != len(waiting) {
				t.Fatalf("queue has %d items, want %d", q.Len(), len(waiting))
			}
		}
	})
}

// One account was served while another one was idle, then both send requests. They must
// share the rate from then on. If idle time counted as credit, the second account would
// be served alone until it had caught up.
func TestIdleTimeGivesNoCredit(t *testing.T) {
	is := is.New(t)
	q := newQueue(1000)
	for i := range 200 {
		q.Push(0, item{ID: uint64(i), Account: "busy", Cost: 100})
	}
	for range 100 {
		q.Pop(0)
	}
	for i := range 50 {
		q.Push(0, item{ID: uint64(i), Account: "idle", Cost: 100})
	}
	served := map[string]int{}
	for range 20 {
		it, _ := q.Pop(0)
		served[it.Account]++
	}
	is.Equal(served["busy"], 10)
}

// The first account's next request is for a target at capacity. The scan must skip it
// and serve the other account, which would otherwise wait for a target that it does not
// use.
func TestScanSkipsBlockedItems(t *testing.T) {
	is := is.New(t)
	q := newQueue(100)
	for id, account := range []string{"a", "a", "b", "b"} {
		q.Push(0, item{ID: uint64(id), Account: account, Cost: 10})
	}
	var visited []uint64
	q.Scan(0, 3, func(it *item) Verdict {
		visited = append(visited, it.ID)
		return []Verdict{Skip, Serve, Refuse}[len(visited)-1]
	})
	is.Equal(visited, []uint64{0, 2, 1}) // a's first item is skipped, its second follows b's first
	is.Equal(q.Len(), 2)
	first, _ := q.Pop(0)
	is.Equal(first.ID, uint64(0)) // the skipped item kept its position
}
