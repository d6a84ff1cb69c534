package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/mastictray/mastictray/internal/logrec"
	"github.com/mastictray/mastictray/internal/platform"
)

// KindCheckpoint is a record with the whole state of the fold. The log keeps
// its records for a limited time: an instance that starts behind that time
// would miss who holds what, take a held lease for a free one, and mint an
// account's rate a second time.
const KindCheckpoint logrec.Kind = "lease.checkpoint"

// Checkpoint is the body of KindCheckpoint.
type Checkpoint struct {
	// NextOffset is the first offset that is not in the state.
	NextOffset platform.Offset   `msgpack:"t"`
	Members []CheckpointMember `msgpack:"m"`
	Leases  []CheckpointLease `msgpack:"l"`
	// ActiveSplit is the split in force, Pending the one on its way since
	// PendingAt.
	ActiveSplit     []AccountSplit      `msgpack:"s,omitempty"`
	PendingSplit   []AccountSplit      `msgpack:"p,omitempty"`
	PendingAt platform.Offset `msgpack:"pa,omitempty"`
}

// CheckpointMember is one member with the offset of its join.
type CheckpointMember struct {
	Member Member          `msgpack:"m"`
	JoinedAt     platform.Offset `msgpack:"a"`
}

// CheckpointLease is the state of one resource, without the times that each
// process counts by itself.
type CheckpointLease struct {
	Resource Resource        `msgpack:"r"`
	Holder   string          `msgpack:"h"`
	Address  string          `msgpack:"a"`
	Token    platform.Offset `msgpack:"k"`
	LastOffset     platform.Offset `msgpack:"l"`
	HolderApplied     platform.Offset `msgpack:"s"`
	HasFloor    bool            `msgpack:"f"`
	FirstHolder    bool            `msgpack:"n,omitempty"`
	// FloorOwner and FloorAddress are those of the State.
	FloorOwner   string `msgpack:"o,omitempty"`
	FloorAddress string `msgpack:"d,omitempty"`
}

// Checkpoint is the state of the fold up to Next, and false while the fold
// searches for one itself.
func (f *Table) Checkpoint() (Checkpoint, bool) {
	if f.searching {
		return Checkpoint{}, false
	}
	c := Checkpoint{
		NextOffset: f.next,
		ActiveSplit:   rowsOf(f.splits.inForce), PendingSplit: rowsOf(f.splits.pending), PendingAt: f.splits.at,
	}
	for _, j := range f.members {
		c.Members = append(c.Members, CheckpointMember{Member: j.member, JoinedAt: j.at})
	}
	for r, s := range f.states {
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

// HandleTrim tells that the records before start are lost. Until a checkpoint is
// found that stands for them, the fold knows nothing new.
func (f *Table) HandleTrim(start platform.Offset) {
	f.seen = f.lastSeen()
	f.searching = true
	f.next, f.floorOffset = start, start
	f.held = nil
}

// lastSeen is the last offset whose record is in the state. A holder that
// searches still renews: were it to name the records that it has read but not
// folded, the others would take it that it knows of a newcomer, who may then
// take its lease over, or that it mints by a new split.
func (f *Table) lastSeen() platform.Offset {
	if f.searching {
		return f.seen
	}
	return f.next - 1
}

// AwaitingCheckpoint says that the fold waits for a checkpoint.
func (f *Table) AwaitingCheckpoint() bool { return f.searching }

// heldRecord is a record read while the fold searches.
type heldRecord struct {
	off platform.Offset
	env logrec.Envelope
}

// search keeps records until a checkpoint stands for all that is lost. It
// reports whether the fold goes on from here.
func (f *Table) search(now time.Duration, off platform.Offset, e logrec.Envelope) error {
	f.next = off + 1
	if e.Kind != KindCheckpoint {
		f.held = append(f.held, heldRecord{off, e})
		return nil
	}
	var c Checkpoint
	if err := e.DecodeBody(&c); err != nil {
		return err
	}
	if c.NextOffset < f.floorOffset || c.NextOffset > off {
		return nil
	}
	later := f.held
	f.restore(now, c)
	for _, r := range later {
		if r.off >= c.NextOffset {
			_ = f.Apply(now, r.off, r.env)
		}
	}
	f.next = off + 1
	return nil
}

// restore takes a checkpoint's state. All waits for holders begin anew: when
// this process would have folded their records is not known.
func (f *Table) restore(now time.Duration, c Checkpoint) {
	f.searching, f.held = false, nil
	f.next = c.NextOffset
	f.splits = splits{
		inForce: rowsBy(c.ActiveSplit), pending: rowsBy(c.PendingSplit), at: c.PendingAt, version: f.splits.version + 1,
	}
	f.members = make(map[string]joined, len(c.Members))
	f.states = make(map[Resource]State, len(c.Leases))
	for _, m := range c.Members {
		f.members[m.Member.ID] = joined{member: m.Member, at: m.JoinedAt}
	}
	for _, l := range c.Leases {
		f.states[l.Resource] = State{
			Holder: l.Holder, Address: l.Address, Token: l.Token, LastOffset: l.LastOffset,
			HolderApplied: l.HolderApplied, HasFloor: l.HasFloor, FirstHolder: l.FirstHolder, FloorOwner: l.FloorOwner, FloorAddress: l.FloorAddress, AppliedAt: now, FloorSince: now,
		}
	}
}
