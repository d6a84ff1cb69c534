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

// memoryLog is an in-memory log. The next append calls onAppend, if set. Appends
// fail with appendErr without effect, or with lostAnswerErr after their effect.
type memoryLog struct {
	records       []platform.Record
	control       []platform.Record
	onAppend      func()
	appendErr     error
	lostAnswerErr error
}

func (l *memoryLog) Append(_ context.Context, _ string, records [][]byte) (platform.Offset, error) {
	if onAppend := l.onAppend; onAppend != nil {
		l.onAppend = nil
		onAppend()
	}
	if l.appendErr != nil {
		return 0, l.appendErr
	}
	first := platform.Offset(len(l.records))
	for _, data := range records {
		l.records = append(l.records, platform.Record{Offset: platform.Offset(len(l.records)), Data: data})
	}
	return first, l.lostAnswerErr
}

func (l *memoryLog) Read(_ context.Context, stream string, from platform.Offset, limit int, _ time.Duration) (platform.Batch, error) {
	records := l.records
	if stream == platform.StreamControl {
		records = l.control
	}
	end := min(int(from)+limit, len(records))
	return platform.Batch{Next: platform.Offset(len(records)), Records: records[from:end]}, nil
}

// harness runs command lines with one log and one root directory.
type harness struct {
	t    *testing.T
	log  *memoryLog
	root string
	url  string
	ctx  context.Context
}

func newHarness(t *testing.T) *harness {
	return &harness{t: t, log: &memoryLog{}, root: t.TempDir(), ctx: context.Background()}
}

// cancelAtAppend cancels the command's context in the next append, so that the
// test need not wait for a timeout.
func (h *harness) cancelAtAppend() {
	ctx, cancel := context.WithCancel(context.Background())
	h.ctx, h.log.onAppend = ctx, cancel
}

func (h *harness) writeFile(name, text string) {
	h.t.Helper()
	if err := os.WriteFile(filepath.Join(h.root, name), []byte(text), 0o600); err != nil {
		h.t.Fatal(err)
	}
}

func (h *harness) run(args ...string) (ExitCode, string, string) {
	var out, errOut bytes.Buffer
	env := Env{
		Stdin: strings.NewReader("secret\n"), Stdout: &out, Stderr: &errOut,
		Client: http.DefaultClient, Now: func() time.Time { return time.UnixMilli(0) },
		Random: bytes.NewReader(bytes.Repeat([]byte{7}, 64)), Log: h.log,
	}
	code := Main(h.ctx, append([]string{"--timeout=1m", "--admin=" + h.url}, args...), env)
	return code, out.String(), errOut.String()
}

func (h *harness) publish(who string, more ...string) (ExitCode, string, string) {
	return h.run(append([]string{"publish", "--root", h.root, "--as", who, h.root}, more...)...)
}

const account = "[account \"a\"]\ntokens-per-second = 10\nburst-tokens = 10\n"

func TestLintPrintsAllProblemsAndExits3(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.writeFile("a.ini", "[account \"a\"]\ntokens-per-second = 0\n")
	code, out, _ := h.run("lint", "--root", h.root, h.root)
	is.Equal(code, ExitInvalid)
	is.True(strings.Contains(out, `a.ini:1: [account "a"] burst-tokens: expected a number above 0`))
	is.True(strings.Contains(out, `a.ini:2: [account "a"] tokens-per-second: expected a number above 0, got "0"`))
	code, _, _ = h.publish("anna")
	is.Equal(code, ExitInvalid)
	is.Equal(len(h.log.records), 0)
}

func TestPublishThenDiffShowsNothing(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.writeFile("a.ini", account)
	code, out, _ := h.publish("anna", "--note", "first")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "config@0  anna  config.change  accepted  a.ini none->0  note: first"))
	code, out, _ = h.run("diff", "--root", h.root, h.root)
	is.Equal(code, ExitOK)
	is.Equal(out, "0 changes against revision 0\n")
	h.writeFile("a.ini", strings.Replace(account, "= 10", "= 20", 1))
	_, out, _ = h.run("diff", "--root", h.root, h.root)
	is.Equal(out, "change   a.ini (base 0)\n  - tokens-per-second = 10\n  + tokens-per-second = 20\n1 changes against revision 0\n")
}

// The answer to the append is lost after it took effect. The command must find
// its operation ID in the log and report the change as accepted, without a
// second append.
func TestPublishFindsOutcomeAfterLostAnswer(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.writeFile("a.ini", account)
	h.log.lostAnswerErr = errors.Wrap(platform.ErrOutcomeUnknown, "cut")
	code, out, _ := h.publish("anna")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "accepted"))
	is.Equal(len(h.log.records), 1)
}

// The answer is lost and the append had no effect. The command must report an
// unknown outcome with the operation ID. Repeated with that ID it takes effect
// once.
func TestPublishReportsUnknownOutcome(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.writeFile("a.ini", account)
	h.log.appendErr = errors.Wrap(platform.ErrOutcomeUnknown, "cut")
	h.cancelAtAppend()
	code, _, errOut := h.publish("anna", "--op", "op-1")
	is.Equal(code, ExitUnknown)
	is.True(strings.Contains(errOut, "mastictray outcome op-1"))
	h.log.appendErr, h.ctx = nil, context.Background()
	code, _, _ = h.run("outcome", "op-1")
	is.Equal(code, ExitUnknown)
	for range 2 {
		code, _, _ = h.publish("anna", "--op", "op-1")
		is.Equal(code, ExitOK)
	}
	is.Equal(len(h.log.records), 1)
}

// The log service refuses appends during an outage, which has no effect. The
// command must report the service's error, and not an unknown outcome.
func TestPublishDuringOutageChangesNothing(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.writeFile("a.ini", account)
	h.log.appendErr = platform.ErrOutage
	h.cancelAtAppend()
	code, _, errOut := h.publish("anna")
	is.Equal(code, ExitFailed)
	is.True(strings.Contains(errOut, "outage"))
	is.Equal(len(h.log.records), 0)
}

// Another operator's change is appended between the read of the base revisions
// and the append. The command must name the other operator and exit with 4.
func TestPublishNamesWinnerOfConflict(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.writeFile("a.ini", account)
	h.log.onAppend = func() {
		change := config.Change{Op: "other", Files: []config.FileChange{{Name: "a.ini", Base: -1, Contents: []byte(account)}}}
		record, err := logrec.Encode(config.KindChange, "beat", 0, change)
		is.NoErr(err)
		_, err = h.log.Append(context.Background(), platform.StreamConfig, [][]byte{record})
		is.NoErr(err)
	}
	code, _, errOut := h.publish("anna")
	is.Equal(code, ExitRejected)
	is.True(strings.Contains(errOut, "beat brought revision 0"))
}

// An operator publishes from an old checkout. With --expect the command must not
// overwrite a newer revision that the operator has not seen.
func TestPublishExpectRejectsUnseenRevision(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.writeFile("a.ini", account)
	_, _, _ = h.publish("anna")
	h.writeFile("a.ini", account+"weight = 2\n")
	_, _, _ = h.publish("beat")
	h.writeFile("a.ini", account+"weight = 3\n")
	code, _, errOut := h.publish("anna", "--expect", "0")
	is.Equal(code, ExitRejected)
	is.True(strings.Contains(errOut, "beat brought revision 1"))
}

func TestPruneDeletesFilesNotInDirectories(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.writeFile("a.ini", account)
	h.writeFile("b.ini", strings.Replace(account, `"a"`, `"b"`, 1))
	_, _, _ = h.publish("anna")
	is.NoErr(os.Remove(filepath.Join(h.root, "b.ini")))
	_, out, _ := h.publish("anna")
	is.Equal(out, "keep     b.ini (base 0)\n0 changes against revision 0\n")
	_, out, _ = h.publish("anna", "--prune")
	is.True(strings.Contains(out, "b.ini 0->deleted"))
}

func TestKeysCreateAndWithdraw(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.writeFile("a.ini", account)
	_, _, _ = h.publish("anna")
	code, out, errOut := h.run("keys", "create", "k1", "--account", "a", "--as", "anna", "-o", "json")
	is.Equal(code, ExitOK)
	var made createdKey
	is.NoErr(json.Unmarshal([]byte(out), &made))
	is.Equal(keys.Hash(made.Key), made.SHA256)
	for _, r := range h.log.records {
		is.True(!bytes.Contains(r.Data, []byte(made.Key))) // the log has no plain key
	}
	is.True(!strings.Contains(errOut, made.Key))
	code, out, _ = h.run("keys", "withdraw", "k1", "--as", "beat")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "beat  key.withdraw  accepted  k1 a->withdrawn"))
	code, _, _ = h.run("keys", "withdraw", "k1", "--as", "beat")
	is.Equal(code, ExitRejected)
	code, out, _ = h.run("keys", "hash")
	is.Equal(code, ExitOK)
	is.Equal(out, keys.Hash("secret")+"\n")
}

func TestAuditFilters(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.writeFile("a.ini", account)
	_, _, _ = h.publish("anna")
	_, _, _ = h.run("keys", "create", "k1", "--account", "a", "--as", "beat")
	_, out, _ := h.run("audit")
	is.Equal(strings.Count(out, "\n"), 2)
	_, out, _ = h.run("audit", "--by", "beat")
	is.Equal(out, "1970-01-01T00:00:00Z  config@1  beat  key.create  accepted  k1 none->a\n")
	order := rollout.Issued{ID: rollout.OrderID{Token: 4, Seq: 2}, Target: "t1", Before: "v1", Version: "v2"}
	record, err := logrec.Encode(rollout.KindIssued, "entry-1", 1000, order)
	is.NoErr(err)
	h.log.control = []platform.Record{{Data: record}}
	_, out, _ = h.run("audit", "--of", "t1")
	is.Equal(out, "1970-01-01T00:00:01Z  control@0  entry-1  order.issued  issued  t1 v1->v2\n")
	_, out, _ = h.run("audit", "--of", "a.ini", "--output", "json")
	is.True(strings.Contains(out, `"by": "anna"`))
}

func TestStatusAndExplainCallTheAdminAPI(t *testing.T) {
	is := is.New(t)
	var got string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		got = r.Method + " " + r.URL.Path + " " + r.Header.Get("Authorization") + " " + string(body)
		_, _ = io.WriteString(w, `{"revision":9007199254740993,"targets":[{"load":2,"name":"t1","by":["a","b"]}]}`)
	}))
	defer server.Close()
	h := newHarness(t)
	h.url = server.URL
	code, out, _ := h.run("--token", "tok", "status")
	is.Equal(code, ExitOK)
	is.Equal(got, "GET /admin/v1/state Bearer tok ")
	is.Equal(out, "revision: 9007199254740993\ntargets:\n  - name=t1 by=(a; b) load=2\n")
	h.writeFile("r.json", `{"model":"m"}`)
	code, _, _ = h.run("explain", "--account", "a", filepath.Join(h.root, "r.json"))
	is.Equal(code, ExitOK)
	is.Equal(got, `POST /admin/v1/explain  {"path":"/v1/chat/completions","account":"a","body":{"model":"m"}}`)
}

func TestHelpAndUsage(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	code, out, _ := h.run("--help")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "Exit codes"))
	code, _, _ = h.run("publish")
	is.Equal(code, ExitUsage)
	code, out, _ = h.run("completion")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, `" keys") words="--admin`))
}

// The example configurations must be valid, since new users start with them.
func TestExamplesAreValid(t *testing.T) {
	for _, dir := range []string{"cantonal", "charter", "demo", "demo-charter"} {
		t.Run(dir, func(t *testing.T) {
			is := is.New(t)
			root := filepath.Join("..", "..", "examples", dir)
			code, out, _ := newHarness(t).run("lint", "--root", root, root)
			is.Equal(code, ExitOK)
			is.Equal(out, "4 files, 0 problems\n")
		})
	}
}
