package lease

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/logrec"
	"github.com/mastictray/mastictray/internal/platform"
	"github.com/mastictray/mastictray/internal/wire"
)

// Holder runs the lease protocol for one instance: it acquires and renews the
// resources that the instance wants and tells how long each lease may be used.
// It is not safe for concurrent use.
type Holder struct {
	settings Settings
	table    *Table
	caughtUp bool
	leaving  bool

	seq             uint64
	sendTimes       map[uint64]time.Duration // by Seq, of own records not read back
	joinSentAt      time.Duration            // of the last join
	renewSentAt     time.Duration            // of the last renewal
	renewSoon       bool                     // a member of the domain has joined since
	yieldSentAt     time.Duration            // of the last yields
	held            map[Resource]*heldLease
	pendingAcquires map[Resource]pendingAcquire // outcome unknown
	promisedUntil   map[Resource]time.Duration  // ends of the promises given to others

	lastRequestID   uint64
	pendingRequests map[uint64]pendingRequest
	requestsSentAt  time.Duration // of the last round of promise requests
}

// heldLease is a lease that this incarnation holds according to the table.
type heldLease struct {
	token platform.Offset
	// confirmedSentAt is when the newest record that was read back from the log
	// was sent. The validity of the lease is counted from here.
	confirmedSentAt time.Duration
	acquiredAt      time.Duration
	floorSince      time.Duration
	hasFloor        bool
	firstHolder     bool
	promises        map[string]time.Duration // by member
}

// sendTimeUnknown is the send time of a record that this process does not
// remember sending, such as an own acquire that a checkpoint covers. Such a
// lease is renewed, and used only once a renewal was read back. Without
// renewals the lease would stay unused until it expires.
const sendTimeUnknown = -1000 * time.Hour

// pendingAcquire is the set of acquires of one resource whose outcome is
// unknown. All have the same expected offset, so at most the first to reach the
// log is valid.
type pendingAcquire struct {
	expectedOffset platform.Offset
	seqs           []uint64
	lastSentAt     time.Duration // of the newest acquire
}

// Record is a record to append to the control stream. Pass the result of the
// append to HandleAppendResult.
type Record struct {
	Kind logrec.Kind
	Body any
	Seq  uint64
}

// Actions are the records to append and the requests to send after a Tick.
type Actions struct {
	Records         []Record
	PromiseRequests []PromiseRequest
}

// Grant is a lease, or its floor, that may be used now.
type Grant struct {
	Resource Resource
	// Token is the fencing token.
	Token platform.Offset
	// Since is when the lease was acquired. Until is when its validity ends
	// unless it is extended; it is in the past when only the floor may still be
	// used.
	Since, Until time.Duration
	// FloorSince and FloorUntil bound the use of the floor. Both are 0 when a
	// former holder may still use it.
	FloorSince, FloorUntil time.Duration
	// FirstHolder is set if nobody has held the resource before.
	FirstHolder bool
}

// NewHolder returns a holder that has applied no record.
func NewHolder(s Settings) *Holder {
	return &Holder{
		settings:        s,
		table:           NewTable(),
		sendTimes:       map[uint64]time.Duration{},
		held:            map[Resource]*heldLease{},
		pendingAcquires: map[Resource]pendingAcquire{},
		promisedUntil:   map[Resource]time.Duration{},
		pendingRequests: map[uint64]pendingRequest{},
	}
}

// Table returns the state of all leases. Callers must not change it.
func (h *Holder) Table() *Table { return h.table }

// HandleTrim tells the holder that the log no longer has the records before
// start. Held leases stay usable while they are valid. Nothing is acquired
// until a checkpoint shows who holds what.
func (h *Holder) HandleTrim(start platform.Offset) {
	h.caughtUp = false
	h.table.HandleTrim(start)
}

// MarkCaughtUp tells the holder that it has applied all records up to the end
// of the stream. Nothing is acquired before that.
func (h *Holder) MarkCaughtUp() { h.caughtUp = !h.table.AwaitingCheckpoint() }

// Apply applies one record of the control stream. The caller must read now
// after it has received the record.
func (h *Holder) Apply(now time.Duration, off platform.Offset, e logrec.Envelope) error {
	err := h.table.Apply(now, off, e)
	sentAt, own := h.takeSendTime(e)
	if h.table.AwaitingCheckpoint() {
		return err
	}
	for _, r := range h.settings.Wanted {
		h.syncHeld(r, off, now, sentAt, own)
	}
	var j Join
	if e.Kind == KindJoin && e.DecodeBody(&j) == nil && j.Member.Domain == h.settings.Self.Domain {
		h.renewSoon = true
	}
	return err
}

// takeSendTime returns when this incarnation sent a record that was read back,
// and forgets the time. The second result is false for records of others and
// for those whose send time is not known.
func (h *Holder) takeSendTime(e logrec.Envelope) (time.Duration, bool) {
	if e.Writer != h.settings.Self.ID {
		return 0, false
	}
	var numbered struct {
		Seq uint64 `msgpack:"q"`
	}
	if e.DecodeBody(&numbered) != nil {
		return 0, false
	}
	at, ok := h.sendTimes[numbered.Seq]
	delete(h.sendTimes, numbered.Seq)
	return at, ok
}

// syncHeld updates the held lease of one resource from the table.
func (h *Holder) syncHeld(r Resource, off platform.Offset, now, sentAt time.Duration, own bool) {
	s, ok := h.table.State(r)
	if a, pending := h.pendingAcquires[r]; pending && ok && s.LastOffset != a.expectedOffset {
		delete(h.pendingAcquires, r)
	}
	if !ok || s.Holder != h.settings.Self.ID || (h.held[r] != nil && h.held[r].token != s.Token) {
		delete(h.held, r)
	}
	if !ok || s.Holder != h.settings.Self.ID {
		return
	}
	l := h.held[r]
	if l == nil {
		l = &heldLease{token: s.Token, firstHolder: s.FirstHolder, confirmedSentAt: sendTimeUnknown, acquiredAt: now, promises: map[string]time.Duration{}}
		h.held[r] = l
	}
	if !own || s.LastOffset != off {
		return
	}
	l.confirmedSentAt = max(l.confirmedSentAt, sentAt)
	if s.HasFloor && !l.hasFloor {
		l.hasFloor, l.floorSince = true, now
	}
}

// HandleAppendResult handles the result of an append: nil or an error of
// platform.Log. ErrOutage and ErrRateLimited mean that the record was not
// appended. After ErrUnknown the record stays pending until it is read back, or
// until another record of the resource makes it invalid.
func (h *Holder) HandleAppendResult(seq uint64, err error) {
	if !errors.IsAny(err, platform.ErrOutage, platform.ErrRateLimited) {
		return
	}
	delete(h.sendTimes, seq)
	for r, a := range h.pendingAcquires {
		a.seqs = slices.DeleteFunc(a.seqs, func(s uint64) bool { return s == seq })
		h.pendingAcquires[r] = a
		if len(a.seqs) == 0 {
			delete(h.pendingAcquires, r)
		}
	}
}

// Valid reports whether the lease may be used at now. Callers must read the
// clock right before the action that the lease protects: after an earlier check
// the process may have been suspended past the end of the lease.
func (h *Holder) Valid(now time.Duration, r Resource) bool {
	l := h.held[r]
	return l != nil && !h.leaving && now < h.validUntil(r, l)
}

// Token returns the fencing token of a held lease.
func (h *Holder) Token(r Resource) (platform.Offset, bool) {
	if l := h.held[r]; l != nil {
		return l.token, true
	}
	return 0, false
}

// Grants returns the leases, and floors of leases, that may be used at now.
func (h *Holder) Grants(now time.Duration) []Grant {
	var list []Grant
	for _, r := range h.settings.Wanted {
		l := h.held[r]
		if l == nil || h.leaving {
			continue
		}
		g := Grant{Resource: r, Token: l.token, Since: l.acquiredAt, Until: h.validUntil(r, l), FirstHolder: l.firstHolder}
		if l.hasFloor {
			g.FloorSince, g.FloorUntil = l.floorSince, l.confirmedSentAt+h.settings.usableTime(h.settings.HoldTime)
		}
		if now < g.Until || now < g.FloorUntil {
			list = append(list, g)
		}
	}
	return list
}

// validUntil returns when the validity of a lease ends: a TTL after the last
// confirmed record was sent or, if that is later, when the first of the promises
// of all takeover candidates ends.
func (h *Holder) validUntil(r Resource, l *heldLease) time.Duration {
	renewed := l.confirmedSentAt + h.settings.usableTime(h.settings.TTL)
	if r.Domain() == "" {
		return renewed
	}
	promised := l.confirmedSentAt + h.settings.usableTime(h.settings.HoldTime)
	for _, m := range h.takeoverCandidates(r) {
		promised = min(promised, l.promises[m.ID])
	}
	return max(renewed, promised)
}

// takeoverCandidates returns the members that may take over an expired lease:
// those that had joined when the holder wrote its last record. All of them are
// among the members known here. A record that this holder has appended but not
// read back may have admitted more members than the last applied one shows, so
// all current members count.
func (h *Holder) takeoverCandidates(r Resource) []Member {
	var list []Member
	for _, j := range h.table.members {
		if j.member.Domain == r.Domain() && j.member.ID != h.settings.Self.ID {
			list = append(list, j.member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return compareIDs(a.ID, b.ID) })
	return list
}

// Leave ends the use of all leases for good, even if a renewal that is still
// being appended is applied later. It returns the record that frees the leases.
// The caller stops using them first and appends the record before it exits.
func (h *Holder) Leave() Record {
	h.leaving = true
	clear(h.held)
	h.seq++
	return Record{Kind: KindLeave, Body: Leave{ID: h.settings.Self.ID}, Seq: h.seq}
}

// pendingRequest is a promise request without an answer so far.
type pendingRequest struct {
	member Member
	sentAt time.Duration
}

// PromiseRequest is a request to send to another member.
type PromiseRequest struct {
	ID     uint64
	Member Member
	Body   wire.LeasePromiseRequest
}
