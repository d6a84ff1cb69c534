package config

import (
	"fmt"
	"testing"

	"github.com/mastictray/mastictray/internal/logrec"
)

// targetsPerFile splits the targets into files as operators of a large
// deployment do.
const targetsPerFile = 100

// largeState returns a state with two keys per account and targetsPerFile
// targets per file.
func largeState(b *testing.B, accounts, targets int) *State {
	files := map[string][]byte{"pool.ini": []byte("[model \"m\"]\nversion = v1\n[pool \"p\"]\nkind = engine\nmodel = m\n")}
	for a := range accounts {
		text := accountFile(fmt.Sprint("a", a), 1000)
		for k := range 2 {
			text = fmt.Appendf(text, "[key \"k%d-%d\"]\naccount = a%d\nsha256 = %064x\n", a, k, a, 2*a+k)
		}
		files[fmt.Sprintf("a%d.ini", a)] = text
	}
	for t := range targets {
		name := fmt.Sprintf("t%d.ini", t/targetsPerFile)
		files[name] = fmt.Appendf(files[name], "[target \"t%d\"]\naddress = 10.%d.%d.%d:80\ndomain = d%d\npool = p\n",
			t, t>>16, t>>8&255, t&255, t%11)
	}
	s := EmptyState()
	d := &entryDraft{}
	d.By = "bench"
	change := Change{Op: "1"}
	for name, text := range files {
		change.Files = append(change.Files, FileChange{Name: name, Base: NoRevision, Contents: text})
	}
	if ps := s.applyFiles(d, change); len(ps) > 0 {
		b.Fatal(ps)
	}
	s.Next = 1
	return s
}

// BenchmarkApplyChange applies a change of one account's file. The capacity page
// names this benchmark.
func BenchmarkApplyChange(b *testing.B) {
	for _, size := range []struct{ accounts, targets int }{{5, 15}, {50, 150}, {150, 1000}, {440, 3000}, {440, 10000}} {
		b.Run(fmt.Sprintf("accounts=%d/targets=%d", size.accounts, size.targets), func(b *testing.B) {
			s := largeState(b, size.accounts, size.targets)
			data, err := s.Encode()
			if err != nil {
				b.Fatal(err)
			}
			record, err := logrec.Encode(KindChange, "o", 0, change("op", "a0.ini", 0, accountFile("a0", 2000)))
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				n, err := Apply(s, record)
				if err != nil || n.Revision != 1 {
					b.Fatal(err, n.Audit)
				}
			}
			b.ReportMetric(float64(len(data)), "state-bytes")
		})
	}
}
