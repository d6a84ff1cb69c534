package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/mastictray/mastictray/internal/prefix"
	"github.com/mastictray/mastictray/internal/propertytest"
	"github.com/mastictray/mastictray/internal/standin/engine"
	"github.com/mastictray/mastictray/internal/standin/service"
)

func TestMain(m *testing.M) { propertytest.Main(m, propertytest.DefaultChecks) }

func testProfile() Profile {
	return Profile{
		Model: "m", Path: "/v1/chat/completions", RequestsPerSecond: 200, PieceBytes: 128,
		OpeningPieces: 1, DossierPieces: 2, Dossiers: 4, Zipf: 1.2, QuestionBytes: 40, MaxTokens: 3,
		Accounts: []Account{{Name: "a", Key: "ka", Weight: 1}, {Name: "b", Key: "kb", Weight: 3}},
	}
}

func TestReadProfile(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "p.ini")
	is.NoErr(os.WriteFile(path, []byte("[load]\nzipf = 1.5\n[account \"x\"]\nkey = k\ntimes = 5\n"), 0o600))
	p, err := ReadProfile(path)
	is.NoErr(err)
	is.Equal(p.Zipf, 1.5)
	is.Equal(p.Accounts, []Account{{Name: "x", Key: "k", Weight: 5}})
	is.Equal(p.MaxTokens, DefaultProfile().MaxTokens)
	selected, err := p.SelectAccounts([]string{"x"})
	is.NoErr(err)
	is.Equal(selected, p.Accounts)
	_, err = p.SelectAccounts([]string{"y"})
	is.True(errors.Is(err, ErrInvalidProfile))
	for _, bad := range []string{
		"[load]\n", // no account
		"[load]\nzipf = much\n[account \"x\"]\nkey = k\n", // not a number
		"[load]\nzip = 2\n[account \"x\"]\nkey = k\n",     // unknown key
		"[account \"x\"]\ntimes = 1\n",                    // no key
	} {
		is.NoErr(os.WriteFile(path, []byte(bad), 0o600))
		_, err = ReadProfile(path)
		is.True(errors.Is(err, ErrInvalidProfile))
	}
}

func TestGeneratorIsDeterministicAndSharesPrefixes(t *testing.T) {
	is := is.New(t)
	p := testProfile()
	first, second := NewGenerator(p, 7), NewGenerator(p, 7)
	distinct := map[prefix.Hash]bool{}
	questions := map[string]bool{}
	sent := map[string]int{}
	for range 200 {
		a := first.Next()
		is.Equal(a, second.Next())
		sent[a.Account.Name]++
		res := newResult(a, p.PieceBytes)
		is.True(len(res.Pieces) >= 2) // the opening and a piece of dossier
		for _, h := range res.Pieces {
			distinct[h] = true
		}
		questions[string(a.Request.PromptText())] = true
	}
	is.True(len(distinct) <= 2*(1+4*2)) // two accounts, each with one opening and four dossiers of at most two pieces
	is.Equal(len(questions), 200)       // no two prompts are equal
	is.True(sent["b"] > 2*sent["a"])    // b sends three times as much
}

// chunkEvent returns the event with the i-th token of a request, as the engine
// sends it.
func chunkEvent(req engine.Request, id string, i int) event {
	c := engine.Completion{ID: id, Choices: []engine.Choice{{Delta: &engine.Delta{Content: engine.NewTextGenerator(req.PromptText()).TokenText(i)}}}}
	data, _ := json.Marshal(c)
	return event{id: i, data: data}
}

// A stream that loses, repeats or swaps chunks, contains a chunk of another request
// or ends early without an error is a violation. An error event isn't one, since the
// caller can tell that the answer failed.
func TestStreamCheckerDetectsViolations(t *testing.T) {
	req := engine.Request{Messages: []engine.Message{{Role: "user", Content: "mine"}}, MaxTokens: 2}
	otherReq := engine.Request{Messages: []engine.Message{{Role: "user", Content: "other"}}, MaxTokens: 2}
	c0, c1 := chunkEvent(req, "x", 0), chunkEvent(req, "x", 1)
	usage := event{id: 2, data: []byte(`{"id":"x","choices":[{"delta":{"content":""}}],"usage":{"prompt_tokens":1}}`)}
	done := event{id: 3, data: []byte(endMarker)}
	withID := func(id int, e event) event { e.id = id; return e }
	for name, tc := range map[string]struct {
		events      []event
		wantErr     error
		wantMessage string
	}{
		"complete":             {[]event{c0, c1, usage, done}, nil, ""},
		"complete without ids": {[]event{withID(noEventID, c0), withID(noEventID, c1), withID(noEventID, usage), withID(noEventID, done)}, nil, ""},
		"lost":                 {[]event{withID(0, c1), withID(1, usage), withID(2, done)}, ErrViolation, "chunk 0 is"},
		"gap in the ids":       {[]event{c0, withID(2, c1)}, ErrViolation, "event id 2, want 1"},
		"duplicated":           {[]event{c0, withID(1, c0)}, ErrViolation, "chunk 1 is"},
		"of another prompt":    {[]event{c0, chunkEvent(otherReq, "x", 1)}, ErrViolation, "chunk 1 is"},
		"of another stream":    {[]event{c0, chunkEvent(req, "y", 1)}, ErrViolation, "chunk of y in the stream of x"},
		"too short":            {[]event{c0, withID(1, usage), withID(2, done)}, ErrViolation, "1 chunks, want 2"},
		"no usage":             {[]event{c0, c1, withID(2, done)}, ErrViolation, "no usage"},
		"after the end":        {[]event{c0, c1, usage, done, withID(4, c0)}, ErrViolation, "after the end marker"},
		"silent truncation":    {[]event{c0, c1, usage}, ErrViolation, "without end marker"},
		"not a chunk":          {[]event{{id: 0, data: []byte("nonsense")}}, ErrViolation, "is not a completion chunk"},
		"error event":          {[]event{c0, {id: 1, data: []byte(`{"error":{"code":"stream_broken"}}`)}}, ErrStreamError, "stream_broken"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			checker := newStreamChecker(req)
			var err error
			for _, e := range tc.events {
				if err = checker.checkEvent(e); err != nil {
					break
				}
			}
			if err == nil {
				err = checker.checkEOF()
			}
			is.True(errors.Is(err, tc.wantErr))
			is.True(tc.wantErr == nil || strings.Contains(err.Error(), tc.wantMessage))
		})
	}
}

func TestLeakyBucketMatchesEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate, burst := 10.0, 50.0
		bucket := leakyBucket{rate: rate}
		var at []time.Duration
		var tokens []int
		now := time.Duration(0)
		for range rapid.IntRange(1, 20).Draw(t, "n") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "gap")) * time.Millisecond
			at, tokens = append(at, now), append(tokens, rapid.IntRange(1, 40).Draw(t, "tokens"))
			level := bucket.add(now, float64(tokens[len(tokens)-1]))
			sum, worst := 0.0, 0.0
			for i := len(at) - 1; i >= 0; i-- {
				sum += float64(tokens[i])
				worst = max(worst, sum-rate*(now-at[i]).Seconds())
			}
			if diff := level - worst; diff > 1e-6 || diff < -1e-6 {
				t.Fatalf("level %f, worst window %f, burst %f", level, worst, burst)
			}
		}
	})
}

func TestSummarizeComputesMetrics(t *testing.T) {
	is := is.New(t)
	p := testProfile()
	p.PieceBytes = 40 // 10 tokens
	p.Accounts = []Account{{Name: "a", TokensPerSecond: 10, BurstTokens: 20}, {Name: "b", TokensPerSecond: 10, BurstTokens: 20}}
	usage := func(cached int) engine.Usage {
		return engine.Usage{PromptTokens: 20, TotalTokens: 20, PromptTokensDetails: engine.PromptDetails{CachedTokens: cached}}
	}
	ok := func(account string, at time.Duration, cached int, ttft time.Duration, pieces ...prefix.Hash) Result {
		return Result{Account: account, At: at, Outcome: OutcomeOK, Tokens: 20, Usage: usage(cached), Pieces: pieces, TimeToFirstToken: ttft}
	}
	refused := func(account string, at time.Duration) Result {
		return Result{Account: account, At: at, Outcome: OutcomeRateRefused, Tokens: 20}
	}
	rep := Summarize(p, 1, []Result{
		ok("a", 0, 0, time.Millisecond, 1, 2),
		ok("b", 0, 0, 9*time.Millisecond, 3, 4),
		refused("b", time.Second), // over: 40 tokens in 1 s, 30 allowed
		ok("a", 2*time.Second, 10, time.Millisecond, 1, 2),
		refused("a", 4*time.Second), // within: the bucket has drained
	})
	is.Equal(rep.HitRate, 10.0/60)
	is.Equal(rep.PossibleHitRate, 20.0/60)
	is.Equal(rep.WastedRecomputation, 20.0/60-10.0/60)
	is.Equal(rep.WrongfulRefusals, 1)
	is.Equal(rep.Accounts[0].RefusalsWithRoom, 1)
	is.Equal(rep.Accounts[1].RefusalsWithRoom, 0)
	is.Equal(rep.Accounts[1].WithinRate, false)
	is.Equal(rep.WorstServedAccount, "a") // b is slower, but exceeded its rate
	is.NoErr(rep.CheckCriteria(PassCriteria{MinAnswered: 0.5}))
	is.True(errors.Is(rep.CheckCriteria(PassCriteria{MinAnswered: 0.9}), ErrTooFewAnswers))
}

// If the fleet admits more for an account than its rate and burst, the run fails
// even though every request is answered. The slack tolerates only the difference
// between arrival and admission.
func TestAccountOverItsRateFailsTheRun(t *testing.T) {
	is := is.New(t)
	p := testProfile()
	p.Accounts = []Account{{Name: "a", TokensPerSecond: 10, BurstTokens: 20}}
	var results []Result
	for i := range 3 {
		results = append(results, Result{Account: "a", At: time.Duration(i) * time.Second, Outcome: OutcomeOK, Tokens: 20})
	}
	rep := Summarize(p, 1, results) // 60 tokens in 2 s, 40 allowed
	is.Equal(rep.Accounts[0].OverBurstTokens, 20.0)
	is.True(errors.Is(rep.CheckCriteria(PassCriteria{RateSlack: time.Second}), ErrOverRate))
	is.NoErr(rep.CheckCriteria(PassCriteria{RateSlack: 2 * time.Second}))
}

// Two attempts of one booking go to two entries. The service's list of runs reveals
// what the answers alone don't show: a second run, a lost booking, a false "not
// run" or an answer to another booking.
func TestCheckBookingsDetectsViolations(t *testing.T) {
	b := newBooking(1, 0, Account{})
	answer := func(run int) Attempt {
		s := service.New("s")
		w := httptest.NewRecorder()
		r := httptest.NewRequestWithContext(context.Background(), "POST", "/b", strings.NewReader(string(b.Body)))
		r.Header.Set("Idempotency-Key", b.Key)
		s.Handler().ServeHTTP(w, r)
		a := Attempt{Outcome: OutcomeOK}
		_ = json.Unmarshal(w.Body.Bytes(), &a.Answer)
		a.Answer.Run = run
		return a
	}
	otherAnswer := answer(1)
	otherAnswer.Answer.IdempotencyKey = "booking-1-9"
	notRun, unknownOutcome := Attempt{Outcome: OutcomeRefused}, Attempt{Outcome: OutcomeFailed}
	for name, tc := range map[string]struct {
		attempts   []Attempt
		runs       int
		violations int
	}{
		"once, same answer":       {[]Attempt{answer(1), answer(1)}, 1, 0},
		"once, one refused":       {[]Attempt{answer(1), notRun}, 1, 0},
		"outcome unknown":         {[]Attempt{unknownOutcome, notRun}, 1, 0},
		"not run":                 {[]Attempt{notRun, notRun}, 0, 0},
		"ran twice":               {[]Attempt{answer(1), answer(2)}, 2, 2},
		"not run, but ran":        {[]Attempt{notRun, notRun}, 1, 1},
		"answered, but never ran": {[]Attempt{answer(1), notRun}, 0, 1},
		"answer to another one":   {[]Attempt{otherAnswer, notRun}, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := b
			b.Attempts = tc.attempts
			runs := make([]service.Run, tc.runs)
			for i := range runs {
				runs[i].IdempotencyKey = b.Key
			}
			rep := CheckBookings([]Booking{b}, runs)
			is.Equal(len(rep.Violations), tc.violations)
			is.Equal(errors.Is(rep.CheckCriteria(PassCriteria{}), ErrViolation), tc.violations > 0)
		})
	}
}

func TestRunAgainstTheStandInEngine(t *testing.T) {
	is := is.New(t)
	p := testProfile()
	e := engine.New(engine.Config{Model: "m", Version: "1", PieceBytes: p.PieceBytes, CachePieces: 100, PrefillTPS: 1e9, DecodeTPS: 1e9})
	defer e.Close()
	srv := httptest.NewServer(e.Handler())
	defer srv.Close()
	r := NewRunner(p, []string{srv.URL})
	rep := Summarize(p, 1, r.Run(t.Context(), 1, RunLimits{Duration: time.Minute, MaxRequests: 50, Timeout: time.Minute}))
	is.Equal(fmt.Sprint(rep.Outcomes), "map[ok:50]")
	is.True(rep.HitRate > 0.5)
	is.Equal(rep.HitRate, rep.PossibleHitRate) // one engine, nothing evicted
	is.Equal(rep.WastedRecomputation, 0.0)
	var sb strings.Builder
	is.NoErr(rep.WriteTable(&sb))
	is.True(strings.Contains(sb.String(), "worst-served account"))
}

// One of two entries is down. A load balancer in front of real entries would skip
// it, so the load tool does the same; otherwise a run would count failures that
// callers behind a balancer don't see.
func TestConnectFailureMovesOnToTheNextEntry(t *testing.T) {
	is := is.New(t)
	closed := httptest.NewServer(nil)
	closed.Close()
	srv := httptest.NewServer(service.New("s").Handler())
	defer srv.Close()
	r := NewRunner(testProfile(), []string{closed.URL, srv.URL})
	bookings := r.RunBookings(t.Context(), 1, BookingPlan{Path: "/bookings", Accounts: testProfile().Accounts, PerSecond: 1e6, Count: 4, Timeout: time.Minute})
	for _, b := range bookings {
		is.True(!b.hasOutcome(OutcomeFailed))
	}
	is.Equal(r.ConnectFailures(), int64(4)) // one of the two attempts of each
}

// An entry aborts the connection after it has received a request. Sending the
// request to another entry could run it twice, so the load tool reports a failure.
func TestRequestIsNotRetriedAfterConnectionLoss(t *testing.T) {
	is := is.New(t)
	aborting := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer aborting.Close()
	s := service.New("s")
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	r := NewRunner(testProfile(), []string{aborting.URL, srv.URL})
	_, err := r.post(t.Context(), 0, "/bookings", nil, nil)
	is.True(err != nil && !isDialError(err))
	is.Equal(r.ConnectFailures(), int64(0))
}

func TestBookAgainstTheStandInService(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(service.New("s").Handler())
	defer srv.Close()
	r := NewRunner(testProfile(), []string{srv.URL})
	bookings := r.RunBookings(t.Context(), 1, BookingPlan{Path: "/bookings", Accounts: testProfile().Accounts, PerSecond: 1e6, Count: 5, Timeout: time.Minute})
	runs, err := r.FetchRuns(t.Context(), []string{srv.URL})
	is.NoErr(err)
	is.Equal(len(runs), 10) // the service itself doesn't deduplicate
	is.True(errors.Is(CheckBookings(bookings, runs).CheckCriteria(PassCriteria{}), ErrViolation))
}

func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: 0\ndata: {}\n\n"))
	f.Add([]byte("data: a\nid: x\n"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		r := newEventReader(strings.NewReader(string(data)))
		for {
			if _, err := r.next(); err != nil {
				return
			}
		}
	})
}
