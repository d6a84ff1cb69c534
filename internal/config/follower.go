package config

import "github.com/mastictray/mastictray/internal/platform"

// Follower folds the config stream as it is read, finds a state to start
// from when the log is trimmed, and takes newer states from peers. What it
// holds never goes back. The caller reads from Next and hands in the answers.
type Follower struct {
	state *State
	// pos is the offset to read next.
	pos int64
	// from is the first offset of the unbroken run that was read; records
	// before it are lost, or are in state.
	from int64
	// held are the records of that run which wait for a state to fold onto.
	held      [][]byte
	assembler assembler
}

// NewFollower starts with nothing known.
func NewFollower() *Follower { return &Follower{} }

// State is the newest state known, or nil. It is nil until the start of the
// log, a snapshot or a peer gave one: an instance serves nothing before that.
func (f *Follower) State() *State { return f.state }

// Next is the offset to read from.
func (f *Follower) Next() int64 { return f.pos }

// AwaitingState says that the records read so far wait for a snapshot or a
// peer's state. The state, if any, is in force meanwhile.
func (f *Follower) AwaitingState() bool { return !f.joined() }

// joined says that state covers everything before the run that was read.
func (f *Follower) joined() bool { return f.state != nil && f.state.Next >= f.from }

// SkipTo restarts the search at the oldest retained offset: what lies
// between is lost. A state that is known stays in force.
func (f *Follower) SkipTo(start int64) {
	if start <= f.pos {
		return
	}
	f.pos, f.from, f.held = start, start, nil
	f.assembler.reset()
}

// Apply takes the answer to a read from Next on; an empty list says that there
// were no records yet. It reports whether the state changed. Records that
// were read before are skipped, and a gap starts the search anew: folding on
// across it would part this instance from the others. The error is
// ErrNewerRules; reading again will not help.
func (f *Follower) Apply(records []platform.Record) (bool, error) {
	before := f.state
	if f.state == nil && f.from == 0 {
		f.state = EmptyState()
	}
	for _, r := range records {
		if int64(r.Offset) < f.pos {
			continue
		}
		f.SkipTo(int64(r.Offset))
		if err := f.take(r.Data); err != nil {
			return f.state != before, err
		}
	}
	return f.state != before, nil
}

func (f *Follower) take(record []byte) error {
	if f.joined() {
		s, err := Apply(f.state, record)
		if err != nil {
			return err
		}
		f.state = s
		f.pos++
		return nil
	}
	f.held = append(f.held, record)
	f.pos++
	if s := f.assembler.add(record); s != nil {
		_, err := f.Adopt(s)
		return err
	}
	return nil
}

// Adopt takes a state from a peer or a snapshot if it is newer than the one
// known, and reports whether it was. A state of a lower revision is never
// adopted: configuration would revert for as long as the log is out of reach.
func (f *Follower) Adopt(s *State) (bool, error) {
	if f.state != nil && !s.NewerThan(f.state) {
		return false, nil
	}
	f.state = s
	if !f.joined() {
		return true, nil
	}
	for _, record := range f.rebase(s.Next) {
		if err := f.take(record); err != nil {
			return true, err
		}
	}
	return true, nil
}

// rebase continues from the offset next and gives the held records that
// come after it.
func (f *Follower) rebase(next int64) [][]byte {
	held, first := f.held, f.from
	f.pos, f.from, f.held = next, next, nil
	f.assembler.reset()
	if skip := next - first; skip < int64(len(held)) {
		return held[skip:]
	}
	return nil
}
