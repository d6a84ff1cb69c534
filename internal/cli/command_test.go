package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/config"
	"github.com/mastictray/mastictray/internal/keys"
	"github.com/mastictray/mastictray/internal/logrec"
	"github.com/mastictray/mastictray/internal/platform"
	"github.com/mastictray/mastictray/internal/rollout"
)

// memoryLog keeps one stream. Each append runs before, if set, and gives its
// error after the effect or instead of it.
type memoryLog struct {
	records []platform.Record
	control []platform.Record
	before  func()
	refuse  error
	lose    error
}

func (l *memoryLog) Append(_ context.Context, _ string, records [][]byte) (platform.Offset, error) {
	if before := l.before; before != nil {
		l.before = nil
		before()
	}
	if l.refuse != nil {
		return 0, l.refuse
	}
	first := platform.Offset(len(l.records))
	for _, data := range records {
		l.records = append(l.records, platform.Record{Offset: platform.Offset(len(l.records)), Data: data})
	}
	return first, l.lose
}

func (l *memoryLog) Read(_ context.Context, stream string, from platform.Offset, limit int, _ time.Duration) (platform.Batch, error) {
	records := l.records
	if stream == platform.StreamControl {
		records = l.control
	}
	end := min(int(from)+limit, len(records))
	return platform.Batch{Next: platform.Offset(len(records)), Records: records[from:end]}, nil
}

// shell runs command lines against one log and one root directory.
type shell struct {
	t    *testing.T
	log  *memoryLog
	root string
	url  string
	ctx  context.Context
}

func newShell(t *testing.T) *shell {
	return &shell{t: t, log: &memoryLog{}, root: t.TempDir(), ctx: context.Background()}
}

// giveUpAtAppend ends the operator's time in the next append, so that no
// test waits for a timeout.
func (s *shell) giveUpAtAppend() {
	ctx, cancel := context.WithCancel(context.Background())
	s.ctx, s.log.before = ctx, cancel
}

func (s *shell) file(name, text string) {
	s.t.Helper()
	if err := os.WriteFile(filepath.Join(s.root, name), []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

func (s *shell) run(args ...string) (ExitCode, string, string) {
	var out, errOut bytes.Buffer
	env := Env{
		Stdin: strings.NewReader("secret\n"), Stdout: &out, Stderr: &errOut,
		Client: http.DefaultClient, Now: func() time.Time { return time.UnixMilli(0) },
		Random: bytes.NewReader(bytes.Repeat([]byte{7}, 64)), Log: s.log,
	}
	code := Main(s.ctx, append([]string{"--timeout=1m", "--admin=" + s.url}, args...), env)
	return code, out.String(), errOut.String()
}

func (s *shell) publish(who string, more ...string) (ExitCode, string, string) {
	return s.run(append([]string{"publish", "--root", s.root, "--as", who, s.root}, more...)...)
}

const account = "[account \"a\"]\ntokens-per-second = 10\nburst-tokens = 10\n"

func TestLintPrintsAllProblemsAndExits3(t *testing.T) {
	is := is.New(t)
	s := newShell(t)
	s.file("a.ini", "[account \"a\"]\ntokens-per-second = 0\n")
	code, out, _ := s.run("lint", "--root", s.root, s.root)
	is.Equal(code, ExitInvalid)
	is.True(strings.Contains(out, `a.ini:1: [account "a"] burst-tokens: expected a number above 0`))
	is.True(strings.Contains(out, `a.ini:2: [account "a"] tokens-per-second: expected a number above 0, got "0"`))
	code, _, _ = s.publish("anna")
	is.Equal(code, ExitInvalid)
	is.Equal(len(s.log.records), 0)
}

func TestPublishThenDiffShowsNothing(t *testing.T) {
	is := is.New(t)
	s := newShell(t)
	s.file("a.ini", account)
	code, out, _ := s.publish("anna", "--note", "first")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "config@0  anna  config.change  accepted  a.ini none->0  note: first"))
	code, out, _ = s.run("diff", "--root", s.root, s.root)
	is.Equal(code, ExitOK)
	is.Equal(out, "0 changes against revision 0\n")
	s.file("a.ini", strings.Replace(account, "= 10", "= 20", 1))
	_, out, _ = s.run("diff", "--root", s.root, s.root)
	is.Equal(out, "change   a.ini (base 0)\n  - tokens-per-second = 10\n  + tokens-per-second = 20\n1 changes against revision 0\n")
}

// The answer to the append is lost after it took effect. The operator sees
// the change accepted: the command finds its op id in the log and does not
// append again.
func TestPublishSettlesLostAnswerByOpID(t *testing.T) {
	is := is.New(t)
	s := newShell(t)
	s.file("a.ini", account)
	s.log.lose = errors.Wrap(platform.ErrOutcomeUnknown, "cut")
	code, out, _ := s.publish("anna")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "accepted"))
	is.Equal(len(s.log.records), 1)
}

// The answer is lost and the append had no effect. The operator is told that
// the outcome is unknown, with the id; repeating with it changes once.
func TestPublishTellsUnknownOutcome(t *testing.T) {
	is := is.New(t)
	s := newShell(t)
	s.file("a.ini", account)
	s.log.refuse = errors.Wrap(platform.ErrOutcomeUnknown, "cut")
	s.giveUpAtAppend()
	code, _, errOut := s.publish("anna", "--op", "op-1")
	is.Equal(code, ExitUnknown)
	is.True(strings.Contains(errOut, "mastictray outcome op-1"))
	s.log.refuse, s.ctx = nil, context.Background()
	code, _, _ = s.run("outcome", "op-1")
	is.Equal(code, ExitUnknown)
	for range 2 {
		code, _, _ = s.publish("anna", "--op", "op-1")
		is.Equal(code, ExitOK)
	}
	is.Equal(len(s.log.records), 1)
}

// The log is down. The operator sees what the service said and that nothing
// was changed, not an unknown outcome: a refusal has no effect.
func TestPublishDuringOutageChangesNothing(t *testing.T) {
	is := is.New(t)
	s := newShell(t)
	s.file("a.ini", account)
	s.log.refuse = platform.ErrOutage
	s.giveUpAtAppend()
	code, _, errOut := s.publish("anna")
	is.Equal(code, ExitFailed)
	is.True(strings.Contains(errOut, "outage"))
	is.Equal(len(s.log.records), 0)
}

// Another operator's change lands between the read of the bases and the
// append. The loser's command says who won and exits with 4.
func TestPublishLosesRaceAndNamesWinner(t *testing.T) {
	is := is.New(t)
	s := newShell(t)
	s.file("a.ini", account)
	s.log.before = func() {
		change := config.Change{Op: "other", Files: []config.FileChange{{Name: "a.ini", Base: -1, Contents: []byte(account)}}}
		record, err := logrec.Encode(config.KindChange, "beat", 0, change)
		is.NoErr(err)
		_, err = s.log.Append(context.Background(), platform.StreamConfig, [][]byte{record})
		is.NoErr(err)
	}
	code, _, errOut := s.publish("anna")
	is.Equal(code, ExitRejected)
	is.True(strings.Contains(errOut, "beat brought revision 0"))
}

// An operator publishes from an old checkout. With --expect the command
// refuses to overwrite the newer file that the operator has not seen.
func TestPublishExpectRefusesUnseenRevision(t *testing.T) {
	is := is.New(t)
	s := newShell(t)
	s.file("a.ini", account)
	_, _, _ = s.publish("anna")
	s.file("a.ini", account+"weight = 2\n")
	_, _, _ = s.publish("beat")
	s.file("a.ini", account+"weight = 3\n")
	code, _, errOut := s.publish("anna", "--expect", "0")
	is.Equal(code, ExitRejected)
	is.True(strings.Contains(errOut, "beat brought revision 1"))
}

func TestPruneDeletesWhatTheDirectoriesLack(t *testing.T) {
	is := is.New(t)
	s := newShell(t)
	s.file("a.ini", account)
	s.file("b.ini", strings.Replace(account, `"a"`, `"b"`, 1))
	_, _, _ = s.publish("anna")
	is.NoErr(os.Remove(filepath.Join(s.root, "b.ini")))
	_, out, _ := s.publish("anna")
	is.Equal(out, "keep     b.ini (base 0)\n0 changes against revision 0\n")
	_, out, _ = s.publish("anna", "--prune")
	is.True(strings.Contains(out, "b.ini 0->deleted"))
}

func TestKeysCreateAndWithdraw(t *testing.T) {
	is := is.New(t)
	s := newShell(t)
	s.file("a.ini", account)
	_, _, _ = s.publish("anna")
	code, out, errOut := s.run("keys", "create", "k1", "--account", "a", "--as", "anna", "-o", "json")
	is.Equal(code, ExitOK)
	var made newKey
	is.NoErr(json.Unmarshal([]byte(out), &made))
	is.Equal(keys.Hash(made.Key), made.SHA256)
	for _, r := range s.log.records {
		is.True(!bytes.Contains(r.Data, []byte(made.Key))) // the log has no plain key
	}
	is.True(!strings.Contains(errOut, made.Key))
	code, out, _ = s.run("keys", "withdraw", "k1", "--as", "beat")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "beat  key.withdraw  accepted  k1 a->withdrawn"))
	code, _, _ = s.run("keys", "withdraw", "k1", "--as", "beat")
	is.Equal(code, ExitRejected)
	code, out, _ = s.run("keys", "hash")
	is.Equal(code, ExitOK)
	is.Equal(out, keys.Hash("secret")+"\n")
}

func TestAuditFilters(t *testing.T) {
	is := is.New(t)
	s := newShell(t)
	s.file("a.ini", account)
	_, _, _ = s.publish("anna")
	_, _, _ = s.run("keys", "create", "k1", "--account", "a", "--as", "beat")
	_, out, _ := s.run("audit")
	is.Equal(strings.Count(out, "\n"), 2)
	_, out, _ = s.run("audit", "--by", "beat")
	is.Equal(out, "1970-01-01T00:00:00Z  config@1  beat  key.create  accepted  k1 none->a\n")
	order := rollout.Issued{ID: rollout.OrderID{Token: 4, N: 2}, Target: "t1", Before: "v1", Version: "v2"}
	record, err := logrec.Encode(rollout.KindIssued, "entry-1", 1000, order)
	is.NoErr(err)
	s.log.control = []platform.Record{{Data: record}}
	_, out, _ = s.run("audit", "--of", "t1")
	is.Equal(out, "1970-01-01T00:00:01Z  control@0  entry-1  order.issued  issued  t1 v1->v2\n")
	_, out, _ = s.run("audit", "--of", "a.ini", "--output", "json")
	is.True(strings.Contains(out, `"by": "anna"`))
}

func TestStatusAndExplainAskTheAdminAPI(t *testing.T) {
	is := is.New(t)
	var got string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		got = r.Method + " " + r.URL.Path + " " + r.Header.Get("Authorization") + " " + string(body)
		_, _ = io.WriteString(w, `{"revision":9007199254740993,"targets":[{"load":2,"name":"t1","by":["a","b"]}]}`)
	}))
	defer server.Close()
	s := newShell(t)
	s.url = server.URL
	code, out, _ := s.run("--token", "tok", "status")
	is.Equal(code, ExitOK)
	is.Equal(got, "GET /admin/v1/state Bearer tok ")
	is.Equal(out, "revision: 9007199254740993\ntargets:\n  - name=t1 by=(a; b) load=2\n")
	s.file("r.json", `{"model":"m"}`)
	code, _, _ = s.run("explain", "--account", "a", filepath.Join(s.root, "r.json"))
	is.Equal(code, ExitOK)
	is.Equal(got, `POST /admin/v1/explain  {"path":"/v1/chat/completions","account":"a","body":{"model":"m"}}`)
}

func TestHelpAndUsage(t *testing.T) {
	is := is.New(t)
	s := newShell(t)
	code, out, _ := s.run("--help")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "Exit codes"))
	code, _, _ = s.run("publish")
	is.Equal(code, ExitUsage)
	code, out, _ = s.run("completion")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, `" keys") words="--admin`))
}

// The example configurations must stay valid, or the first thing that a
// newcomer tries fails.
func TestExamplesAreValid(t *testing.T) {
	for _, dir := range []string{"cantonal", "charter", "demo", "demo-charter"} {
		t.Run(dir, func(t *testing.T) {
			is := is.New(t)
			root := filepath.Join("..", "..", "examples", dir)
			code, out, _ := newShell(t).run("lint", "--root", root, root)
			is.Equal(code, ExitOK)
			is.Equal(out, "4 files, 0 problems\n")
		})
	}
}
