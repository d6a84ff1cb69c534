package slopes

import (
	"fmt"
	"runtime"
	"time"

	"github.com/mastictray/mastictray/internal/claim"
	"github.com/mastictray/mastictray/internal/platform"
)

// requestsPerAppend is the number of requests whose claims share one append. The
// size of a record doesn't depend on it.
const requestsPerAppend = 100

// claimRecords returns the log records of n requests with an idempotency key: a
// claim and a result for each.
func claimRecords(n int) platform.Batch {
	machine := claim.New(claim.Config{Incarnation: fmt.Sprintf("%032d", 1), Address: "10.0.0.1:7000", MaxKeys: n})
	b := platform.Batch{}
	now := time.Duration(0)
	for i := 0; i < n; i += requestsPerAppend {
		for k := range requestsPerAppend {
			id := fmt.Sprintf("%032d", i+k)
			_ = machine.Begin(now, 1, claim.Request{ID: id, Account: "account", Key: id, Deadline: now + time.Hour})
		}
		for range 2 { // claims first, then results
			now += 10 * time.Millisecond
			appendReadyClaims(machine, now, &b)
			for _, a := range machine.Ready(now).Answers {
				_ = machine.BeginDispatch(now, a.ID)
				_ = machine.Finish(now, a.ID, claim.Result{Status: 200, ContentType: "application/json"})
			}
		}
	}
	return b
}

// appendReadyClaims appends the records that the machine has ready to the batch and
// applies them to the machine, as a log follower does.
func appendReadyClaims(machine *claim.Machine, now time.Duration, b *platform.Batch) {
	appended := platform.Batch{}
	for _, a := range machine.Ready(now).Appends {
		for _, data := range a.Records {
			r := platform.Record{Offset: platform.Offset(len(b.Records)), Data: data}
			b.Records, appended.Records = append(b.Records, r), append(appended.Records, r)
		}
		machine.AppendDone(now, a.ID, nil)
	}
	if err := machine.ApplyRecords(now, 1, appended); err != nil {
		panic(err) // unreachable: the machine wrote these records itself
	}
}

func claimSlopes() []Slope {
	sizes := []int{2000, 4000, 8000, 16000}
	replay := func(b platform.Batch) *claim.Machine {
		m := claim.New(claim.Config{})
		if err := m.ApplyRecords(0, 1, b); err != nil {
			panic(err)
		}
		return m
	}
	return []Slope{
		measureSlope("claim-bytes", "keyed requests", "bytes of claims and results", sizes, func(n int) float64 {
			sum := 0
			for _, r := range claimRecords(n).Records {
				sum += len(r.Data)
			}
			return float64(sum)
		}),
		measureSlope("claim-fold", "keyed requests", "ns to fold all claims and results", sizes, func(n int) float64 {
			b := claimRecords(n)
			return minNanosPerOp(1, func() { replay(b) })
		}),
		measureSlope("claim-memory", "keys held", "bytes of heap", sizes, func(n int) float64 {
			b := claimRecords(n)
			defer runtime.KeepAlive(b)
			return measureHeapBytes(func() any { return replay(b) })
		}),
	}
}
