package config

import (
	"maps"
	"sort"

	"github.com/mastictray/mastictray/internal/audit"
)

// NoRevision is the revision of what never was.
const NoRevision int64 = -1

// RecordsFile stands for the file name in problems with keys that records
// created.
const RecordsFile = "(records)"

// maxAudit bounds the trail in the state. Older entries stay in the log for
// as long as it retains them.
const maxAudit = 512

// File is one file of the set.
type File struct {
	Contents []byte
	// Revision is the offset of the change that brought the contents.
	Revision int64
	// By is the operator of that change.
	By string
	// Deleted files keep their revision: a change that was based on the
	// state before the deletion must still lose.
	Deleted bool
}

// Withdrawal is a key that was withdrawn, for good.
type Withdrawal struct {
	ID       string
	Account  string
	SHA256   string
	Revision int64
}

// State is the fold of the config stream up to Next. It is never changed in
// place. Two states with the same Next are equal, on whatever instance.
type State struct {
	// Revision is the offset of the last accepted record.
	Revision int64
	// Next is the offset of the first record that is not in the state.
	Next int64
	// SnapshotNext is the Next of the newest snapshot in the log.
	SnapshotNext int64
	Files        map[string]File
	// CreatedKeys keys and withdrawn keys, by hash.
	CreatedKeys   map[string]Key
	WithdrawnKeys map[string]Withdrawal
	// Audit is the newest part of the trail, oldest first.
	Audit []audit.Entry

	intent    *Intent
	fragments map[string]*fragment
}

// EmptyState is the fold of no record.
func EmptyState() *State {
	return &State{
		Revision: NoRevision, Files: map[string]File{}, CreatedKeys: map[string]Key{},
		WithdrawnKeys: map[string]Withdrawal{}, intent: newIntent(), fragments: map[string]*fragment{},
	}
}

// Intent is the configuration in force. Callers must not change it.
func (s *State) Intent() *Intent { return s.intent }

// NewerThan says that s holds more of the log than o. An instance only ever goes
// from a state to a newer one.
func (s *State) NewerThan(o *State) bool {
	if s.Revision != o.Revision {
		return s.Revision > o.Revision
	}
	return s.Next > o.Next
}

// Outcome finds what became of an operation. It is false for an operation
// that is not in the log up to Next, or that is older than the trail.
func (s *State) Outcome(op string) (audit.Entry, bool) {
	for i := len(s.Audit) - 1; i >= 0; i-- {
		if s.Audit[i].Op == op {
			return s.Audit[i], true
		}
	}
	return audit.Entry{}, false
}

// FileRevision is the revision that a change of the file has to be based on.
func (s *State) FileRevision(file string) int64 {
	if f, ok := s.Files[file]; ok {
		return f.Revision
	}
	return NoRevision
}

// CurrentFiles gives the contents of the files that are not deleted.
func (s *State) CurrentFiles() map[string][]byte {
	out := map[string][]byte{}
	for name, f := range s.Files {
		if !f.Deleted {
			out[name] = f.Contents
		}
	}
	return out
}

// next copies the state for one more record. The maps are shared until a
// change replaces them.
func (s *State) next() *State {
	c := *s
	c.Next++
	return &c
}

// rebuild derives the intent from the fragments and the key records.
func (s *State) rebuild() Problems {
	created := make([]Key, 0, len(s.CreatedKeys))
	for _, k := range s.CreatedKeys {
		created = append(created, k)
	}
	sort.Slice(created, func(i, j int) bool { return created[i].ID < created[j].ID })
	intent, ps := merge(s.fragments, created)
	if len(ps) > 0 {
		return locateAll(ps, s.CurrentFiles())
	}
	for hash, w := range s.WithdrawnKeys {
		intent.Keys[hash] = w.key()
	}
	intent.Revision = s.Revision
	s.intent = intent
	return nil
}

func (w Withdrawal) key() Key {
	return Key{ID: w.ID, Account: w.Account, SHA256: w.SHA256, Withdrawn: true}
}

// withIntentKey gives the intent with one key put in, without building it
// anew.
func (s *State) withIntentKey(k Key) *Intent {
	intent := *s.intent
	intent.Revision = s.Revision
	intent.Keys = maps.Clone(s.intent.Keys)
	intent.Keys[k.SHA256] = k
	return &intent
}
