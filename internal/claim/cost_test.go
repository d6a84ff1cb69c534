package claim

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/mastictray/mastictray/internal/platform"
)

// runRequests runs n requests through one machine, with batch of them in each append, and
// returns the records and the machine's statistics.
func runRequests(n, batch int, body []byte) ([]platform.Record, Stats) {
	m := New(Config{Incarnation: fmt.Sprintf("%032d", 1), Address: "10.0.0.1:7000"})
	var records []platform.Record
	var now time.Duration
	for i := 0; i < n; i += batch {
		for k := range batch {
			id := fmt.Sprintf("%032d", i+k)
			_ = m.Begin(now, 1, Request{ID: id, Account: "account", Key: id, Deadline: now + time.Hour})
		}
		for range 2 { // the claims, then the results
			now += 10 * time.Millisecond
			out := m.Ready(now)
			b := platform.Batch{}
			for _, a := range out.Appends {
				for _, data := range a.Records {
					b.Records = append(b.Records, platform.Record{Offset: platform.Offset(len(records)), Data: data})
					records = append(records, b.Records[len(b.Records)-1])
				}
				m.AppendDone(now, a.ID, nil)
			}
			_ = m.ApplyRecords(now, 1, b)
			for _, a := range m.Ready(now).Answers {
				_ = m.BeginDispatch(now, a.ID)
				_ = m.Finish(now, a.ID, Result{Status: 200, ContentType: "application/json", Body: body})
			}
		}
	}
	return records, m.Stats()
}

// The log bytes per request do not depend on how many requests share an append, while the
// number of appends per request decreases with it.
func TestCostOfClaims(t *testing.T) {
	const n = 960
	var bytesUnbatched int64
	for _, batch := range []int{1, 4, 16, 48, 96} {
		_, s := runRequests(n, batch, nil)
		t.Logf("requests=%d batch=%d bytes/request=%d records/request=%.1f appends/request=%.3f",
			n, batch, s.BytesOut/n, float64(s.RecordsOut)/n, float64(s.Appends)/n)
		if s.RecordsOut != 2*n || s.Appends != int64(2*n/batch) {
			t.Fatalf("batch %d: %d records in %d appends", batch, s.RecordsOut, s.Appends)
		}
		if bytesUnbatched == 0 {
			bytesUnbatched = s.BytesOut
		}
		if s.BytesOut > bytesUnbatched*11/10 {
			t.Fatalf("batch %d: %d bytes, %d without batching", batch, s.BytesOut, bytesUnbatched)
		}
	}
}

// BenchmarkApplyRecords measures the CPU time that each instance spends per record of
// the claims stream.
func BenchmarkApplyRecords(b *testing.B) {
	records, _ := runRequests(20_000, 100, nil)
	b.ReportAllocs()
	b.ResetTimer()
	for i := 0; i < b.N; {
		m := New(Config{})
		end := min(len(records), b.N-i)
		_ = m.ApplyRecords(0, 1, platform.Batch{Records: records[:end]})
		i += end
	}
}

// BenchmarkKeyMemory measures the memory per key without a response body.
func BenchmarkKeyMemory(b *testing.B) {
	for _, n := range []int{4000, 8000, 16_000, 32_000} {
		records, _ := runRequests(n, 100, nil)
		b.Run(fmt.Sprint("keys=", n), func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				m := New(Config{})
				_ = m.ApplyRecords(0, 1, platform.Batch{Records: records})
				b.ReportMetric(float64(heapBytes()-before)/float64(n), "B/key")
				runtime.KeepAlive(m)
			}
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}
