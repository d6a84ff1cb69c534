package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/mastictray/mastictray/internal/logrec"
	"github.com/mastictray/mastictray/internal/platform"
)

// KindCheckpoint is a record with the whole lease table. The log keeps its
// records for a limited time. Without a checkpoint, an instance that starts
// after older records were trimmed would not know the holders, take a held
// lease for a free one, and issue an account's rate a second time.
const KindCheckpoint logrec.Kind = "lease.checkpoint"

// Checkpoint is the body of a KindCheckpoint record.
type Checkpoint struct {
	// NextOffset is the first offset that the state does not include.
	NextOffset platform.Offset    `msgpack:"t"`
	Members    []CheckpointMember `msgpack:"m"`
	Leases     []CheckpointLease  `msgpack:"l"`
	// ActiveSplit is the split in force. PendingSplit, recorded at PendingAt,
	// is not in force yet.
	ActiveSplit  []AccountSplit  `msgpack:"s,omitempty"`
	PendingSplit []AccountSplit  `msgpack:"p,omitempty"`
	PendingAt    platform.Offset `msgpack:"pa,omitempty"`
}

// CheckpointMember is one member with the offset of its join.
type CheckpointMember struct {
	Member   Member          `msgpack:"m"`
	JoinedAt platform.Offset `msgpack:"a"`
}

// CheckpointLease is the State of one resource, without the times, which each
// process measures with its own clock.
type CheckpointLease struct {
	Resource      Resource        `msgpack:"r"`
	Holder        string          `msgpack:"h"`
	Address       string          `msgpack:"a"`
	Token         platform.Offset `msgpack:"k"`
	LastOffset    platform.Offset `msgpack:"l"`
	HolderApplied platform.Offset `msgpack:"s"`
	HasFloor      bool            `msgpack:"f"`
	FirstHolder   bool            `msgpack:"n,omitempty"`
	// FloorOwner and FloorAddress are described at State.
	FloorOwner   string `msgpack:"o,omitempty"`
	FloorAddress string `msgpack:"d,omitempty"`
}

// Checkpoint returns the state as of NextOffset. The second result is false
// while the table itself awaits a checkpoint.
func (t *Table) Checkpoint() (Checkpoint, bool) {
	if t.awaitingCheckpoint {
		return Checkpoint{}, false
	}
	c := Checkpoint{
		NextOffset:  t.nextOffset,
		ActiveSplit: sortedSplits(t.splits.active), PendingSplit: sortedSplits(t.splits.pending), PendingAt: t.splits.pendingAt,
	}
	for _, m := range t.members {
		c.Members = append(c.Members, CheckpointMember{Member: m.member, JoinedAt: m.joinedAt})
	}
	for r, s := range t.leases {
		c.Leases = append(c.Leases, CheckpointLease{
			Resource: r, Holder: s.Holder, Address: s.Address,
			Token: s.Token, LastOffset: s.LastOffset, HolderApplied: s.HolderApplied, HasFloor: s.HasFloor, FirstHolder: s.FirstHolder,
			FloorOwner: s.FloorOwner, FloorAddress: s.FloorAddress,
		})
	}
	slices.SortFunc(c.Members, func(a, b CheckpointMember) int { return cmp.Compare(a.JoinedAt, b.JoinedAt) })
	slices.SortFunc(c.Leases, func(a, b CheckpointLease) int { return cmp.Compare(a.Resource, b.Resource) })
	return c, true
}

// HandleTrim tells the table that the log no longer has the records before
// start. The table applies nothing more until it has read a checkpoint that
// covers them.
func (t *Table) HandleTrim(start platform.Offset) {
	t.appliedBeforeTrim = t.lastApplied()
	t.awaitingCheckpoint = true
	t.nextOffset, t.logStart = start, start
	t.buffered = nil
}

// lastApplied returns the last offset whose record is in the table. A holder
// that awaits a checkpoint still renews. If its renewals named records that it
// has read but not applied, the other instances would assume that it knows of a
// new member, which could then take its lease over, or that it already issues
// by a new split.
func (t *Table) lastApplied() platform.Offset {
	if t.awaitingCheckpoint {
		return t.appliedBeforeTrim
	}
	return t.nextOffset - 1
}

// AwaitingCheckpoint reports whether records were trimmed and no checkpoint
// that covers them has been read yet.
func (t *Table) AwaitingCheckpoint() bool { return t.awaitingCheckpoint }

// bufferedRecord is a record read while the table awaits a checkpoint.
type bufferedRecord struct {
	offset   platform.Offset
	envelope logrec.Envelope
}

// bufferUntilCheckpoint buffers records until it reads a checkpoint that covers
// all trimmed ones. It then restores that checkpoint and applies the buffered
// records that it does not include.
func (t *Table) bufferUntilCheckpoint(now time.Duration, off platform.Offset, e logrec.Envelope) error {
	t.nextOffset = off + 1
	if e.Kind != KindCheckpoint {
		t.buffered = append(t.buffered, bufferedRecord{off, e})
		return nil
	}
	var c Checkpoint
	if err := e.DecodeBody(&c); err != nil {
		return err
	}
	if c.NextOffset < t.logStart || c.NextOffset > off {
		return nil
	}
	buffered := t.buffered
	t.restore(now, c)
	for _, r := range buffered {
		if r.offset >= c.NextOffset {
			_ = t.Apply(now, r.offset, r.envelope)
		}
	}
	t.nextOffset = off + 1
	return nil
}

// restore replaces the table by a checkpoint's state. The time that this
// process has waited for each holder starts again at now, since it is not known
// when this process would have applied the holders' records.
func (t *Table) restore(now time.Duration, c Checkpoint) {
	t.awaitingCheckpoint, t.buffered = false, nil
	t.nextOffset = c.NextOffset
	t.splits = splits{
		active: splitsByAccount(c.ActiveSplit), pending: splitsByAccount(c.PendingSplit), pendingAt: c.PendingAt, version: t.splits.version + 1,
	}
	t.members = make(map[string]registration, len(c.Members))
	t.leases = make(map[Resource]State, len(c.Leases))
	for _, m := range c.Members {
		t.members[m.Member.ID] = registration{member: m.Member, joinedAt: m.JoinedAt}
	}
	for _, l := range c.Leases {
		t.leases[l.Resource] = State{
			Holder: l.Holder, Address: l.Address, Token: l.Token, LastOffset: l.LastOffset,
			HolderApplied: l.HolderApplied, HasFloor: l.HasFloor, FirstHolder: l.FirstHolder, FloorOwner: l.FloorOwner, FloorAddress: l.FloorAddress, AppliedAt: now, FloorSince: now,
		}
	}
}
