package ratelease

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/mastictray/mastictray/internal/wire"
)

// benchLimiter returns the limiter of one instance of a fleet with many
// accounts.
func benchLimiter(accounts, peers int) *Limiter {
	l := New(DefaultSettings("i0"))
	l.SetAllocations(0, []Allocation{{Fraction: 1, Since: -time.Second, Until: never}})
	for i := range accounts {
		l.SetAccount(0, fmt.Sprintf("account-%03d", i), 1e9, 1e9)
	}
	list := make([]Peer, 0, peers)
	for i := range peers {
		list = append(list, Peer{ID: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), Share: 1 / float64(peers+1)})
	}
	l.SetPeers(list)
	return l
}

func BenchmarkAdmitAndSettle(b *testing.B) {
	l, now := benchLimiter(440, 5), time.Second
	b.ReportAllocs()
	for b.Loop() {
		now += 10 * time.Microsecond
		out := l.Admit(now, "account-007", 8000, now)
		if out.Err != nil || out.Waiting {
			b.Fatal("not admitted")
		}
		l.Settle(now, &out.Reservation, 7000)
	}
}

func BenchmarkHandleTokenRequest(b *testing.B) {
	l, now := benchLimiter(440, 5), time.Second
	req := wire.RateRequest{From: "i1", Items: []wire.RateItem{{Account: "account-007", Tokens: 1}}}
	b.ReportAllocs()
	for b.Loop() {
		now += time.Millisecond
		l.HandleTokenRequest(now, req)
	}
}

// BenchmarkTick measures one Tick while one account has a waiting request, by
// number of accounts and peers.
func BenchmarkTick(b *testing.B) {
	for _, accounts := range []int{5, 55, 165, 440} {
		for _, peers := range []int{5, 220} {
			b.Run(fmt.Sprintf("accounts=%d/peers=%d", accounts, peers), func(b *testing.B) {
				l, now := benchLimiter(accounts, peers), time.Second
				l.Admit(now, "account-003", 1e9, 365*24*time.Hour)
				l.accounts["account-003"].waiters = append(l.accounts["account-003"].waiters, waiter{cost: 1e9, since: now, until: never})
				b.ReportAllocs()
				for b.Loop() {
					now += 20 * time.Millisecond
					l.Tick(now)
				}
			})
		}
	}
}

// BenchmarkMemory reports the heap bytes of a limiter by number of accounts and
// of peers whose hints it has received.
func BenchmarkMemory(b *testing.B) {
	for _, accounts := range []int{5, 55, 165, 440} {
		for _, peers := range []int{5, 44} {
			b.Run(fmt.Sprintf("accounts=%d/peers=%d", accounts, peers), func(b *testing.B) {
				for b.Loop() {
					before := heapBytes()
					l := benchLimiter(accounts, peers)
					for _, p := range l.peers {
						for name := range l.accounts {
							l.HandleHints(time.Second, p.ID, wire.RateHints{Items: []wire.RateItem{{Account: name, Tokens: 1}}})
						}
					}
					b.ReportMetric(float64(heapBytes()-before)/float64(accounts), "B/account")
					runtime.KeepAlive(l)
				}
			})
		}
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkMessageBytes reports the encoded size of one exchange (request,
// grant, return) by the number of accounts in it.
func BenchmarkMessageBytes(b *testing.B) {
	for _, accounts := range []int{1, 4, 16, 64} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			const id = "01a23935-8cec-7b06-907d-5eec2ad2e5c2"
			req, grant, ret := wire.RateRequest{From: id}, wire.RateGrant{From: id, DebitedAtNanos: 1 << 50}, wire.RateReturn{To: id}
			for i := range accounts {
				name := fmt.Sprintf("account-%03d", i)
				req.Items = append(req.Items, wire.RateItem{Account: name, Tokens: 1234.5, WaitedMicros: 1500})
				grant.Items = append(grant.Items, wire.RateGrantItem{Account: name, Tokens: 1234.5, Remaining: 987.6})
				ret.Items = append(ret.Items, wire.RateReturnItem{Account: name, DebitedAtNanos: 1 << 50, Spent: 1234.5})
			}
			sum := 0
			for b.Loop() {
				sum = 0
				for _, m := range []any{req, grant, ret} {
					raw, err := msgpack.Marshal(m)
					if err != nil {
						b.Fatal(err)
					}
					sum += len(raw)
				}
			}
			b.ReportMetric(float64(sum), "B/exchange")
		})
	}
}
