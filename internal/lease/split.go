package lease

import (
	"maps"
	"slices"

	"github.com/mastictray/mastictray/internal/logrec"
	"github.com/mastictray/mastictray/internal/platform"
)

// KindSplit is a record that changes how accounts' rates are split between the
// domains.
const KindSplit logrec.Kind = "lease.split"

// totalThousandths is the most that the shares of a split may add up to.
const totalThousandths = 1000

// Split is the body of a KindSplit record. It takes effect in two steps, so
// that a domain never issues what another has not given up yet: from the
// record's offset on, each slot uses the lower of the old and the new share.
// Once the holder of every slot has written a record that shows it has applied
// the split, the new shares are in force.
type Split struct {
	Accounts []AccountSplit `msgpack:"r"`
}

// AccountSplit splits one account's rate. Domains not listed get nothing.
type AccountSplit struct {
	Account string        `msgpack:"a"`
	Shares  []DomainShare `msgpack:"p"`
}

// DomainShare is one domain's share in thousandths.
type DomainShare struct {
	Domain      string `msgpack:"d"`
	Thousandths uint16 `msgpack:"n"`
}

// valid reports whether no domain is listed twice and the shares add up to at
// most the whole rate.
func (r AccountSplit) valid() bool {
	sum := 0
	for i, p := range r.Shares {
		sum += int(p.Thousandths)
		if slices.ContainsFunc(r.Shares[:i], func(o DomainShare) bool { return o.Domain == p.Domain }) {
			return false
		}
	}
	return sum <= totalThousandths
}

// share returns the domain's share of the rate, from 0 to 1.
func (r AccountSplit) share(domain string) float64 {
	for _, p := range r.Shares {
		if p.Domain == domain {
			return float64(p.Thousandths) / totalThousandths
		}
	}
	return 0
}

// splits holds the splits of all accounts. The maps are never changed in place.
type splits struct {
	active    map[string]AccountSplit // by account; others are split equally
	pending   map[string]AccountSplit
	pendingAt platform.Offset // of the pending split
	version   int             // increases with each change
}

// split records a change as pending. It ignores the change while another is
// pending, or if any account's split is invalid.
func (t *Table) split(off platform.Offset, s Split) {
	if t.splits.pending != nil || len(s.Accounts) == 0 {
		return
	}
	byAccount := map[string]AccountSplit{}
	for _, r := range s.Accounts {
		if !r.valid() {
			return
		}
		byAccount[r.Account] = r
	}
	t.splits.pending, t.splits.pendingAt = byAccount, off
	t.splits.version++
}

// activateSplit puts the pending split into force once every holder has applied
// it.
func (t *Table) activateSplit() {
	if t.splits.pending == nil || !t.splitAcknowledged() {
		return
	}
	merged := maps.Clone(t.splits.active)
	if merged == nil {
		merged = map[string]AccountSplit{}
	}
	maps.Copy(merged, t.splits.pending)
	t.splits.active, t.splits.pending = merged, nil
	t.splits.version++
}

// splitAcknowledged reports whether nobody issues by the shares before the
// pending split any more. A holder that has not renewed since may still do so,
// and so may a former holder that may still use the floor.
func (t *Table) splitAcknowledged() bool {
	for r, s := range t.leases {
		if r.Domain() != "" && (!s.HasFloor || (s.Holder != "" && s.HolderApplied < t.splits.pendingAt)) {
			return false
		}
	}
	return true
}

// SplitVersion increases whenever Share may return other values.
func (t *Table) SplitVersion() int { return t.splits.version }

// SplitPending reports whether a split is pending. Another one would be
// ignored.
func (t *Table) SplitPending() bool { return t.splits.pending != nil }

// Share returns the share (0 to 1) of an account's rate that the domain's slots
// may issue together. equal is a domain's share in an equal split.
func (t *Table) Share(account, domain string, equal float64) float64 {
	share := equal
	if r, ok := t.splits.active[account]; ok {
		share = r.share(domain)
	}
	if r, ok := t.splits.pending[account]; ok {
		share = min(share, r.share(domain))
	}
	return share
}

// SplitAccounts returns the accounts whose split is not equal, in name order.
func (t *Table) SplitAccounts() []string {
	names := slices.Collect(maps.Keys(t.splits.active))
	for name := range t.splits.pending {
		if _, ok := t.splits.active[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// sortedSplits lists splits by account name, for a checkpoint.
func sortedSplits(byAccount map[string]AccountSplit) []AccountSplit {
	var list []AccountSplit
	for _, name := range slices.Sorted(maps.Keys(byAccount)) {
		list = append(list, byAccount[name])
	}
	return list
}

// splitsByAccount is the inverse of sortedSplits.
func splitsByAccount(list []AccountSplit) map[string]AccountSplit {
	if len(list) == 0 {
		return nil
	}
	byAccount := make(map[string]AccountSplit, len(list))
	for _, r := range list {
		byAccount[r.Account] = r
	}
	return byAccount
}
