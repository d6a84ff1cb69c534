package config

import "github.com/mastictray/mastictray/internal/platform"

// Follower applies the records of the config stream as they are read. If the
// log was trimmed it finds a snapshot to start from, and it adopts newer states
// from peers. Its state never reverts to an older one. The caller reads the
// stream from Next and passes the records to Apply.
type Follower struct {
	state *State
	// next is the offset to read next.
	next int64
	// runStart is the first offset of the contiguous run of records that was
	// read. Earlier records are lost, or reflected in state.
	runStart int64
	// pending holds the records of that run that wait for a state to be applied
	// to.
	pending   [][]byte
	assembler snapshotAssembler
}

// NewFollower returns a follower without a state.
func NewFollower() *Follower { return &Follower{} }

// State returns the newest known state. It is nil until the start of the log, a
// snapshot or a peer provides one; an instance serves nothing before that.
func (f *Follower) State() *State { return f.state }

// Next returns the offset to read from.
func (f *Follower) Next() int64 { return f.next }

// AwaitingState reports whether the records read so far wait for a snapshot or
// a peer's state. A known state stays in force meanwhile.
func (f *Follower) AwaitingState() bool { return !f.contiguous() }

// contiguous reports whether state covers all records before runStart.
func (f *Follower) contiguous() bool { return f.state != nil && f.state.Next >= f.runStart }

// SkipTo continues at start, the oldest retained offset, unless the follower is
// past it already. The skipped records are lost. A known state stays in force.
func (f *Follower) SkipTo(start int64) {
	if start <= f.next {
		return
	}
	f.next, f.runStart, f.pending = start, start, nil
	f.assembler.reset()
}

// Apply takes the records read from Next on; an empty list means that there are
// none yet. It reports whether the state changed. Records that were read before
// are skipped. After a gap the follower waits for a new state: applying records
// across the gap would make its state differ from that of other instances. The
// error is ErrNewerRules; reading again will not help.
func (f *Follower) Apply(records []platform.Record) (bool, error) {
	before := f.state
	if f.state == nil && f.runStart == 0 {
		f.state = EmptyState()
	}
	for _, r := range records {
		if int64(r.Offset) < f.next {
			continue
		}
		f.SkipTo(int64(r.Offset))
		if err := f.applyNext(r.Data); err != nil {
			return f.state != before, err
		}
	}
	return f.state != before, nil
}

func (f *Follower) applyNext(record []byte) error {
	if f.contiguous() {
		s, err := Apply(f.state, record)
		if err != nil {
			return err
		}
		f.state = s
		f.next++
		return nil
	}
	f.pending = append(f.pending, record)
	f.next++
	if s := f.assembler.add(record); s != nil {
		_, err := f.Adopt(s)
		return err
	}
	return nil
}

// Adopt replaces the state by one from a peer or a snapshot if that is newer,
// and reports whether it did. A state of a lower revision is never adopted: the
// configuration would revert for as long as the log is unreachable.
func (f *Follower) Adopt(s *State) (bool, error) {
	if f.state != nil && !s.NewerThan(f.state) {
		return false, nil
	}
	f.state = s
	if !f.contiguous() {
		return true, nil
	}
	for _, record := range f.rebase(s.Next) {
		if err := f.applyNext(record); err != nil {
			return true, err
		}
	}
	return true, nil
}

// rebase continues from the offset next and returns the pending records from
// there on.
func (f *Follower) rebase(next int64) [][]byte {
	pending, first := f.pending, f.runStart
	f.next, f.runStart, f.pending = next, next, nil
	f.assembler.reset()
	if skip := next - first; skip < int64(len(pending)) {
		return pending[skip:]
	}
	return nil
}
