package slopes

import (
	"bytes"
	"fmt"
	"time"

	"github.com/mastictray/mastictray/internal/ratelease"
	"github.com/mastictray/mastictray/internal/wire"
)

const sampleIncarnation = "0123456789abcdef0123"

func encodeFrame(kind wire.Kind, body any) []byte {
	f, err := wire.NewFrame(1, kind, body)
	if err != nil {
		panic(err) // unreachable: the bodies in this package can be encoded
	}
	raw, err := wire.Append(nil, f)
	if err != nil {
		panic(err)
	}
	return raw
}

func newHeartbeat(hints int) wire.Heartbeat {
	hb := wire.Heartbeat{From: wire.Identity{Instance: "entry-0001", Incarnation: sampleIncarnation, Address: "10.0.0.1:7000", Domain: "domain-01"}, RateShare: 0.01}
	for i := range hints {
		hb.Hints.Items = append(hb.Hints.Items, wire.RateItem{Account: fmt.Sprintf("account-%03d", i), Tokens: 12345.678, Demand: 234.5})
	}
	return hb
}

func heartbeatSlopes() []Slope {
	sizes := []int{0, 8, 16, 32, 64}
	return []Slope{
		measureSlope("heartbeat-bytes", "accounts hinted at", "bytes of a heartbeat", sizes, func(n int) float64 {
			return float64(len(encodeFrame(wire.KindHeartbeat, newHeartbeat(n))))
		}),
		measureSlope("heartbeat-time", "accounts hinted at", "ns to encode and decode", sizes, func(n int) float64 {
			const rounds = 500
			hb := newHeartbeat(n)
			return minNanosPerOp(rounds, func() {
				for range rounds {
					f, _ := wire.Read(bytes.NewReader(encodeFrame(wire.KindHeartbeat, hb)))
					var got wire.Heartbeat
					_ = f.DecodeBody(&got)
				}
			})
		}),
	}
}

func newLimiter(accounts int) *ratelease.Limiter {
	l := ratelease.New(ratelease.DefaultSettings(sampleIncarnation))
	l.SetAllocations(0, []ratelease.Allocation{{Fraction: 1, Until: time.Hour}})
	for i := range accounts {
		l.SetAccount(0, fmt.Sprintf("account-%03d", i), 1e9, 1e12)
	}
	return l
}

func rateSlopes() []Slope {
	accounts := []int{5, 50, 150, 440}
	items := []int{1, 4, 16, 64}
	return []Slope{
		measureSlope("rate-admit", "accounts", "ns for one admit and settle", accounts, func(n int) float64 {
			const rounds = 5000
			l := newLimiter(n)
			now := time.Minute
			return minNanosPerOp(rounds, func() {
				for i := range rounds {
					now += time.Millisecond
					o := l.Admit(now, fmt.Sprintf("account-%03d", i%n), 1000, now+time.Second)
					l.Settle(now, &o.Reservation, 900)
				}
			})
		}),
		measureSlope("rate-exchange-bytes", "accounts asked for", "bytes of ask, grant and return", items, func(n int) float64 {
			ask, grant, ret := wire.RateRequest{From: sampleIncarnation}, wire.RateGrant{From: sampleIncarnation, DebitedAtNanos: 1 << 40}, wire.RateReturn{To: sampleIncarnation}
			for i := range n {
				account := fmt.Sprintf("account-%03d", i)
				ask.Items = append(ask.Items, wire.RateItem{Account: account, Tokens: 1234.5, WaitedMicros: 1000})
				grant.Items = append(grant.Items, wire.RateGrantItem{Account: account, Tokens: 1234.5, Remaining: 99})
				ret.Items = append(ret.Items, wire.RateReturnItem{Account: account, DebitedAtNanos: 1 << 40, Spent: 1234.5})
			}
			return float64(len(encodeFrame(wire.KindRateRequest, ask)) + len(encodeFrame(wire.KindRateRequest, grant)) + len(encodeFrame(wire.KindRateReturn, ret)))
		}),
	}
}
