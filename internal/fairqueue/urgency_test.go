package fairqueue

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	urgent = MaxPriority
	normal = MaxPriority - 3
)

func newUrgencyQueue(maxItems int, rate float64) *Queue[int] {
	return New[int](Options{MaxItems: maxItems, MinRate: rate, UrgencyFirst: true})
}

// Guards against serving an account's less urgent items before another account's urgent ones.
func TestUrgentItemsOfAllAccountsAreServedFirst(t *testing.T) {
	is := is.New(t)
	q := newUrgencyQueue(100, 1000)
	q.Push(0, item{ID: 1, Account: "small", Priority: normal, Cost: 1})
	for id := uint64(2); id < 5; id++ {
		q.Push(0, item{ID: id, Account: "large", Priority: urgent, Cost: 100})
	}
	q.Push(0, item{ID: 5, Account: "small", Priority: urgent, Cost: 100})
	var order []uint64
	for it, ok := q.Pop(0); ok; it, ok = q.Pop(0) {
		order = append(order, it.ID)
	}
	is.Equal(len(order), 5)
	is.Equal(order[0], uint64(2))
	is.Equal(order[1], uint64(5)) // accounts share the class
}

// overload feeds a queue for a minute and returns how much of the cost of each class
// arrived and was served.
type overload struct {
	rate    float64
	demands map[string]demand // by account
}

type demand struct {
	priority int
	weight   float64
	perS     float64
	cost     float64
	deadline time.Duration
	soft     time.Duration
}

func (o overload) run() (arrived, served map[string]float64) {
	const step = 5 * time.Millisecond
	q := newUrgencyQueue(100000, o.rate)
	arrived, served = map[string]float64{}, map[string]float64{}
	id, due, room := uint64(0), map[string]float64{}, 0.0
	names := []string{}
	for _, name := range []string{"a", "b", "c", "d"} {
		if _, ok := o.demands[name]; ok {
			names = append(names, name)
		}
	}
	for now := time.Duration(0); now < time.Minute; now += step {
		for _, name := range names {
			d := o.demands[name]
			for due[name] += d.perS * step.Seconds(); due[name] >= 1; due[name]-- {
				id++
				it := item{ID: id, Account: name, Priority: d.priority, Weight: d.weight, Cost: d.cost}
				if d.deadline > 0 {
					it.Deadline = now + d.deadline
				}
				if d.soft > 0 {
					it.SoftDeadline = now + d.soft
				}
				arrived[name] += d.cost
				q.Push(now, it)
			}
		}
		q.Sweep(now)
		for room = min(room+o.rate*step.Seconds(), o.rate); room > 0; {
			it, ok := q.Pop(now)
			if !ok {
				break
			}
			room -= it.Cost
			served[it.Account] += it.Cost
		}
	}
	return arrived, served
}

// Guards against starving less urgent classes while urgent demand exceeds the rate.
func TestLessUrgentClassesKeepTheirFloor(t *testing.T) {
	for name, c := range map[string]struct{ urgentPerS, normalPerS, lowPerS float64 }{
		"urgent fills the rate":          {150, 100, 0},
		"small less urgent class":        {150, 5, 0},
		"less urgent class is much more": {80, 700, 0},
		"three classes":                  {120, 60, 60},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			arrived, served := overload{rate: 100_000, demands: map[string]demand{
				"a": {priority: urgent, perS: c.urgentPerS, cost: 1000, deadline: 3 * time.Second},
				"b": {priority: normal, perS: c.normalPerS, cost: 1000, deadline: 3 * time.Second},
				"c": {priority: 0, perS: c.lowPerS, cost: 1000, deadline: 3 * time.Second},
			}}.run()
			ratio := func(account string) float64 { return served[account] / arrived[account] }
			t.Log(served, arrived)
			is.True(ratio("b") >= ratio("a")/4)
			is.True(ratio("b") <= ratio("a")*1.01)
			if c.lowPerS > 0 {
				is.True(ratio("c") >= ratio("a")/4)
				is.True(ratio("c") <= ratio("b")*1.05)
			}
			is.True(served["a"]+served["b"]+served["c"] >= 0.95*100_000*60) // the rate is used
		})
	}
}

// Guards against one account at five times its usual crowding out the others of its urgency.
func TestAccountsOfOneUrgencyShareByWeight(t *testing.T) {
	is := is.New(t)
	_, served := overload{rate: 100_000, demands: map[string]demand{
		"a": {priority: urgent, weight: 1, perS: 400, cost: 1000, deadline: 3 * time.Second},
		"b": {priority: urgent, weight: 1, perS: 80, cost: 1000, deadline: 3 * time.Second},
		"c": {priority: urgent, weight: 2, perS: 160, cost: 1000, deadline: 3 * time.Second},
	}}.run()
	t.Log(served)
	within := func(a, b float64) bool { return a <= 1.1*b && b <= 1.1*a }
	is.True(within(served["a"], served["b"]))
	is.True(within(served["c"], 2*served["b"]))
}

// Guards against late items delaying those that can still be on time, and against never
// delivering them.
func TestLateItemsYieldAndAreDelivered(t *testing.T) {
	is := is.New(t)
	q := newUrgencyQueue(100, 1000)
	q.Push(0, item{ID: 1, Account: "a", Priority: urgent, Cost: 100, SoftDeadline: time.Second, Deadline: 20 * time.Second})
	q.Push(0, item{ID: 2, Account: "b", Priority: normal, Cost: 100, SoftDeadline: 5 * time.Second, Deadline: 20 * time.Second})
	is.Equal(len(q.Sweep(2*time.Second)), 0)
	first, _ := q.Pop(2 * time.Second)
	is.Equal(first.ID, uint64(2))
	second, ok := q.Pop(2 * time.Second)
	is.True(ok)
	is.Equal(second.ID, uint64(1))
}

// Guards against holding an item until its deadline that its class can't serve in time.
func TestPushRefusesWhatTheClassCannotServeInTime(t *testing.T) {
	is := is.New(t)
	q := newUrgencyQueue(1000, 1000)
	for id := range uint64(100) { // 10 s of urgent work
		q.Push(0, item{ID: id, Account: "a", Priority: urgent, Cost: 100})
	}
	for id := range uint64(10) {
		q.Push(0, item{ID: 100 + id, Account: "b", Priority: normal, Cost: 100})
	}
	refused := q.Push(0, item{ID: 200, Account: "b", Priority: normal, Cost: 100, Deadline: 2 * time.Second})
	is.Equal(len(refused), 1)
	is.Equal(refused[0].Reason, ReasonDeadline)
	is.True(refused[0].RetryAfter > 0)
	is.Equal(len(q.Push(0, item{ID: 201, Account: "c", Priority: urgent, Cost: 100, Deadline: 2 * time.Second})), 0)
}

// Guards against holding an item that has become late until its deadline passes.
func TestLateItemIsRefusedIfItCannotBeDelivered(t *testing.T) {
	is := is.New(t)
	q := newUrgencyQueue(1000, 1000)
	q.Push(0, item{ID: 1, Account: "a", Priority: urgent, Cost: 100, SoftDeadline: time.Second, Deadline: 3 * time.Second})
	for id := uint64(2); id < 200; id++ {
		q.Push(0, item{ID: id, Account: "b", Priority: urgent, Cost: 100})
	}
	refused := q.Sweep(1001 * time.Millisecond)
	is.Equal(len(refused), 1)
	is.Equal(refused[0].Item.ID, uint64(1))
}

// Guards against a full queue of less urgent items that shuts out urgent ones.
func TestFullQueueRefusesTheLeastUrgent(t *testing.T) {
	is := is.New(t)
	q := newUrgencyQueue(10, 1000)
	for id := range uint64(10) {
		q.Push(0, item{ID: id, Account: "a", Priority: normal, Cost: 1})
	}
	refused := q.Push(0, item{ID: 10, Account: "b", Priority: urgent, Cost: 1})
	is.Equal(len(refused), 1)
	is.Equal(refused[0].Item.ID, uint64(9))
}

// Guards against losing an item, or its caller's answer, between the classes.
func TestPropertyEveryItemLeavesOnceWithUrgencyFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[int](Options{MaxItems: 8, MinRate: 1000, UrgencyFirst: true})
		waiting := map[uint64]string{}
		remove := func(id uint64) {
			if waiting[id] == "" {
				t.Fatalf("item %d left the queue more than once", id)
			}
			delete(waiting, id)
		}
		var now time.Duration
		for id := uint64(1); id < 60; id++ {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			it := item{
				ID: id, Account: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"),
				Priority: rapid.IntRange(0, 9).Draw(t, "priority"), Cost: float64(rapid.IntRange(1, 900).Draw(t, "cost")),
				SoftDeadline: now + time.Duration(rapid.IntRange(0, 1000).Draw(t, "soft"))*time.Millisecond,
				Deadline:     now + time.Duration(rapid.IntRange(0, 5000).Draw(t, "due"))*time.Millisecond,
			}
			waiting[id] = it.Account
			for _, r := range q.Push(now, it) {
				remove(r.Item.ID)
			}
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0:
				for _, r := range q.Sweep(now) {
					remove(r.Item.ID)
				}
				if it, ok := q.Pop(now); ok {
					remove(it.ID)
				}
			case 1:
				q.Scan(now, 3, func(it *item) Verdict {
					v := Verdict(rapid.IntRange(0, 2).Draw(t, "verdict"))
					if v != Skip {
						remove(it.ID)
					}
					return v
				})
			case 2:
				if account := waiting[id]; account != "" && q.Cancel(account, id) {
					remove(id)
				}
			}
			if q.Len() != len(waiting) {
				t.Fatalf("queue has %d items, want %d", q.Len(), len(waiting))
			}
		}
		for it, ok := q.Pop(now); ok; it, ok = q.Pop(now) {
			remove(it.ID)
		}
		if q.Cost() != 0 || len(waiting) > 0 {
			t.Fatalf("cost %v, waiting %v after all items left", q.Cost(), waiting)
		}
	})
}

// Guards against memory that grows with the number of accounts ever seen while the queue is
// never empty.
func TestIdleAccountsAreRemovedUnderLoad(t *testing.T) {
	is := is.New(t)
	q := newUrgencyQueue(100, 1000)
	q.Push(0, item{ID: 1, Account: "steady", Priority: urgent, Cost: 1})
	for id := range uint64(20000) {
		q.Push(0, item{ID: 2 + 2*id, Account: fmt.Sprint("account-", id), Priority: urgent, Cost: 1})
		q.Push(0, item{ID: 3 + 2*id, Account: "steady", Priority: urgent, Cost: 1})
		q.Pop(0)
		q.Pop(0)
	}
	is.Equal(q.Len(), 1)
	for _, c := range q.classes {
		is.True(len(c.flows) <= 4*maxIdleFlows)
	}
}

func BenchmarkUrgencyPushAndPop(b *testing.B) {
	q := newUrgencyQueue(1<<20, 1e5)
	accounts := make([]string, 16)
	for i := range accounts {
		accounts[i] = string(rune('a' + i))
		q.Push(0, item{Account: accounts[i], Priority: urgent - i%3, Cost: 100})
	}
	b.ReportAllocs()
	for i := range b.N {
		q.Push(time.Duration(i), item{Account: accounts[i%16], Priority: urgent - i%3, Cost: 100})
		q.Pop(time.Duration(i))
	}
}
