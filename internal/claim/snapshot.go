package claim

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/platform"
	"github.com/mastictray/mastictray/internal/wire"
)

// ErrMalformedPage is returned for a snapshot page that can't be decoded completely.
var ErrMalformedPage = errors.New("claim: malformed snapshot page")

// Page is one page of a snapshot of the table. Holders are ordered by the offset of
// their claims.
type Page struct {
	// Start and Next are the range of offsets that the sender's table covers.
	Start     platform.Offset
	Next      platform.Offset
	TimeIndex []TimeIndexEntry
	Holders   []Holder
	// More is set if another page follows, which starts at the offset After.
	More  bool
	After platform.Offset
}

// Snapshot returns up to maxHolders holders whose claims have at least the offset from,
// without response bodies. With from -1 it returns the first page.
func (m *Machine) Snapshot(from platform.Offset, maxHolders int) Page {
	p := Page{Start: m.table.start, Next: m.table.next, TimeIndex: slices.Clone(m.table.timeIndex)}
	all := make([]*Holder, 0, len(m.table.holders))
	for _, h := range m.table.holders {
		if h.Offset >= from {
			all = append(all, h)
		}
	}
	slices.SortFunc(all, func(a, b *Holder) int { return cmp.Compare(a.Offset, b.Offset) })
	for i, h := range all {
		if i == maxHolders {
			p.More, p.After = true, h.Offset
			break
		}
		p.Holders = append(p.Holders, withoutBody(*h))
	}
	return p
}

func withoutBody(h Holder) Holder {
	if h.Result != nil && len(h.Result.Body) > 0 {
		r := *h.Result
		r.Body, r.BodyDropped = nil, true
		h.Result = &r
	}
	return h
}

// Restore replaces the table by a peer's snapshot and reports whether it did. It does so
// only if the snapshot reaches further back than the table. The pages must be in the
// order in which they were taken. The log is then read from the first page's Next:
// records whose effect later pages already contain have no effect when applied again,
// because attempt ids are unique.
func (m *Machine) Restore(pages []Page) bool {
	if len(pages) == 0 || pages[0].Next < pages[0].Start {
		return false
	}
	start := pages[0].Start
	for _, p := range pages {
		start = max(start, p.Start)
	}
	if m.table.next > 0 && start >= m.table.start {
		return false
	}
	t := newTable(m.cfg)
	t.start, t.next = start, pages[0].Next
	for _, p := range pages {
		for _, entry := range p.TimeIndex {
			t.addTimeEntry(entry)
		}
		for _, h := range p.Holders {
			if t.holders[h.Key] == nil {
				t.setHolder(&h)
			}
		}
	}
	m.table = t
	return true
}

// ToWire converts the page to a message between peers.
func (p Page) ToWire() wire.ClaimPage {
	b := wire.ClaimPage{Start: int64(p.Start), Next: int64(p.Next), More: p.More, After: int64(p.After)}
	for _, entry := range p.TimeIndex {
		b.Marks = append(b.Marks, wire.ClaimMark{Head: int64(entry.Head), Millis: entry.Millis})
	}
	for _, h := range p.Holders {
		b.Holders = append(b.Holders, holderToWire(h))
	}
	return b
}

func holderToWire(h Holder) wire.ClaimHolder {
	b := wire.ClaimHolder{
		Key: h.Key[:], Request: h.RequestHash[:], Attempt: h.Attempt,
		Incarnation: h.Incarnation, Address: h.Address, Offset: int64(h.Offset),
	}
	if h.Result != nil {
		b.Done, b.Unknown, b.Status = true, h.Result.Unknown, h.Result.Status
		b.ContentType, b.BodyDropped = h.Result.ContentType, h.Result.BodyDropped
	}
	return b
}

// PageFromWire decodes a peer's page. It rejects the whole page if a holder is malformed:
// without that holder, its key would seem to be free.
func PageFromWire(b wire.ClaimPage) (Page, error) {
	p := Page{Start: platform.Offset(b.Start), Next: platform.Offset(b.Next), More: b.More, After: platform.Offset(b.After)}
	for _, entry := range b.Marks {
		p.TimeIndex = append(p.TimeIndex, TimeIndexEntry{Head: platform.Offset(entry.Head), Millis: entry.Millis})
	}
	for _, hb := range b.Holders {
		h, ok := holderFromWire(hb)
		if !ok {
			return Page{}, errors.Wrapf(ErrMalformedPage, "holder offset=%d", hb.Offset)
		}
		p.Holders = append(p.Holders, h)
	}
	return p, nil
}

func holderFromWire(b wire.ClaimHolder) (Holder, bool) {
	if len(b.Key) != len(KeyHash{}) || len(b.Request) != len(RequestHash{}) {
		return Holder{}, false
	}
	h := Holder{
		Key: KeyHash(b.Key), RequestHash: RequestHash(b.Request), Attempt: b.Attempt,
		Incarnation: b.Incarnation, Address: b.Address, Offset: platform.Offset(b.Offset),
	}
	if b.Done {
		h.Result = &Result{
			Unknown: b.Unknown, Status: b.Status, ContentType: b.ContentType, BodyDropped: b.BodyDropped,
		}
	}
	return h, true
}
