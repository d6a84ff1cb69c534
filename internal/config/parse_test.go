package config

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

const goodHash = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

const goodFile = `# Reports of the vaud office.
[account "vaud-reports"]
tokens-per-second = 4000
burst-tokens = 40000 # two dossiers
key-cutoff = 5m

[key "k1"]
account = vaud-reports
sha256 = ` + goodHash + `

[model "report.7b"]
version = v3

[pool "reports"]
kind = engine
model = report.7b
serving-floor = 1
max-loads = 2

[target "t01"]
address = 127.0.0.1:19101
domain = vaud-nord
pool = reports
checks-fencing = yes

[target "t02"]
address = 127.0.0.1:19102
domain = vaud-sud
pool = reports

[route "chat"]
path = /v1/chat/completions
pool = reports
idempotent = yes
deadline = 20s
`

func TestBuildReadsEachKindOfSection(t *testing.T) {
	is := is.New(t)
	intent, err := Build(map[string][]byte{"reports.ini": []byte(goodFile)})
	is.NoErr(err)
	is.Equal(intent.Accounts["vaud-reports"], Account{
		Name: "vaud-reports", TokensPerSecond: 4000, BurstTokens: 40000, Weight: 1, KeyCutoff: 5 * time.Minute,
	})
	is.Equal(intent.Keys[goodHash], Key{ID: "k1", Account: "vaud-reports", SHA256: goodHash})
	is.Equal(intent.Models["report.7b"].PieceBytes, DefaultPieceBytes)
	is.Equal(intent.Pools["reports"].ServingFloor, 1)
	is.Equal(intent.Targets["t01"], Target{
		Name: "t01", Address: "127.0.0.1:19101", Domain: "vaud-nord", Pool: "reports", ChecksFencing: true,
	})
	is.Equal(intent.Routes["chat"].Deadline, 20*time.Second)
	is.Equal(intent.Routes["chat"].Priority, DefaultPriority)
}

func TestBuildReportsFileLineKeyAndExpected(t *testing.T) {
	cases := map[string]struct{ old, new, want string }{
		"unknown key":        {"key-cutoff = 5m", "key-cutof = 5m", `reports.ini:5: [account "vaud-reports"] key-cutof: expected a key that`},
		"rate of zero":       {"= 4000\n", "= 0\n", `reports.ini:3: [account "vaud-reports"] tokens-per-second: expected a number above 0, got "0"`},
		"rate not a number":  {"= 4000\n", "= NaN\n", `tokens-per-second: expected a number above 0, got "NaN"`},
		"missing key":        {"burst-tokens = 40000 # two dossiers\n", "", `reports.ini:2: [account "vaud-reports"] burst-tokens: expected`},
		"key's account":      {"account = vaud-reports", "account = vaud", `reports.ini:8: [key "k1"] account: expected a known account, got "vaud"`},
		"short hash":         {goodHash, "abc", `reports.ini:9: [key "k1"] sha256: expected 64 hex digits`},
		"pool's model":       {"model = report.7b", "model = other", `reports.ini:16: [pool "reports"] model: expected a known model`},
		"floor over half":    {"serving-floor = 1", "serving-floor = 2", `reports.ini:17: [pool "reports"] serving-floor: expected at most half of the pool's 2 targets, got "2"`},
		"target's pool":      {"domain = vaud-sud\npool = reports", "domain = vaud-sud\npool = r", `reports.ini:29: [target "t02"] pool: expected a known pool, got "r"`},
		"address by name":    {"127.0.0.1:19101", "engine:80", `reports.ini:21: [target "t01"] address: expected ip:port`},
		"address taken":      {"127.0.0.1:19102", "127.0.0.1:19101", `reports.ini:27: [target "t02"] address: expected a value of its own`},
		"reserved path":      {"/v1/chat/completions", "/admin/v1", `path: expected a path that the entry`},
		"route's pool":       {"/completions\npool = reports", "/completions\npool = no", `reports.ini:33: [route "chat"] pool: expected a known pool`},
		"second section":     {`[target "t02"]`, `[target "t01"]`, `reports.ini:26: [target "t01"] expected each section once`},
		"second key":         {"version = v3", "version = v3\nversion = v4", `reports.ini:13: [model "report.7b"] version: expected each key once`},
		"unknown section":    {`[route "chat"]`, `[rout "chat"]`, `reports.ini:31: [rout "chat"] expected a section of`},
		"bad header":         {`[route "chat"]`, `[route chat]`, `reports.ini:31: expected a section such as`},
		"no key and value":   {"version = v3", "version v3", `reports.ini:12: [model "report.7b"] expected key = value`},
		"value of two lines": {"version = v3", "version = `v3\n`", `reports.ini:12: [model "report.7b"] version: expected a value of one line`},
		"negative cutoff":    {"key-cutoff = 5m", "key-cutoff = -1s", `key-cutoff: expected a duration`},
		"flag":               {"idempotent = yes", "idempotent = maybe", `idempotent: expected yes or no, got "maybe"`},
		"kind":               {"kind = engine", "kind = motor", `kind: expected one of ["engine" "service"], got "motor"`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(goodFile, c.old, c.new, 1)
			is.True(text != goodFile)
			_, err := Build(map[string][]byte{"reports.ini": []byte(text)})
			is.True(err != nil)
			if !strings.Contains(err.Error(), c.want) {
				t.Fatalf("got\n%v\nwant\n%s", err, c.want)
			}
		})
	}
}

func TestBuildReportsAllProblemsAtOnce(t *testing.T) {
	is := is.New(t)
	text := strings.NewReplacer("= 4000\n", "= x\n", "kind = engine", "kind = e", "= 20s", "= 0s").Replace(goodFile)
	_, err := Build(map[string][]byte{"a.ini": []byte(text), "b.ini": []byte("oops")})
	var ps Problems
	is.True(errors.As(err, &ps))
	files := map[string]int{}
	for _, p := range ps {
		files[p.File]++
		is.True(p.Line > 0)
	}
	is.Equal(files["b.ini"], 1)
	is.True(files["a.ini"] >= 3)
}

func TestBuildReportsSectionInTwoFiles(t *testing.T) {
	is := is.New(t)
	_, err := Build(map[string][]byte{"a.ini": []byte(goodFile), "b.ini": []byte(goodFile)})
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), `b.ini:2: [account "vaud-reports"] expected each section once, but a.ini has it too`))
}

func FuzzParseFile(f *testing.F) {
	f.Add([]byte(goodFile))
	f.Add([]byte("[account \"a\"]\ntokens-per-second = 1e309\n"))
	f.Add([]byte("[account \"a.b\"]\n-= %(x)s\n\"\"\"= `\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		files := map[string][]byte{"f.ini": data}
		a, errA := Build(files)
		b, errB := Build(files)
		if (errA == nil) != (errB == nil) || (errA != nil && errA.Error() != errB.Error()) {
			t.Fatalf("building the same files twice gave different errors: %v / %v", errA, errB)
		}
		if errA == nil && len(a.Accounts) != len(b.Accounts) {
			t.Fatal("building the same files twice gave different intents")
		}
	})
}
