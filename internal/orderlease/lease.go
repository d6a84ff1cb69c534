// Package orderlease makes sure that one instance at a time gives orders to
// targets, on a record in the platform's store.
//
// The lease is held only while there is work: no instance renews it in quiet
// times, and the last holder may go on at once when there is work again. The
// record is written under the condition that nobody wrote since it was read,
// so of two writers one fails, whatever becomes of their answers.
//
// The package is pure: time and the store's answers come in as arguments.
package orderlease

import (
	"context"
	"time"
)

// Record is the lease as it stands in the store.
type Record struct {
	// Holder is the incarnation of the instance that wrote it, Instance its
	// name.
	Holder   string
	Instance string
	// Released is set by a holder that gives no more orders.
	Released bool
	// Token is the fencing token: the offset of the holder's first record
	// since another one held the lease.
	Token int64
	// NextOffset is the offset that the next record will get. A record that was
	// written again moves it.
	NextOffset int64
}

// Store is where the record is kept.
type Store interface {
	// ReadLease reads the record; its Holder is empty when there is none.
	ReadLease(ctx context.Context) (Record, error)
	// WriteLease writes a record if nothing was written since offset at. An
	// error leaves open whether it was, or still will be.
	WriteLease(ctx context.Context, at int64, r Record) (written bool, err error)
}

// Settings of the protocol; the same on all instances.
type Settings struct {
	// TTL is how long a record gives its writer the right to send orders,
	// counted from before it was written.
	TTL time.Duration
	// HandoverGap is the least time between the last order of one holder and the
	// first of the next. Targets that do not check tokens must be done with
	// the one before they hear the other.
	HandoverGap time.Duration
	// RenewBefore is how long before its end a right is renewed.
	RenewBefore time.Duration
}

// DefaultSettings are the times used unless the platform asks for others.
func DefaultSettings() Settings {
	return Settings{
		TTL:       1500 * time.Millisecond, // some renewals may fail before it ends
		HandoverGap:         3300 * time.Millisecond, // the platform's lease time and a tenth for the clocks
		RenewBefore: 700 * time.Millisecond,  // two answers of a slow store
	}
}

// Lease is one instance's view. It is not safe for concurrent use.
type Lease struct {
	settings Settings
	self     string
	// instance is the name of the instance that this process runs on.
	instance string

	known  bool
	record Record
	// seenAt is when the present record was first seen here.
	seenAt time.Duration
	// validUntil ends the right that the own record gives.
	validUntil time.Duration
	// sentAt is when the own write under way was sent.
	sentAt time.Duration
	// open is the own writes of unknown outcome.
	open unsettled
	// left is set once this instance has released the lease.
	left bool
}

// unsettled is own writes at one offset whose answers were lost. At most one of
// them is ever carried out, and nothing tells which.
type unsettled struct {
	there bool
	at    int64
	// first is when the first of them was sent. Others count their wait from
	// when they see the record, which may be any time after that.
	first time.Duration
}

// New makes a view that knows nothing yet. self is this process's
// incarnation: an earlier process of the instance is another holder.
func New(self string, s Settings) *Lease { return &Lease{settings: s, self: self} }

// WithInstance names the instance that this process runs on, of which no two run at once.
func (l *Lease) WithInstance(instance string) *Lease {
	l.instance = instance
	return l
}

// HandleRead takes in the record as read by a call that was answered at now.
func (l *Lease) HandleRead(now time.Duration, r Record) {
	if l.known && r.NextOffset <= l.record.NextOffset {
		return
	}
	if r.NextOffset > l.record.NextOffset {
		l.seenAt = now
	}
	l.known, l.record = true, r
	if !l.open.there || r.NextOffset <= l.open.at {
		return // the record is from before them
	}
	if r.Holder == l.self {
		l.validUntil = max(l.validUntil, l.open.first+l.settings.TTL)
	}
	l.open = unsettled{}
}

// Held gives the fencing token while this instance may send orders.
func (l *Lease) Held(now time.Duration) (token int64, ok bool) {
	return l.record.Token, l.known && l.record.Holder == l.self && now < l.validUntil
}

// Record is the record as it was read or written last.
func (l *Lease) Record() Record { return l.record }

// ValidUntil is when the right to send orders ends.
func (l *Lease) ValidUntil() time.Duration { return l.validUntil }

// IsLastHolder says that this instance wrote the present record, as far as is
// known: no other has given orders since.
func (l *Lease) IsLastHolder() bool { return l.known && l.record.Holder == l.self }

// WasLastKnownHolder says that this instance wrote the last record that it knew, though a
// write of unknown outcome may have come after it.
func (l *Lease) WasLastKnownHolder() bool { return l.record.Holder == l.self && l.self != "" }

// NeedsRead says that the record has to be read before anything can be decided.
func (l *Lease) NeedsRead() bool { return !l.known }

// Propose gives the record to write now, if one may be written. Call Sent
// before it is.
func (l *Lease) Propose(now time.Duration) (at int64, r Record, ok bool) {
	switch {
	case !l.known || l.left:
		return 0, Record{}, false
	case l.record.Holder == l.self:
		return l.record.NextOffset, Record{Holder: l.self, Instance: l.instance, Token: l.record.Token}, now >= l.validUntil-l.settings.RenewBefore
	case l.record.Holder != "" && now < l.seenAt+l.wait():
		return 0, Record{}, false
	}
	return l.record.NextOffset, Record{Holder: l.self, Instance: l.instance, Token: l.record.NextOffset}, true
}

// wait is how long after another holder's record the next may begin. The holder
// gives no more orders if it has released the lease, or if it was an earlier
// process of this instance: after a restart of all a rollout goes on 1.5 s sooner.
func (l *Lease) wait() time.Duration {
	if l.record.Released || l.instance != "" && l.record.Instance == l.instance {
		return l.settings.HandoverGap
	}
	return l.settings.TTL + l.settings.HandoverGap
}

// Release gives the record by which a holder ends its right early, and ends it
// here. False when this instance does not hold the lease.
func (l *Lease) Release() (at int64, r Record, ok bool) {
	if !l.IsLastHolder() || l.record.Released {
		return 0, Record{}, false
	}
	l.validUntil, l.left = 0, true
	return l.record.NextOffset, Record{Holder: l.self, Instance: l.instance, Token: l.record.Token, Released: true}, true
}

// MarkSent notes that a proposed record is on its way.
func (l *Lease) MarkSent(now time.Duration) { l.sentAt = now }

// HandleWritten takes in that the store has written the record, at offset at.
func (l *Lease) HandleWritten(now time.Duration, at int64, r Record) {
	r.NextOffset = at + 1
	l.record, l.seenAt = r, now
	l.validUntil = l.sentAt + l.settings.TTL
	l.open = unsettled{}
}

// HandleWriteFailure takes in that the store refused the record at offset at, or that
// its outcome is unknown. Either way the record has to be read again.
func (l *Lease) HandleWriteFailure(at int64, outcomeKnown bool) {
	l.known = false
	if !outcomeKnown && (!l.open.there || l.open.at != at) {
		l.open = unsettled{there: true, at: at, first: l.sentAt}
	}
}
