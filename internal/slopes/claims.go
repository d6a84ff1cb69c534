package slopes

import (
	"fmt"
	"runtime"
	"time"

	"github.com/mastictray/mastictray/internal/claim"
	"github.com/mastictray/mastictray/internal/platform"
)

// claimBatch is the requests that share an append. The bytes of a record do
// not depend on it.
const claimBatch = 100

// claimStream is what n keyed requests write to the log: a claim and a result
// each.
func claimStream(n int) platform.Batch {
	m := claim.New(claim.Config{Incarnation: fmt.Sprintf("%032d", 1), Address: "10.0.0.1:7000", MaxKeys: n})
	b := platform.Batch{}
	now := time.Duration(0)
	for i := 0; i < n; i += claimBatch {
		for k := range claimBatch {
			id := fmt.Sprintf("%032d", i+k)
			_ = m.Begin(now, 1, claim.Request{ID: id, Account: "account", Key: id, Deadline: now + time.Hour})
		}
		for range 2 { // the claims, then the results
			now += 10 * time.Millisecond
			appendClaims(m, now, &b)
			for _, a := range m.Ready(now).Answers {
				_ = m.BeginDispatch(now, a.ID)
				_ = m.Finish(now, a.ID, claim.Result{Status: 200, ContentType: "application/json"})
			}
		}
	}
	return b
}

// appendClaims writes what the machine has ready and lets it read it.
func appendClaims(m *claim.Machine, now time.Duration, b *platform.Batch) {
	read := platform.Batch{}
	for _, a := range m.Ready(now).Appends {
		for _, data := range a.Records {
			r := platform.Record{Offset: platform.Offset(len(b.Records)), Data: data}
			b.Records, read.Records = append(b.Records, r), append(read.Records, r)
		}
		m.AppendDone(now, a.ID, nil)
	}
	if err := m.ApplyRecords(now, 1, read); err != nil {
		panic(err) // records of our own that do not fold are a programming error
	}
}

func claims() []Slope {
	sizes := []int{2000, 4000, 8000, 16000}
	fold := func(b platform.Batch) *claim.Machine {
		m := claim.New(claim.Config{})
		if err := m.ApplyRecords(0, 1, b); err != nil {
			panic(err)
		}
		return m
	}
	return []Slope{
		measure("claim-bytes", "keyed requests", "bytes of claims and results", sizes, func(n int) float64 {
			sum := 0
			for _, r := range claimStream(n).Records {
				sum += len(r.Data)
			}
			return float64(sum)
		}),
		measure("claim-fold", "keyed requests", "ns to fold all claims and results", sizes, func(n int) float64 {
			b := claimStream(n)
			return nanos(1, func() { fold(b) })
		}),
		measure("claim-memory", "keys held", "bytes of heap", sizes, func(n int) float64 {
			b := claimStream(n)
			defer runtime.KeepAlive(b)
			return heapBytes(func() any { return fold(b) })
		}),
	}
}
