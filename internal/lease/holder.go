package lease

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/logrec"
	"github.com/mastictray/mastictray/internal/platform"
	"github.com/mastictray/mastictray/internal/wire"
)

// Holder is one instance's side of the protocol: it keeps the leases that the
// instance wants and says until when each may be used. It is not safe for
// concurrent use.
type Holder struct {
	settings Settings
	fold     *Fold
	caughtUp bool
	leaving  bool

	seq      uint64
	sent     map[uint64]time.Duration // own records not yet folded
	joinAt   time.Duration            // of the last join sent
	renewAt  time.Duration            // of the last renewal sent
	renewNow bool                     // a member has joined since
	yieldAt  time.Duration            // of the last yields sent
	held     map[Resource]*holding
	acquires map[Resource]attempt       // sent and not settled
	promised map[Resource]time.Duration // own promises to others

	lastAsk uint64
	asks    map[uint64]pendingAsk
	askAt   time.Duration // of the last round of asks
}

// holding is a lease that the fold says is this incarnation's.
type holding struct {
	token platform.Offset
	// sentAt is when the last confirmed record was sent; the right to the
	// lease is counted from here.
	sentAt     time.Duration
	since      time.Duration
	floorSince time.Duration
	floor      bool
	first      bool
	promises   map[string]time.Duration // by member
}

// unknownSend stands for a record whose time of sending is not known, such as
// an own acquire that a checkpoint covers. The lease is renewed but not used
// before a renewal is folded; were it left alone, nobody would hold it until it
// lapses.
const unknownSend = -1000 * time.Hour

// attempt is acquires of one resource whose outcome is open. All of them are
// based on the same offset: the first that takes effect makes the rest void.
type attempt struct {
	basedOn platform.Offset
	seqs    []uint64
	sentAt  time.Duration // of the last one
}

// Record is a record to append to the control stream. The result goes to
// Appended.
type Record struct {
	Kind logrec.Kind
	Body any
	Seq  uint64
}

// Ready is the work that a Tick found.
type Ready struct {
	Records []Record
	Asks    []Ask
}

// Grant is a lease that may be used now.
type Grant struct {
	Resource Resource
	// Token is the fencing token.
	Token platform.Offset
	// Since is when the lease was won, Until when the right ends unless it
	// is extended. Until is in the past when only the floor is left.
	Since, Until time.Duration
	// FloorSince and FloorUntil bound the use of the floor; both are 0 when
	// an earlier holder may still use it.
	FloorSince, FloorUntil time.Duration
	// First says that nobody has held the resource before.
	First bool
}

// NewHolder makes a holder that has folded nothing.
func NewHolder(s Settings) *Holder {
	return &Holder{
		settings: s,
		fold:     NewFold(),
		sent:     map[uint64]time.Duration{},
		held:     map[Resource]*holding{},
		acquires: map[Resource]attempt{},
		promised: map[Resource]time.Duration{},
		asks:     map[uint64]pendingAsk{},
	}
}

// Fold is the state of all leases, for reading.
func (h *Holder) Fold() *Fold { return h.fold }

// Trimmed tells that the log lost the records before start. Leases that are
// held stay in use as long as their right lasts; nothing is acquired before a
// checkpoint shows who holds what.
func (h *Holder) Trimmed(start platform.Offset) {
	h.caughtUp = false
	h.fold.Trimmed(start)
}

// CaughtUp tells that the fold has reached the end of the stream once. Before
// that nothing is acquired.
func (h *Holder) CaughtUp() { h.caughtUp = !h.fold.Searching() }

// Apply folds one record of the control stream. now is read after the record
// was received.
func (h *Holder) Apply(now time.Duration, off platform.Offset, e logrec.Envelope) error {
	err := h.fold.Apply(now, off, e)
	sentAt, own := h.settleOwn(e)
	if h.fold.Searching() {
		return err
	}
	for _, r := range h.settings.Wanted {
		h.follow(r, off, now, sentAt, own)
	}
	var j Join
	if e.Kind == KindJoin && e.Into(&j) == nil && j.Member.Domain == h.settings.Self.Domain {
		h.renewNow = true
	}
	return err
}

// settleOwn finds when a record of this incarnation was sent.
func (h *Holder) settleOwn(e logrec.Envelope) (time.Duration, bool) {
	if e.By != h.settings.Self.ID {
		return 0, false
	}
	var numbered struct {
		Seq uint64 `msgpack:"q"`
	}
	if e.Into(&numbered) != nil {
		return 0, false
	}
	at, ok := h.sent[numbered.Seq]
	delete(h.sent, numbered.Seq)
	return at, ok
}

// follow brings what is held of one resource in line with the fold.
func (h *Holder) follow(r Resource, off platform.Offset, now, sentAt time.Duration, own bool) {
	s, ok := h.fold.State(r)
	if a, open := h.acquires[r]; open && ok && s.Last != a.basedOn {
		delete(h.acquires, r)
	}
	if !ok || s.Holder != h.settings.Self.ID || (h.held[r] != nil && h.held[r].token != s.Token) {
		delete(h.held, r)
	}
	if !ok || s.Holder != h.settings.Self.ID {
		return
	}
	l := h.held[r]
	if l == nil {
		l = &holding{token: s.Token, first: s.First, sentAt: unknownSend, since: now, promises: map[string]time.Duration{}}
		h.held[r] = l
	}
	if !own || s.Last != off {
		return
	}
	l.sentAt = max(l.sentAt, sentAt)
	if s.Floor && !l.floor {
		l.floor, l.floorSince = true, now
	}
}

// Appended takes the result of an append: nil or an error of platform.Log.
// A refusal without effect settles the record. After ErrUnknown it stays open
// until the fold shows it or shows that it came too late.
func (h *Holder) Appended(seq uint64, err error) {
	if !errors.IsAny(err, platform.ErrOutage, platform.ErrRateLimited) {
		return
	}
	delete(h.sent, seq)
	for r, a := range h.acquires {
		a.seqs = slices.DeleteFunc(a.seqs, func(s uint64) bool { return s == seq })
		h.acquires[r] = a
		if len(a.seqs) == 0 {
			delete(h.acquires, r)
		}
	}
}

// Valid reports whether the lease may be used at now. Read the clock right
// before the act: a process paused after an earlier check may have lost it.
func (h *Holder) Valid(now time.Duration, r Resource) bool {
	l := h.held[r]
	return l != nil && !h.leaving && now < h.until(r, l)
}

// Token is the fencing token of a held lease.
func (h *Holder) Token(r Resource) (platform.Offset, bool) {
	if l := h.held[r]; l != nil {
		return l.token, true
	}
	return 0, false
}

// Grants are the leases, or their floors, that may be used at now.
func (h *Holder) Grants(now time.Duration) []Grant {
	var list []Grant
	for _, r := range h.settings.Wanted {
		l := h.held[r]
		if l == nil || h.leaving {
			continue
		}
		g := Grant{Resource: r, Token: l.token, Since: l.since, Until: h.until(r, l), First: l.first}
		if l.floor {
			g.FloorSince, g.FloorUntil = l.floorSince, l.sentAt+h.settings.use(h.settings.Hold)
		}
		if now < g.Until || now < g.FloorUntil {
			list = append(list, g)
		}
	}
	return list
}

// until is the end of the right to a lease: by the last renewal, or by the
// promises of all who could take it over.
func (h *Holder) until(r Resource, l *holding) time.Duration {
	renewed := l.sentAt + h.settings.use(h.settings.TTL)
	if r.Domain() == "" {
		return renewed
	}
	promised := l.sentAt + h.settings.use(h.settings.Hold)
	for _, m := range h.rivals(r) {
		promised = min(promised, l.promises[m.ID])
	}
	return max(renewed, promised)
}

// rivals are the members that may take a lapsed lease over. The fold lets only
// those do so that had joined when the holder wrote its last record; they are
// all among the members known here. A record of this holder that landed but is
// not folded yet may have let in more than the last folded one shows, so the
// members of now are counted, not those of the last folded record.
func (h *Holder) rivals(r Resource) []Member {
	var list []Member
	for _, j := range h.fold.members {
		if j.member.Domain == r.Domain() && j.member.ID != h.settings.Self.ID {
			list = append(list, j.member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return compareIDs(a.ID, b.ID) })
	return list
}

// Leave ends all use for good, also when a renewal that is still on its way is
// folded later, and returns the record that frees the leases. The caller has
// stopped using them and appends it before it exits.
func (h *Holder) Leave() Record {
	h.leaving = true
	clear(h.held)
	h.seq++
	return Record{Kind: KindLeave, Body: Leave{ID: h.settings.Self.ID}, Seq: h.seq}
}

// pendingAsk is a promise asked for and not answered.
type pendingAsk struct {
	member  Member
	askedAt time.Duration
}

// Ask is a call to make to another member.
type Ask struct {
	ID     uint64
	Member Member
	Body   wire.LeasePromiseRequest
}
