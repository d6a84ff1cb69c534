// Package orderlease ensures that only one instance at a time sends orders to
// targets. The lease is a record in the platform's store.
//
// The lease is held only while there is work. It is not renewed otherwise, and
// the last holder may continue at once when there is work again. The record is
// written by compare-and-set: a write succeeds only if nothing was written
// since the record was read. So of two competing writers one fails, even if
// their answers are lost.
//
// The package does no I/O and reads no clock: times and the store's answers are
// arguments.
package orderlease

import (
	"context"
	"time"
)

// Record is the lease as stored.
type Record struct {
	// Holder is the incarnation of the instance that wrote the record, Instance
	// that instance's name.
	Holder   string
	Instance string
	// Released is set by a holder that sends no more orders.
	Released bool
	// Token is the fencing token: the offset of the first record that the
	// holder wrote after another holder's.
	Token int64
	// NextOffset is the offset that the next record will get. Each write of the
	// record advances it.
	NextOffset int64
}

// Store keeps the record.
type Store interface {
	// ReadLease reads the record. Its Holder is empty when there is none.
	ReadLease(ctx context.Context) (Record, error)
	// WriteLease writes a record if nothing was written since offset at. After
	// an error it is unknown whether the record was written or still will be.
	WriteLease(ctx context.Context, at int64, r Record) (written bool, err error)
}

// Settings configure the protocol. They must be equal on all instances.
type Settings struct {
	// TTL is how long a record entitles its writer to send orders, counted from
	// before it was written.
	TTL time.Duration
	// HandoverGap is the minimum time between the last order of one holder and
	// the first order of the next. Targets that do not check fencing tokens
	// must have finished the former before they receive the latter.
	HandoverGap time.Duration
	// RenewBefore is how long before its end a lease is renewed.
	RenewBefore time.Duration
}

// DefaultSettings returns the settings used unless the platform requires
// others.
func DefaultSettings() Settings {
	return Settings{
		TTL:         1500 * time.Millisecond, // leaves time for retries of a failed renewal
		HandoverGap: 3300 * time.Millisecond, // the platform's lease time plus 10% for clock drift
		RenewBefore: 700 * time.Millisecond,  // two round trips to a slow store
	}
}

// Lease is one instance's view of the lease. It is not safe for concurrent use.
type Lease struct {
	settings Settings
	self     string
	// instance is the name of the instance that this process runs on.
	instance string

	recordKnown bool
	record      Record
	// seenAt is when this process first saw the current record.
	seenAt time.Duration
	// validUntil is when the last own record stops entitling this instance to
	// send orders.
	validUntil time.Duration
	// writeSentAt is when the own write in flight was sent.
	writeSentAt time.Duration
	// pendingWrite describes the own writes whose outcome is unknown.
	pendingWrite unresolvedWrite
	// released is set once this instance has released the lease.
	released bool
}

// unresolvedWrite describes own writes at one offset whose answers were lost.
// At most one of them takes effect, and it is unknown which.
type unresolvedWrite struct {
	present bool
	offset  int64
	// firstSentAt is when the first of them was sent. Validity is counted from
	// here, since the other instances count their wait from when they see the
	// record, which may be any time later.
	firstSentAt time.Duration
}

// New returns a view that has not read the record yet. self is this process's
// incarnation; an earlier process of the same instance is another holder.
func New(self string, s Settings) *Lease { return &Lease{settings: s, self: self} }

// WithInstance sets the name of the instance that this process runs on, and
// returns l. No two processes of an instance run at the same time.
func (l *Lease) WithInstance(instance string) *Lease {
	l.instance = instance
	return l
}

// HandleRead handles a record that was read by a call answered at now.
func (l *Lease) HandleRead(now time.Duration, r Record) {
	if l.recordKnown && r.NextOffset <= l.record.NextOffset {
		return
	}
	if r.NextOffset > l.record.NextOffset {
		l.seenAt = now
	}
	l.recordKnown, l.record = true, r
	if !l.pendingWrite.present || r.NextOffset <= l.pendingWrite.offset {
		return // the record is from before these writes
	}
	if r.Holder == l.self {
		l.validUntil = max(l.validUntil, l.pendingWrite.firstSentAt+l.settings.TTL)
	}
	l.pendingWrite = unresolvedWrite{}
}

// Held returns the fencing token; ok is false unless this instance may send
// orders at now.
func (l *Lease) Held(now time.Duration) (token int64, ok bool) {
	return l.record.Token, l.recordKnown && l.record.Holder == l.self && now < l.validUntil
}

// Record returns the record as last read or written.
func (l *Lease) Record() Record { return l.record }

// ValidUntil returns when this instance must stop sending orders.
func (l *Lease) ValidUntil() time.Duration { return l.validUntil }

// IsLastHolder reports whether this instance wrote the current record, as far
// as is known. If so, no other instance has sent orders since.
func (l *Lease) IsLastHolder() bool { return l.recordKnown && l.record.Holder == l.self }

// WasLastKnownHolder reports whether this instance wrote the last record that
// it knows of, even if a write of unknown outcome may have followed.
func (l *Lease) WasLastKnownHolder() bool { return l.record.Holder == l.self && l.self != "" }

// NeedsRead reports whether the record has to be read before a new one can be
// proposed.
func (l *Lease) NeedsRead() bool { return !l.recordKnown }

// Propose returns the record to write now and the offset to write it at; ok is
// false if none may be written or no renewal is due. Call MarkSent before the
// write.
func (l *Lease) Propose(now time.Duration) (at int64, r Record, ok bool) {
	switch {
	case !l.recordKnown || l.released:
		return 0, Record{}, false
	case l.record.Holder == l.self:
		return l.record.NextOffset, Record{Holder: l.self, Instance: l.instance, Token: l.record.Token}, now >= l.validUntil-l.settings.RenewBefore
	case l.record.Holder != "" && now < l.seenAt+l.takeoverDelay():
		return 0, Record{}, false
	}
	return l.record.NextOffset, Record{Holder: l.self, Instance: l.instance, Token: l.record.NextOffset}, true
}

// takeoverDelay returns how long after another holder's record was first seen
// this instance may take over. The other holder sends no more orders, and the
// TTL need not pass, if it has released the lease or was an earlier process of
// this instance. The latter lets a rollout continue 1.5 s earlier after all
// instances restarted.
func (l *Lease) takeoverDelay() time.Duration {
	if l.record.Released || l.instance != "" && l.record.Instance == l.instance {
		return l.settings.HandoverGap
	}
	return l.settings.TTL + l.settings.HandoverGap
}

// Release ends the lease here and returns the record by which others learn of
// it; ok is false when this instance is not the holder.
func (l *Lease) Release() (at int64, r Record, ok bool) {
	if !l.IsLastHolder() || l.record.Released {
		return 0, Record{}, false
	}
	l.validUntil, l.released = 0, true
	return l.record.NextOffset, Record{Holder: l.self, Instance: l.instance, Token: l.record.Token, Released: true}, true
}

// MarkSent notes that the proposed record is about to be written.
func (l *Lease) MarkSent(now time.Duration) { l.writeSentAt = now }

// HandleWritten handles the store's answer that the record was written at
// offset at.
func (l *Lease) HandleWritten(now time.Duration, at int64, r Record) {
	r.NextOffset = at + 1
	l.record, l.seenAt = r, now
	l.validUntil = l.writeSentAt + l.settings.TTL
	l.pendingWrite = unresolvedWrite{}
}

// HandleWriteFailure handles a write at offset at that the store refused or
// whose outcome is unknown. In both cases the record has to be read again.
func (l *Lease) HandleWriteFailure(at int64, outcomeKnown bool) {
	l.recordKnown = false
	if !outcomeKnown && (!l.pendingWrite.present || l.pendingWrite.offset != at) {
		l.pendingWrite = unresolvedWrite{present: true, offset: at, firstSentAt: l.writeSentAt}
	}
}
