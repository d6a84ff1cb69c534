package slopes

import (
	"fmt"
	"maps"
	"runtime"
	"slices"

	"github.com/mastictray/mastictray/internal/config"
	"github.com/mastictray/mastictray/internal/lease"
	"github.com/mastictray/mastictray/internal/logrec"
	"github.com/mastictray/mastictray/internal/platform"
)

func encodeRecord(kind logrec.Kind, body any) []byte {
	raw, err := logrec.Encode(kind, sampleIncarnation, 1<<40, body)
	if err != nil {
		panic(err) // unreachable: the bodies in this package can be encoded
	}
	return raw
}

// targetsPerFile is the number of targets in a configuration file. Operators split
// large deployments into several files.
const targetsPerFile = 100

func accountFile(i, rate int) []byte {
	return fmt.Appendf(nil, "[account \"a%d\"]\ntokens-per-second = %d\nburst-tokens = 100000\n[key \"k%d\"]\naccount = a%d\nsha256 = %064x\n", i, rate, i, i, i)
}

const poolFile = "pool.ini"

// configState returns a configuration with the given number of targets and, for
// every 25 targets, one account with a key.
func configState(targets int) *config.State {
	files := map[string][]byte{poolFile: []byte("[model \"m\"]\nversion = v1\n[pool \"p\"]\nkind = engine\nmodel = m\n")}
	for a := range max(1, targets/25) {
		files[fmt.Sprintf("a%d.ini", a)] = accountFile(a, 1000)
	}
	for t := range targets {
		name := fmt.Sprintf("t%d.ini", t/targetsPerFile)
		files[name] = fmt.Appendf(files[name], "[target \"t%d\"]\naddress = 10.%d.%d.%d:80\ndomain = d%d\npool = p\n", t, t>>16, t>>8&255, t&255, t%11)
	}
	s := config.EmptyState()
	for _, name := range poolFirst(files) {
		text := files[name]
		s = applyChange(s, config.Change{Op: name, Rules: config.RulesVersion, Files: []config.FileChange{{Name: name, Base: config.NoRevision, Contents: text}}})
	}
	return s
}

// poolFirst returns the file names with the pool before the targets that refer to
// it.
func poolFirst(files map[string][]byte) []string {
	names := []string{poolFile}
	for _, name := range slices.Sorted(maps.Keys(files)) {
		if name != poolFile {
			names = append(names, name)
		}
	}
	return names
}

func applyChange(s *config.State, c config.Change) *config.State {
	n, err := config.Apply(s, encodeRecord(config.KindChange, c))
	if err != nil || n.Revision == s.Revision {
		panic(fmt.Sprint("configuration change rejected: ", err, n.Audit))
	}
	return n
}

func configSlopes() []Slope {
	sizes := []int{250, 1000, 2500, 10000}
	states := map[int]*config.State{}
	for _, n := range sizes {
		states[n] = configState(n)
	}
	return []Slope{
		measureSlope("config-state", "targets, with an account for 25", "bytes of the encoded state", sizes, func(n int) float64 {
			raw, err := states[n].Encode()
			if err != nil {
				panic(err)
			}
			return float64(len(raw))
		}),
		measureSlope("config-memory", "targets, with an account for 25", "bytes of heap", sizes, func(n int) float64 {
			return measureHeapBytes(func() any { return configState(n) })
		}),
		measureSlope("config-record", "bytes of the changed file", "bytes of the record", []int{100, 1000, 4000, 16000}, func(n int) float64 {
			return float64(len(encodeRecord(config.KindChange, config.Change{Op: sampleIncarnation, Rules: 1, Files: []config.FileChange{{Name: "accounts/a0.ini", Contents: make([]byte, n)}}})))
		}),
	}
}

func leaseSlopes() []Slope {
	sizes := []int{50, 200, 800, 2400}
	return []Slope{
		measureSlope("lease-record", "leases in a renewal", "bytes of the record", []int{1, 4, 16, 64}, func(n int) float64 {
			r := lease.Renew{Holder: sampleIncarnation, AppliedThrough: 1 << 30, Seq: 1 << 20}
			for i := range n {
				r.Leases = append(r.Leases, lease.Renewal{Resource: lease.RateSlot("domain-01", i), Token: 1 << 30})
			}
			return float64(len(encodeRecord(lease.KindRenew, r)))
		}),
		measureSlope("lease-fold", "renewals", "ns for all", sizes, func(n int) float64 {
			records := renewalRecords(n)
			return minNanosPerOp(1, func() {
				table := lease.NewTable()
				for i, raw := range records {
					e, _ := logrec.Decode(raw)
					_ = table.Apply(0, platform.Offset(i), e)
				}
			}) / 3
		}),
		measureSlope("lease-memory", "members with a lease", "bytes of heap", sizes, func(n int) float64 {
			records := renewalRecords(n)
			defer runtime.KeepAlive(records)
			return measureHeapBytes(func() any {
				table := lease.NewTable()
				for i, raw := range records {
					e, _ := logrec.Decode(raw)
					_ = table.Apply(0, platform.Offset(i), e)
				}
				return table
			})
		}),
	}
}

// renewalRecords returns the records of n members that each join, acquire a lease
// and renew it once.
func renewalRecords(n int) [][]byte {
	var out [][]byte
	add := func(kind logrec.Kind, body any) { out = append(out, encodeRecord(kind, body)) }
	for i := range n {
		id := fmt.Sprintf("%s-%d", sampleIncarnation, i)
		r := lease.RateSlot("domain-01", i)
		add(lease.KindJoin, lease.Join{Member: lease.Member{ID: id, Domain: "domain-01", Address: fmt.Sprintf("10.0.%d.%d:7000", i>>8, i&255)}})
		token := platform.Offset(len(out))
		seen := token - 1
		add(lease.KindAcquire, lease.Acquire{Resource: r, Holder: id, Basis: lease.BasisFree, ExpectedOffset: lease.NoOffset, AppliedThrough: seen, Seq: 1})
		add(lease.KindRenew, lease.Renew{Holder: id, Leases: []lease.Renewal{{Resource: r, Token: token}}, AppliedThrough: token, Seq: 2})
	}
	return out
}
