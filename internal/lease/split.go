package lease

import (
	"maps"
	"slices"

	"github.com/mastictray/mastictray/internal/logrec"
	"github.com/mastictray/mastictray/internal/platform"
)

// KindSplit is a change of how accounts' rates are split over the domains.
const KindSplit logrec.Kind = "lease.split"

// whole is the sum of the parts of a split.
const whole = 1000

// Split is the body of KindSplit. It takes effect in two steps, so that a
// domain never mints what another has not given up: from its offset on, each
// mint slot uses the lower of the old and the new part; once every slot's
// holder has written a record that has seen it, the new parts are in force.
type Split struct {
	Accounts []AccountSplit `msgpack:"r"`
}

// AccountSplit splits one account's rate. Domains not named get nothing.
type AccountSplit struct {
	Account string       `msgpack:"a"`
	Shares   []DomainShare `msgpack:"p"`
}

// DomainShare is one domain's part in thousandths.
type DomainShare struct {
	Domain      string `msgpack:"d"`
	Thousandths uint16 `msgpack:"n"`
}

// valid reports that the parts do not sum up to more than the whole.
func (r AccountSplit) valid() bool {
	sum := 0
	for i, p := range r.Shares {
		sum += int(p.Thousandths)
		if slices.ContainsFunc(r.Shares[:i], func(o DomainShare) bool { return o.Domain == p.Domain }) {
			return false
		}
	}
	return sum <= whole
}

// part is the domain's part of the rate.
func (r AccountSplit) part(domain string) float64 {
	for _, p := range r.Shares {
		if p.Domain == domain {
			return float64(p.Thousandths) / whole
		}
	}
	return 0
}

// splits is the state of the split of all accounts. The maps are never
// changed in place.
type splits struct {
	inForce map[string]AccountSplit // by account; others are split equally
	pending map[string]AccountSplit
	at      platform.Offset // of the pending split
	version int             // goes up with each change
}

// split takes a change unless another is still on its way.
func (f *Table) split(off platform.Offset, s Split) {
	if f.splits.pending != nil || len(s.Accounts) == 0 {
		return
	}
	rows := map[string]AccountSplit{}
	for _, r := range s.Accounts {
		if !r.valid() {
			return
		}
		rows[r.Account] = r
	}
	f.splits.pending, f.splits.at = rows, off
	f.splits.version++
}

// settleSplit puts the pending split into force when all have seen it.
func (f *Table) settleSplit() {
	if f.splits.pending == nil || !f.splitSeen() {
		return
	}
	merged := maps.Clone(f.splits.inForce)
	if merged == nil {
		merged = map[string]AccountSplit{}
	}
	maps.Copy(merged, f.splits.pending)
	f.splits.inForce, f.splits.pending = merged, nil
	f.splits.version++
}

// splitSeen reports that nobody mints by the parts before the pending split.
// A holder that cannot be heard, and one whose floor was not taken over yet,
// may still do so.
func (f *Table) splitSeen() bool {
	for r, s := range f.states {
		if r.Domain() != "" && (!s.HasFloor || (s.Holder != "" && s.HolderApplied < f.splits.at)) {
			return false
		}
	}
	return true
}

// SplitVersion goes up whenever Part may give other answers.
func (f *Table) SplitVersion() int { return f.splits.version }

// SplitPending reports that a split is on its way; another would be void.
func (f *Table) SplitPending() bool { return f.splits.pending != nil }

// Share is the part (0 to 1) of an account's rate that the domain's slots may
// mint together, where equal is the part of a domain in an equal split.
func (f *Table) Share(account, domain string, equal float64) float64 {
	part := equal
	if r, ok := f.splits.inForce[account]; ok {
		part = r.part(domain)
	}
	if r, ok := f.splits.pending[account]; ok {
		part = min(part, r.part(domain))
	}
	return part
}

// SplitAccounts are the accounts that are not split equally.
func (f *Table) SplitAccounts() []string {
	names := slices.Collect(maps.Keys(f.splits.inForce))
	for name := range f.splits.pending {
		if _, ok := f.splits.inForce[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// rowsOf lists rows by account, for a checkpoint.
func rowsOf(rows map[string]AccountSplit) []AccountSplit {
	var list []AccountSplit
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		list = append(list, rows[name])
	}
	return list
}

// rowsBy is the reverse of rowsOf.
func rowsBy(list []AccountSplit) map[string]AccountSplit {
	if len(list) == 0 {
		return nil
	}
	rows := make(map[string]AccountSplit, len(list))
	for _, r := range list {
		rows[r.Account] = r
	}
	return rows
}
