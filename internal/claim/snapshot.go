package claim

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/platform"
	"github.com/mastictray/mastictray/internal/wire"
)

// ErrMalformedPage is returned for a page that can't be read whole.
var ErrMalformedPage = errors.New("claim: malformed snapshot page")

// Page is a part of a snapshot of the fold, in the order of the claims.
type Page struct {
	// Start and Next bound the offsets that the sender has folded.
	Start   platform.Offset
	Next    platform.Offset
	Marks   []Mark
	Holders []Holder
	// More is set when another page follows, from After on.
	More  bool
	After platform.Offset
}

// Snapshot returns the holders claimed from the offset on, at most max of
// them and without the answers' bodies. A start with -1 gives the first page.
func (m *Machine) Snapshot(from platform.Offset, maxHolders int) Page {
	p := Page{Start: m.table.start, Next: m.table.next, Marks: slices.Clone(m.table.marks)}
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

// Restore replaces the fold by a peer's snapshot and reports whether it did.
// It does so only when the snapshot reaches further back than the own fold.
// Pages are in the order they were taken; the fold then goes on from the
// first page's Next: folding again what later pages show already changes
// nothing, because attempts are unique.
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
		for _, mk := range p.Marks {
			t.mark(mk)
		}
		for _, h := range p.Holders {
			if t.holders[h.Key] == nil {
				t.take(&h)
			}
		}
	}
	m.table = t
	return true
}

// ToWire is the page as a message between peers.
func (p Page) ToWire() wire.ClaimPage {
	b := wire.ClaimPage{Start: int64(p.Start), Next: int64(p.Next), More: p.More, After: int64(p.After)}
	for _, mk := range p.Marks {
		b.Marks = append(b.Marks, wire.ClaimMark{Head: int64(mk.Head), Millis: mk.Millis})
	}
	for _, h := range p.Holders {
		b.Holders = append(b.Holders, holderBody(h))
	}
	return b
}

func holderBody(h Holder) wire.ClaimHolder {
	b := wire.ClaimHolder{
		Key: h.Key[:], Request: h.Request[:], Attempt: h.Attempt,
		Incarnation: h.Incarnation, Address: h.Address, Offset: int64(h.Offset),
	}
	if h.Result != nil {
		b.Done, b.Unknown, b.Status = true, h.Result.Unknown, h.Result.Status
		b.ContentType, b.BodyDropped = h.Result.ContentType, h.Result.BodyDropped
	}
	return b
}

// PageFromWire reads a peer's page. A malformed holder makes the whole page
// worthless: leaving it out would show its key as free.
func PageFromWire(b wire.ClaimPage) (Page, error) {
	p := Page{Start: platform.Offset(b.Start), Next: platform.Offset(b.Next), More: b.More, After: platform.Offset(b.After)}
	for _, mk := range b.Marks {
		p.Marks = append(p.Marks, Mark{Head: platform.Offset(mk.Head), Millis: mk.Millis})
	}
	for _, hb := range b.Holders {
		h, ok := holderFrom(hb)
		if !ok {
			return Page{}, errors.Wrapf(ErrMalformedPage, "holder offset=%d", hb.Offset)
		}
		p.Holders = append(p.Holders, h)
	}
	return p, nil
}

func holderFrom(b wire.ClaimHolder) (Holder, bool) {
	if len(b.Key) != len(KeyHash{}) || len(b.Request) != len(RequestHash{}) {
		return Holder{}, false
	}
	h := Holder{
		Key: KeyHash(b.Key), Request: RequestHash(b.Request), Attempt: b.Attempt,
		Incarnation: b.Incarnation, Address: b.Address, Offset: platform.Offset(b.Offset),
	}
	if b.Done {
		h.Result = &Result{
			Unknown: b.Unknown, Status: b.Status, ContentType: b.ContentType, BodyDropped: b.BodyDropped,
		}
	}
	return h, true
}
