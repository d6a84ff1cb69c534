package config

import (
	"fmt"
	"maps"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/audit"
	"github.com/mastictray/mastictray/internal/logrec"
	"github.com/mastictray/mastictray/internal/platform"
)

// ErrNewerRules is returned for a record or state of a newer RulesVersion.
var ErrNewerRules = errors.New("config record: written by newer rules")

const (
	// maxReasonBytes limits the reasons and notes kept in audit entries.
	maxReasonBytes = 1024
	maxOpBytes     = 128
)

// Apply returns the state after the record at offset s.Next. A record that
// cannot be decoded is skipped on all instances alike. The only error is
// ErrNewerRules; the state is then unchanged.
func Apply(s *State, data []byte) (*State, error) {
	n := s.advanced()
	e, err := logrec.Decode(data)
	if err != nil {
		return n, nil
	}
	switch e.Kind {
	case KindChange:
		return applyBody(s, n, e, applyChange)
	case KindKeyCreate:
		return applyBody(s, n, e, applyKeyCreate)
	case KindKeyWithdraw:
		return applyBody(s, n, e, applyKeyWithdraw)
	case KindSnapshot:
		return applyBody(s, n, e, applySnapshot)
	}
	return n, nil
}

// applyBody decodes the body of a record and passes it to apply, which updates
// n, a copy of s for the next offset.
func applyBody[B interface{ rules() int }](s, n *State, e logrec.Envelope, apply func(*State, *entryDraft, B)) (*State, error) {
	var body B
	if e.DecodeBody(&body) != nil {
		return n, nil
	}
	if body.rules() > RulesVersion {
		return s, errors.Wrapf(ErrNewerRules, "offset %d: rules %d, this build has %d", s.Next, body.rules(), RulesVersion)
	}
	apply(n, newDraft(s.Next, e), body)
	return n, nil
}

func (c Change) rules() int       { return c.Rules }
func (k KeyCreate) rules() int    { return k.Rules }
func (k KeyWithdraw) rules() int  { return k.Rules }
func (p SnapshotPart) rules() int { return p.Rules }

// entryDraft is the audit entry of the record being applied.
type entryDraft struct{ audit.Entry }

func newDraft(offset int64, e logrec.Envelope) *entryDraft {
	return &entryDraft{audit.Entry{
		Stream: platform.StreamConfig, Offset: offset, AtMillis: e.AtMillis, By: e.Writer, Kind: string(e.Kind),
	}}
}

// startOperation adds the operation's ID and note to the draft and reports
// whether to apply the operation: its ID must be valid and not seen before. An
// operation that is in the log twice keeps its first outcome.
func (s *State) startOperation(d *entryDraft, op, note string) bool {
	if op == "" || len(op) > maxOpBytes || d.By == "" {
		return false
	}
	d.Op, d.Note = op, truncate(note)
	_, seen := s.Outcome(op)
	return !seen
}

// reject adds an audit entry for an operation without effect. The reason is
// part of the encoded state: instances that word it differently would differ
// in state.
func (s *State) reject(d *entryDraft, reason string) {
	d.Outcome, d.Reason = audit.Rejected, truncate(reason)
	s.Audit = audit.Append(s.Audit, d.Entry, maxAuditEntries)
}

func (s *State) accept(d *entryDraft) {
	d.Outcome = audit.Accepted
	s.Audit = audit.Append(s.Audit, d.Entry, maxAuditEntries)
}

func truncate(text string) string {
	if len(text) > maxReasonBytes {
		return text[:maxReasonBytes] + "…"
	}
	return text
}

func applyChange(n *State, d *entryDraft, c Change) {
	if !n.startOperation(d, c.Op, c.Note) {
		return
	}
	if reason := n.checkBases(d, c); reason != "" {
		n.reject(d, reason)
		return
	}
	candidate := *n
	if ps := candidate.applyFiles(d, c); len(ps) > 0 {
		n.reject(d, ps.Error())
		return
	}
	*n = candidate
	n.accept(d)
}

// checkBases compares each file's base with its current revision and returns
// the reason to reject the change, or "". Of two conflicting changes the one at
// the lower offset wins; the audit entry of the other names the winner.
func (s *State) checkBases(d *entryDraft, c Change) string {
	if len(c.Files) == 0 {
		return "the change names no file"
	}
	seen := map[string]bool{}
	reason := ""
	for _, f := range c.Files {
		current := s.FileRevision(f.Name)
		d.Subjects = append(d.Subjects, fileSubject(f, current, d.Offset))
		switch {
		case reason != "":
		case seen[f.Name]:
			reason = fmt.Sprintf("%s is named twice", f.Name)
		case f.Base != current:
			reason = s.conflictReason(d, f)
		case f.Delete && (current == NoRevision || s.Files[f.Name].Deleted):
			reason = fmt.Sprintf("%s: there is no such file to delete", f.Name)
		}
		seen[f.Name] = true
	}
	return reason
}

// conflictReason describes the change that f conflicts with and sets it as the
// winner.
func (s *State) conflictReason(d *entryDraft, f FileChange) string {
	current, ok := s.Files[f.Name]
	if !ok {
		return fmt.Sprintf("%s: based on revision %d, but the file never was", f.Name, f.Base)
	}
	d.Winner, d.WinnerRevision = current.By, current.Revision
	verb := "brought"
	if current.Deleted {
		verb = "deleted it at"
	}
	return fmt.Sprintf("%s: based on revision %d, but %s %s revision %d", f.Name, f.Base, current.By, verb, current.Revision)
}

func fileSubject(f FileChange, before, after int64) audit.Subject {
	s := audit.Subject{Name: f.Name, After: strconv.FormatInt(after, 10)}
	if before != NoRevision {
		s.Before = strconv.FormatInt(before, 10)
	}
	if f.Delete {
		s.After = "deleted"
	}
	return s
}

// applyFiles applies the file changes and validates the resulting set.
func (s *State) applyFiles(d *entryDraft, c Change) Problems {
	s.Revision = d.Offset
	s.Files, s.parsedFiles = maps.Clone(s.Files), maps.Clone(s.parsedFiles)
	var ps Problems
	for _, f := range c.Files {
		file := File{Revision: d.Offset, By: d.By, Deleted: f.Delete}
		delete(s.parsedFiles, f.Name)
		if !f.Delete {
			file.Contents = f.Contents
			parsed, problems := parseFile(f.Name, f.Contents)
			ps = append(ps, problems...)
			s.parsedFiles[f.Name] = parsed
		}
		s.Files[f.Name] = file
	}
	if len(ps) > 0 {
		return ps
	}
	return s.rebuildIntent()
}

func applyKeyCreate(n *State, d *entryDraft, k KeyCreate) {
	if !n.startOperation(d, k.Op, k.Note) {
		return
	}
	d.Subjects = []audit.Subject{{Name: k.ID, After: k.Account}}
	if reason := n.checkCreate(k); reason != "" {
		n.reject(d, reason)
		return
	}
	key := Key{ID: k.ID, Account: k.Account, SHA256: k.SHA256}
	n.Revision = d.Offset
	n.CreatedKeys = maps.Clone(n.CreatedKeys)
	n.CreatedKeys[k.SHA256] = key
	n.intent = n.intentWithKey(key)
	n.accept(d)
}

func (s *State) checkCreate(k KeyCreate) string {
	if !namePattern.MatchString(k.ID) {
		return "key id: expected " + nameExpected
	}
	if !hashPattern.MatchString(k.SHA256) {
		return "sha256: expected " + hashExpected
	}
	if _, ok := s.intent.Accounts[k.Account]; !ok {
		return "account " + k.Account + " is not known"
	}
	if other, ok := s.intent.Keys[k.SHA256]; ok {
		return "key " + other.ID + " has this hash already"
	}
	for _, other := range s.intent.Keys {
		if other.ID == k.ID {
			return "key " + k.ID + " is there already"
		}
	}
	return ""
}

// applyKeyWithdraw withdraws a key whether or not the state has it. The hash
// stays in WithdrawnKeys permanently: a file that lists it again, such as an
// outdated copy published by another operator, must not reactivate the key.
func applyKeyWithdraw(n *State, d *entryDraft, k KeyWithdraw) {
	if !n.startOperation(d, k.Op, k.Note) {
		return
	}
	d.Subjects = []audit.Subject{{Name: k.ID, After: "withdrawn"}}
	if !hashPattern.MatchString(k.SHA256) {
		n.reject(d, "sha256: expected "+hashExpected)
		return
	}
	w := Withdrawal{ID: k.ID, SHA256: k.SHA256, Revision: d.Offset}
	if key, ok := n.intent.Keys[k.SHA256]; ok {
		w.ID, w.Account = key.ID, key.Account
		d.Subjects[0] = audit.Subject{Name: key.ID, Before: key.Account, After: "withdrawn"}
	}
	n.Revision = d.Offset
	n.WithdrawnKeys = maps.Clone(n.WithdrawnKeys)
	n.WithdrawnKeys[k.SHA256] = w
	n.CreatedKeys = maps.Clone(n.CreatedKeys)
	delete(n.CreatedKeys, k.SHA256)
	n.intent = n.intentWithKey(w.withdrawnKey())
	n.accept(d)
}

func applySnapshot(n *State, _ *entryDraft, p SnapshotPart) {
	if p.Part == p.Parts-1 && p.Next > n.SnapshotNext && p.Next < n.Next {
		n.SnapshotNext = p.Next
	}
}
