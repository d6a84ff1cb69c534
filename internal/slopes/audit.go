package slopes

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/mastictray/mastictray/internal/audit"
)

func auditEntries(n int) []audit.Entry {
	var list []audit.Entry
	for i := range n {
		list = append(list, audit.Entry{
			Stream: "config", Offset: int64(i), AtMillis: 1 << 40, By: "operator-1", Op: sampleIncarnation, Kind: "config.change",
			Subjects: []audit.Subject{{Name: "accounts/a0.ini", Before: "123456", After: "123457"}}, Outcome: audit.Accepted, Note: "raise the rate for the season",
		})
	}
	return list
}

func auditSlopes() []Slope {
	sizes := []int{64, 128, 256, 512}
	return []Slope{
		measureSlope("audit-bytes", "entries of the trail", "bytes encoded", sizes, func(n int) float64 {
			raw, err := msgpack.Marshal(auditEntries(n))
			if err != nil {
				panic(err)
			}
			return float64(len(raw))
		}),
		measureSlope("audit-append", "entries of the trail", "ns to append one", sizes, func(n int) float64 {
			const rounds = 500
			list := auditEntries(n)
			return minNanosPerOp(rounds, func() {
				for range rounds {
					audit.Append(list, list[0], n)
				}
			})
		}),
	}
}
