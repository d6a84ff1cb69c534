package config

import (
	"sort"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/mastictray/mastictray/internal/audit"
	"github.com/mastictray/mastictray/internal/logrec"
)

const (
	// snapshotPartBytes leaves space in a log record for the envelope.
	snapshotPartBytes = logrec.MaxRecordBytes - 4<<10
	// maxSnapshotParts limits a snapshot to 64 MB.
	maxSnapshotParts = 256
)

// ErrMalformedState is returned for data that is not a valid encoded state.
var ErrMalformedState = errors.New("config state: malformed")

// stateBody is the encoding of a State. Its lists are sorted, so that equal
// states have equal bytes.
type stateBody struct {
	Rules        int           `msgpack:"v"`
	Revision     int64         `msgpack:"r"`
	Next         int64         `msgpack:"n"`
	SnapshotNext int64         `msgpack:"s"`
	Files        []fileBody    `msgpack:"f"`
	Created      []keyBody     `msgpack:"c"`
	Withdrawn    []keyBody     `msgpack:"w"`
	Audit        []audit.Entry `msgpack:"a"`
}

type fileBody struct {
	Name     string `msgpack:"n"`
	Contents []byte `msgpack:"c"`
	Revision int64  `msgpack:"r"`
	By       string `msgpack:"b"`
	Deleted  bool   `msgpack:"d,omitempty"`
}

type keyBody struct {
	ID       string `msgpack:"i"`
	Account  string `msgpack:"a"`
	SHA256   string `msgpack:"h"`
	Revision int64  `msgpack:"r"`
}

// Encode returns the encoded state, for snapshots and for peers.
func (s *State) Encode() ([]byte, error) {
	b := stateBody{
		Rules: RulesVersion, Revision: s.Revision, Next: s.Next,
		SnapshotNext: s.SnapshotNext, Audit: s.Audit,
	}
	for name, f := range s.Files {
		b.Files = append(b.Files, fileBody{name, f.Contents, f.Revision, f.By, f.Deleted})
	}
	for _, k := range s.CreatedKeys {
		b.Created = append(b.Created, keyBody{ID: k.ID, Account: k.Account, SHA256: k.SHA256})
	}
	for _, w := range s.WithdrawnKeys {
		b.Withdrawn = append(b.Withdrawn, keyBody(w))
	}
	sort.Slice(b.Files, func(i, j int) bool { return b.Files[i].Name < b.Files[j].Name })
	sort.Slice(b.Created, func(i, j int) bool { return b.Created[i].SHA256 < b.Created[j].SHA256 })
	sort.Slice(b.Withdrawn, func(i, j int) bool { return b.Withdrawn[i].SHA256 < b.Withdrawn[j].SHA256 })
	data, err := msgpack.Marshal(&b)
	return data, errors.Wrap(err, "encode config state")
}

// DecodeState decodes a state and validates its files as a set. The error is
// ErrMalformedState or ErrNewerRules.
func DecodeState(data []byte) (*State, error) {
	var b stateBody
	if err := msgpack.Unmarshal(data, &b); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode config state"), ErrMalformedState)
	}
	if b.Rules > RulesVersion {
		return nil, errors.Wrapf(ErrNewerRules, "state at offset %d: rules %d", b.Next, b.Rules)
	}
	if b.Revision < NoRevision || b.Next <= b.Revision || len(b.Audit) > maxAuditEntries {
		return nil, errors.Wrapf(ErrMalformedState, "revision %d next %d", b.Revision, b.Next)
	}
	s := EmptyState()
	s.Revision, s.Next, s.SnapshotNext, s.Audit = b.Revision, b.Next, b.SnapshotNext, b.Audit
	for _, k := range b.Created {
		s.CreatedKeys[k.SHA256] = Key{ID: k.ID, Account: k.Account, SHA256: k.SHA256}
	}
	for _, w := range b.Withdrawn {
		s.WithdrawnKeys[w.SHA256] = Withdrawal(w)
	}
	return s, s.decodeFiles(b.Files)
}

func (s *State) decodeFiles(files []fileBody) error {
	var ps Problems
	for _, f := range files {
		s.Files[f.Name] = File{Contents: f.Contents, Revision: f.Revision, By: f.By, Deleted: f.Deleted}
		if f.Deleted {
			continue
		}
		parsed, problems := parseFile(f.Name, f.Contents)
		ps = append(ps, problems...)
		s.parsedFiles[f.Name] = parsed
	}
	if len(ps) == 0 {
		ps = s.rebuildIntent()
	}
	if len(ps) > 0 {
		return errors.Mark(errors.Wrap(ps, "config state"), ErrMalformedState)
	}
	return nil
}

// SnapshotRecords returns the records of a snapshot of the state, to be written
// to the config stream in one append.
func SnapshotRecords(s *State, by string, atMillis int64) ([][]byte, error) {
	data, err := s.Encode()
	if err != nil {
		return nil, err
	}
	parts := (len(data) + snapshotPartBytes - 1) / snapshotPartBytes
	if parts > maxSnapshotParts {
		return nil, errors.Newf("config snapshot: %d bytes, at most %d", len(data), maxSnapshotParts*snapshotPartBytes)
	}
	records := make([][]byte, 0, parts)
	for i := range parts {
		end := min((i+1)*snapshotPartBytes, len(data))
		body := SnapshotPart{
			Rules: RulesVersion, Next: s.Next, Part: i, Parts: parts,
			Data: data[i*snapshotPartBytes : end],
		}
		record, err := logrec.Encode(KindSnapshot, by, atMillis, body)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

// SnapshotPolicy determines when the holder of the lease duty/snapshot writes a
// snapshot.
type SnapshotPolicy struct {
	// EveryRecords limits the number of records that a starting instance applies.
	EveryRecords int64
	// Every limits the age of the newest snapshot, also when nothing changes. It
	// must be well below the log's retention.
	Every time.Duration
}

// DefaultSnapshotPolicy suits a retention of several hours or more.
var DefaultSnapshotPolicy = SnapshotPolicy{EveryRecords: 1024, Every: 30 * time.Minute}

// SnapshotDue reports whether to write a snapshot now. sinceLast is the time
// since this instance saw the newest one appear in the log; pass a very long
// duration if it has not seen one appear, since otherwise a lease that changes
// holders more often than Every would postpone snapshots indefinitely. logStart
// is the oldest retained offset.
func SnapshotDue(s *State, p SnapshotPolicy, sinceLast time.Duration, logStart int64) bool {
	if s.Revision == NoRevision {
		return false
	}
	// A log that starts after the end of the snapshot cannot be applied to it: a
	// restarted fleet would find no configuration.
	if logStart > s.SnapshotNext {
		return true
	}
	return s.Next-s.SnapshotNext >= p.EveryRecords || sinceLast >= p.Every
}

// snapshotAssembler joins the parts of a snapshot, which are at consecutive
// offsets.
type snapshotAssembler struct {
	next  int64
	parts int
	data  []byte
}

// add takes the record at the next offset and returns the state when it
// completes a snapshot. Any record but the next part discards the parts so far.
func (a *snapshotAssembler) add(record []byte) *State {
	e, err := logrec.Decode(record)
	if err != nil || e.Kind != KindSnapshot {
		a.reset()
		return nil
	}
	var p SnapshotPart
	if e.DecodeBody(&p) != nil || p.Rules > RulesVersion || p.Parts < 1 || p.Parts > maxSnapshotParts {
		a.reset()
		return nil
	}
	if p.Part == 0 {
		a.reset()
		a.next = p.Next
	}
	if p.Part != a.parts || p.Next != a.next {
		a.reset()
		return nil
	}
	a.parts++
	a.data = append(a.data, p.Data...)
	if a.parts < p.Parts {
		return nil
	}
	s, err := DecodeState(a.data)
	a.reset()
	if err != nil || s.Next != p.Next {
		return nil
	}
	return s
}

func (a *snapshotAssembler) reset() { *a = snapshotAssembler{} }
