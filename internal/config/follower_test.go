package config

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/audit"
	"github.com/mastictray/mastictray/internal/logrec"
	"github.com/mastictray/mastictray/internal/platform"
)

// fakeLog is a config stream that retains the records from offset start on.
type fakeLog struct {
	start   int64
	records [][]byte
}

func (l *fakeLog) append(kind logrec.Kind, by string, body any) int64 {
	data, err := logrec.Encode(kind, by, 0, body)
	if err != nil {
		panic(err)
	}
	l.records = append(l.records, data)
	return int64(len(l.records) - 1)
}

// read passes the next records, limit at most, to f as an instance does.
func (l *fakeLog) read(f *Follower, limit int) error {
	if f.Next() < l.start {
		f.SkipTo(l.start)
	}
	var batch []platform.Record
	for o := f.Next(); o < int64(len(l.records)) && len(batch) < limit; o++ {
		batch = append(batch, platform.Record{Offset: platform.Offset(o), Data: l.records[o]})
	}
	_, err := f.Apply(batch)
	return err
}

func accountFile(name string, rate int) []byte {
	return fmt.Appendf(nil, "[account %q]\ntokens-per-second = %d\nburst-tokens = 10\n", name, rate)
}

func change(op, file string, base int64, contents []byte) Change {
	return Change{Op: op, Rules: RulesVersion, Files: []FileChange{{Name: file, Base: base, Contents: contents}}}
}

func mustEncode(t interface{ Fatal(...any) }, s *State) []byte {
	data, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func replay(t *testing.T, l *fakeLog) *State {
	t.Helper()
	f := NewFollower()
	if err := l.read(f, len(l.records)); err != nil {
		t.Fatal(err)
	}
	return f.State()
}

// Two operators change the same file from the same base. The record at the
// lower offset takes effect. The other is rejected with the winner and its
// revision, and the audit trail has both.
func TestOperatorRaceHasOneWinnerWhoIsNamed(t *testing.T) {
	is := is.New(t)
	l := &fakeLog{}
	l.append(KindChange, "anna", change("op-a", "a.ini", NoRevision, accountFile("a", 1)))
	l.append(KindChange, "beat", change("op-b", "a.ini", NoRevision, accountFile("a", 2)))
	s := replay(t, l)
	is.Equal(s.Intent().Accounts["a"].TokensPerSecond, 1.0)
	lost, ok := s.Outcome("op-b")
	is.True(ok)
	is.Equal(lost.Outcome, audit.Rejected)
	is.Equal(lost.Winner, "anna")
	is.Equal(lost.WinnerRevision, int64(0))
	is.Equal(lost.Reason, "a.ini: based on revision -1, but anna brought revision 0")
	is.Equal(len(s.Audit), 2)
}

// The answer to an append is lost and the operator's tool appends the same
// operation again. The second record has a stale base by then, and must not
// turn the operation into a rejected one.
func TestSameOperationTwiceTakesEffectOnce(t *testing.T) {
	is := is.New(t)
	l := &fakeLog{}
	for range 2 {
		l.append(KindChange, "anna", change("op-a", "a.ini", NoRevision, accountFile("a", 1)))
	}
	s := replay(t, l)
	got, _ := s.Outcome("op-a")
	is.Equal(got.Outcome, audit.Accepted)
	is.Equal(s.Revision, int64(0))
	is.Equal(len(s.Audit), 1)
}

// A change that is based on a revision before the file's deletion would restore
// the file, although its operator does not know of the deletion. It is rejected
// like any other change with a stale base.
func TestDeletionWinsOverOlderBase(t *testing.T) {
	is := is.New(t)
	l := &fakeLog{}
	l.append(KindChange, "anna", change("1", "a.ini", NoRevision, accountFile("a", 1)))
	l.append(KindChange, "anna", Change{Op: "2", Files: []FileChange{{Name: "a.ini", Base: 0, Delete: true}}})
	l.append(KindChange, "beat", change("3", "a.ini", 0, accountFile("a", 2)))
	l.append(KindChange, "beat", change("4", "a.ini", NoRevision, accountFile("a", 2)))
	l.append(KindChange, "beat", change("5", "a.ini", 1, accountFile("a", 3)))
	s := replay(t, l)
	got, _ := s.Outcome("3")
	is.Equal(got.Reason, "a.ini: based on revision 0, but anna deleted it at revision 1")
	is.Equal(s.Intent().Accounts["a"].TokensPerSecond, 3.0)
}

// A change after which the set of files is invalid is rejected with the location
// and the expected value, and the configuration stays as it was.
func TestInvalidChangeIsRejectedWithItsProblems(t *testing.T) {
	is := is.New(t)
	l := &fakeLog{}
	l.append(KindChange, "anna", change("1", "a.ini", NoRevision, accountFile("a", 1)))
	l.append(KindChange, "anna", change("2", "a.ini", 0, accountFile("a", 0)))
	l.append(KindChange, "anna", change("3", "k.ini", NoRevision, []byte("[key \"k\"]\naccount = b\nsha256 = "+goodHash)))
	s := replay(t, l)
	got, _ := s.Outcome("2")
	is.Equal(got.Reason, `a.ini:2: [account "a"] tokens-per-second: expected a number above 0, got "0"`)
	got, _ = s.Outcome("3")
	is.Equal(got.Reason, `k.ini:2: [key "k"] account: expected a known account, got "b"`)
	is.Equal(s.Revision, int64(0))
}

// A key is withdrawn, and then an operator who does not know of it publishes a
// file that lists the key. The file's base is current, so the change is
// accepted; only the retained hash keeps the key withdrawn.
func TestWithdrawnKeyIsNotRevivedByFileOrRecord(t *testing.T) {
	is := is.New(t)
	l := &fakeLog{}
	l.append(KindChange, "anna", change("1", "a.ini", NoRevision, accountFile("a", 1)))
	l.append(KindKeyCreate, "anna", KeyCreate{Op: "2", ID: "k1", Account: "a", SHA256: goodHash})
	is.True(!replay(t, l).Intent().Keys[goodHash].Withdrawn)
	l.append(KindKeyWithdraw, "anna", KeyWithdraw{Op: "3", ID: "k1", SHA256: goodHash})
	listing := append(accountFile("a", 2), []byte("[key \"k2\"]\naccount = a\nsha256 = "+goodHash)...)
	l.append(KindChange, "beat", change("4", "a.ini", 0, listing))
	l.append(KindKeyCreate, "beat", KeyCreate{Op: "5", ID: "k3", Account: "a", SHA256: goodHash})
	s := replay(t, l)
	is.Equal(s.Intent().Keys[goodHash], Key{ID: "k1", Account: "a", SHA256: goodHash, Withdrawn: true})
	got, _ := s.Outcome("4")
	is.Equal(got.Outcome, audit.Accepted)
	got, _ = s.Outcome("5")
	is.Equal(got.Outcome, audit.Rejected)
}

// An instance is offered an older state by a peer, for example after a
// partition. Its configuration must not revert to the older one.
func TestPeerOfLowerRevisionIsNotAdopted(t *testing.T) {
	is := is.New(t)
	l := &fakeLog{}
	l.append(KindChange, "anna", change("1", "a.ini", NoRevision, accountFile("a", 1)))
	old := replay(t, l)
	l.append(KindChange, "anna", change("2", "a.ini", 0, accountFile("a", 2)))
	f := NewFollower()
	is.NoErr(l.read(f, 10))
	adopted, err := f.Adopt(old)
	is.NoErr(err)
	is.True(!adopted)
	is.Equal(f.State().Intent().Accounts["a"].TokensPerSecond, 2.0)
}

// The first changes were trimmed from the log, and there is no snapshot after
// them. A new instance must have no state: an empty configuration would refuse
// every key and revert what the other instances have.
func TestTrimmedLogWithoutSnapshotGivesNoState(t *testing.T) {
	is := is.New(t)
	l := &fakeLog{}
	l.append(KindChange, "anna", change("1", "a.ini", NoRevision, accountFile("a", 1)))
	base := replay(t, l)
	l.append(KindChange, "anna", change("2", "a.ini", 0, accountFile("a", 2)))
	want := replay(t, l)
	l.start = 1
	f := NewFollower()
	is.NoErr(l.read(f, 10))
	is.True(f.State() == nil)
	is.True(f.AwaitingState())
	_, err := f.Adopt(base)
	is.NoErr(err)
	is.Equal(mustEncode(t, f.State()), mustEncode(t, want))
}

// During an upgrade an older build reads a record of newer rules. It stops
// before the record and keeps its state.
func TestNewerRulesStopTheFold(t *testing.T) {
	is := is.New(t)
	l := &fakeLog{}
	l.append(KindChange, "anna", change("1", "a.ini", NoRevision, accountFile("a", 1)))
	newer := change("2", "a.ini", 0, accountFile("a", 2))
	newer.Rules = RulesVersion + 1
	l.append(KindChange, "anna", newer)
	f := NewFollower()
	is.True(l.read(f, 10) != nil)
	is.Equal(f.State().Revision, int64(0))
	is.Equal(f.Next(), int64(1))
}

// A snapshot that exceeds one log record is split. A new instance on a trimmed
// log joins the parts and ends with an identical state.
func TestSnapshotOfSeveralPartsRestores(t *testing.T) {
	is := is.New(t)
	l := &fakeLog{}
	big := append(accountFile("a", 1), bytes.Repeat([]byte("# comment\n"), 15000)...)
	for _, name := range []string{"a.ini", "b.ini", "c.ini"} {
		body := bytes.Replace(big, []byte(`"a"`), []byte(`"`+name[:1]+`"`), 1)
		l.append(KindChange, "anna", change(name, name, NoRevision, body))
	}
	want := replay(t, l)
	records, err := SnapshotRecords(want, "i", 0)
	is.NoErr(err)
	is.True(len(records) > 1)
	l.records = append(l.records, records...)
	l.start = 3
	got := replay(t, l)
	is.Equal(mustEncode(t, got), mustEncode(t, replay(t, &fakeLog{records: l.records})))
	is.Equal(got.Revision, want.Revision)
}

func TestSnapshotDue(t *testing.T) {
	p := SnapshotPolicy{EveryRecords: 10, Every: 60}
	cases := map[string]struct {
		next, through, start int64
		since                time.Duration
		want                 bool
	}{
		"fresh":        {9, 0, 0, 1, false},
		"many records": {10, 0, 0, 1, true},
		"old":          {1, 0, 0, 60, true},
		"trimmed past": {9, 3, 4, 1, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &State{Revision: 0, Next: c.next, SnapshotNext: c.through}
			is.Equal(SnapshotDue(s, p, c.since, c.start), c.want)
		})
	}
}
