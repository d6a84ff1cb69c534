package slopes

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/mastictray/mastictray/internal/audit"
)

func trail(n int) []audit.Entry {
	var list []audit.Entry
	for i := range n {
		list = append(list, audit.Entry{
			Stream: "config", Offset: int64(i), AtMillis: 1 << 40, By: "operator-1", Op: incarnation, Kind: "config.change",
			Subjects: []audit.Subject{{Name: "accounts/a0.ini", Before: "123456", After: "123457"}}, Outcome: audit.Accepted, Note: "raise the rate for the season",
		})
	}
	return list
}

func auditTrail() []Slope {
	sizes := []int{64, 128, 256, 512}
	return []Slope{
		measure("audit-bytes", "entries of the trail", "bytes encoded", sizes, func(n int) float64 {
			raw, err := msgpack.Marshal(trail(n))
			if err != nil {
				panic(err)
			}
			return float64(len(raw))
		}),
		measure("audit-append", "entries of the trail", "ns to append one", sizes, func(n int) float64 {
			const rounds = 500
			list := trail(n)
			return nanos(rounds, func() {
				for range rounds {
					audit.Append(list, list[0], n)
				}
			})
		}),
	}
}
