package config

import (
	"maps"
	"sort"

	"github.com/mastictray/mastictray/internal/audit"
)

// NoRevision is the revision of a file or configuration that has never existed.
const NoRevision int64 = -1

// RecordsFile is the file name in problems with keys that log records created.
const RecordsFile = "(records)"

// maxAuditEntries limits the audit trail in the state. Older entries remain in
// the log for as long as it retains them.
const maxAuditEntries = 512

// File is the newest version of a configuration file.
type File struct {
	Contents []byte
	// Revision is the offset of the change that wrote or deleted the file.
	Revision int64
	// By is the operator who made that change.
	By string
	// Deleted files keep their revision, so that a change based on an earlier
	// revision is still rejected.
	Deleted bool
}

// Withdrawal is a permanently withdrawn key.
type Withdrawal struct {
	ID       string
	Account  string
	SHA256   string
	Revision int64
}

// State is the result of applying all records of the config stream before Next.
// It is immutable. States with the same Next are equal on all instances.
type State struct {
	// Revision is the offset of the last accepted record.
	Revision int64
	// Next is the offset of the first record that has not been applied.
	Next int64
	// SnapshotNext is the Next of the newest snapshot in the log.
	SnapshotNext int64
	Files        map[string]File
	// CreatedKeys and WithdrawnKeys are the keys that records created and
	// withdrew, by hash.
	CreatedKeys   map[string]Key
	WithdrawnKeys map[string]Withdrawal
	// Audit holds the newest audit entries, oldest first.
	Audit []audit.Entry

	intent      *Intent
	parsedFiles map[string]*parsedFile
}

// EmptyState returns the state before the first record.
func EmptyState() *State {
	return &State{
		Revision: NoRevision, Files: map[string]File{}, CreatedKeys: map[string]Key{},
		WithdrawnKeys: map[string]Withdrawal{}, intent: newIntent(), parsedFiles: map[string]*parsedFile{},
	}
}

// Intent returns the configuration in force. Callers must not modify it.
func (s *State) Intent() *Intent { return s.intent }

// NewerThan reports whether s reflects more of the log than o. An instance only
// ever replaces its state by a newer one.
func (s *State) NewerThan(o *State) bool {
	if s.Revision != o.Revision {
		return s.Revision > o.Revision
	}
	return s.Next > o.Next
}

// Outcome returns the audit entry of an operation. It reports false if the
// operation is not in the log before Next, or is older than the entries kept.
func (s *State) Outcome(op string) (audit.Entry, bool) {
	for i := len(s.Audit) - 1; i >= 0; i-- {
		if s.Audit[i].Op == op {
			return s.Audit[i], true
		}
	}
	return audit.Entry{}, false
}

// FileRevision returns the revision that a change of the file must be based on.
func (s *State) FileRevision(file string) int64 {
	if f, ok := s.Files[file]; ok {
		return f.Revision
	}
	return NoRevision
}

// CurrentFiles returns the contents of all files that are not deleted, by name.
func (s *State) CurrentFiles() map[string][]byte {
	out := map[string][]byte{}
	for name, f := range s.Files {
		if !f.Deleted {
			out[name] = f.Contents
		}
	}
	return out
}

// advanced returns a copy of the state with Next incremented. The copy shares
// the maps until a change replaces them.
func (s *State) advanced() *State {
	c := *s
	c.Next++
	return &c
}

// rebuildIntent derives the intent from the parsed files and the key records.
func (s *State) rebuildIntent() Problems {
	created := make([]Key, 0, len(s.CreatedKeys))
	for _, k := range s.CreatedKeys {
		created = append(created, k)
	}
	sort.Slice(created, func(i, j int) bool { return created[i].ID < created[j].ID })
	intent, ps := merge(s.parsedFiles, created)
	if len(ps) > 0 {
		return setLinesAcross(ps, s.CurrentFiles())
	}
	for hash, w := range s.WithdrawnKeys {
		intent.Keys[hash] = w.withdrawnKey()
	}
	intent.Revision = s.Revision
	s.intent = intent
	return nil
}

func (w Withdrawal) withdrawnKey() Key {
	return Key{ID: w.ID, Account: w.Account, SHA256: w.SHA256, Withdrawn: true}
}

// intentWithKey returns a copy of the intent with one key set, without
// rebuilding the intent.
func (s *State) intentWithKey(k Key) *Intent {
	intent := *s.intent
	intent.Revision = s.Revision
	intent.Keys = maps.Clone(s.intent.Keys)
	intent.Keys[k.SHA256] = k
	return &intent
}
