package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/config"
	"github.com/mastictray/mastictray/internal/keys"
	"github.com/mastictray/mastictray/internal/logrec"
	"github.com/mastictray/mastictray/internal/platform"
	"github.com/mastictray/mastictray/internal/standin"
	"github.com/mastictray/mastictray/internal/standin/engine"
	"github.com/mastictray/mastictray/internal/standin/logsvc"
	"github.com/mastictray/mastictray/internal/standin/service"
)

// requestTarget is a stand-in target that counts the callers' requests that reach it.
type requestTarget struct {
	handler  atomic.Pointer[http.Handler]
	faults   atomic.Pointer[standin.Faults]
	address  string
	requests atomic.Int64
	// resumes counts those of the requests that resume a stream.
	resumes atomic.Int64
}

// setProcess makes the target answer as another process.
func (rt *requestTarget) setProcess(h http.Handler, f *standin.Faults) {
	rt.faults.Store(f)
	rt.handler.Store(&h)
}

func newRequestTarget(t *testing.T, h http.Handler, f *standin.Faults) *requestTarget {
	t.Helper()
	rt := &requestTarget{}
	rt.setProcess(h, f)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && r.URL.Path != "/orders" || strings.HasPrefix(r.URL.Path, "/v1/streams/") {
			rt.requests.Add(1)
		}
		if r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, "/v1/streams/") {
			rt.resumes.Add(1)
		}
		(*rt.handler.Load()).ServeHTTP(w, r)
	}))
	t.Cleanup(srv.Close)
	rt.address = strings.TrimPrefix(srv.URL, "http://")
	return rt
}

// newEngineProcess returns the handler and the faults of a new engine.
func newEngineProcess(t *testing.T) (http.Handler, *standin.Faults) {
	t.Helper()
	e := engine.New(engine.Config{Model: "m", Version: "1", PieceBytes: 1024, CachePieces: 64, PrefillTPS: 1e9, DecodeTPS: 1e9, Exit: func(int) {}})
	t.Cleanup(e.Close)
	return e.Handler(), e.Faults()
}

// testSystem is an entry in this process with a pool of engines and one of plain services.
type testSystem struct {
	t                 *testing.T
	logURL, caller    string
	entry             *Entry
	engines, services []*requestTarget
}

// Paths of the routes of a testSystem by kind of pool.
var testPaths = map[string]string{"model server": chatPath, "plain service": "/book"}

// startSystem starts a testSystem and waits until both pools serve.
func startSystem(t *testing.T, targetsPerPool int) *testSystem {
	t.Helper()
	s := newSystem(t, targetsPerPool)
	s.entry = newTestEntry(t, s.logURL)
	s.caller = s.entry.settings.CallerListen
	t.Cleanup(runEntry(t, s.entry))
	for kind := range testPaths {
		waitFor(t, kind, func() bool { return s.send(kind, "hello").status == http.StatusOK })
	}
	return s
}

// newSystem returns a testSystem whose entry is not started.
func newSystem(t *testing.T, targetsPerPool int) *testSystem {
	t.Helper()
	s := &testSystem{t: t}
	files := testConfigOf("[model \"m\"]\nversion = 1\n[pool \"p\"]\nkind = engine\nmodel = m\n" +
		"[pool \"s\"]\nkind = service\nmax-concurrent = 64\n" +
		"[route \"chat\"]\npath = /v1/chat/completions\npool = p\nidempotent = yes\n" +
		"[route \"book\"]\npath = /book\npool = s\nidempotent = no\n")
	for i := range targetsPerPool {
		h, f := newEngineProcess(t)
		s.engines = append(s.engines, newRequestTarget(t, h, f))
		plain := service.New(fmt.Sprint("s", i))
		s.services = append(s.services, newRequestTarget(t, plain.Handler(), plain.Faults()))
		files += fmt.Sprintf("[target \"e%d\"]\naddress = %s\ndomain = d\npool = p\n", i, s.engines[i].address)
		files += fmt.Sprintf("[target \"s%d\"]\naddress = %s\ndomain = d\npool = s\n", i, s.services[i].address)
	}
	s.logURL = startTestLog(t, files)
	return s
}

// testConfigOf returns a configuration with an account, its key and more sections.
func testConfigOf(sections string) string {
	return fmt.Sprintf("[account \"a\"]\ntokens-per-second = 1000000\nburst-tokens = 1000000\n"+
		"[key \"k\"]\naccount = a\nsha256 = %s\n", keys.Hash(testKey)) + sections
}

// startTestLog starts a log with a configuration and returns its URL.
func startTestLog(t *testing.T, files string) string {
	t.Helper()
	is := is.New(t)
	log := httptest.NewServer(logsvc.New(logsvc.Config{}).Handler())
	t.Cleanup(log.Close)
	body := config.Change{Op: "1", Rules: config.RulesVersion, Files: []config.FileChange{{Name: "all.ini", Base: config.NoRevision, Contents: []byte(files)}}}
	record, err := logrec.Encode(config.KindChange, "tester", 0, body)
	is.NoErr(err)
	_, err = platform.NewHTTPLog(log.URL, nil).Append(t.Context(), platform.StreamConfig, [][]byte{record})
	is.NoErr(err)
	return log.URL
}

func (s *testSystem) targets(kind string) []*requestTarget {
	if kind == "model server" {
		return s.engines
	}
	return s.services
}

// testResponse is what a caller gets.
type testResponse struct {
	status     int
	header     http.Header
	code       string
	retryAfter time.Duration
}

// send sends one request of a caller. It gives status 0 if there is no entry yet.
func (s *testSystem) send(kind, prompt string) testResponse {
	body := fmt.Sprintf(`{"model":"m","max_tokens":4,"messages":[{"role":"user","content":%q}]}`, prompt)
	req, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, "http://"+s.caller+testPaths[kind], strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return testResponse{}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	var refused struct {
		Error json.RawMessage `json:"error"`
	}
	var fields struct {
		Code         string `json:"code"`
		RetryAfterMS int64  `json:"retry_after_ms"`
	}
	if json.Unmarshal(raw, &refused) == nil && bytes.HasPrefix(refused.Error, []byte("{")) {
		_ = json.Unmarshal(refused.Error, &fields)
	}
	return testResponse{status: resp.StatusCode, header: resp.Header, code: fields.Code, retryAfter: time.Duration(fields.RetryAfterMS) * time.Millisecond}
}

// sendUntilReached sends requests until one has reached the target.
func (s *testSystem) sendUntilReached(kind string, target *requestTarget) {
	s.t.Helper()
	before := target.requests.Load()
	for i := 0; target.requests.Load() == before; i++ {
		if i == 1000 {
			s.t.Fatalf("no request reached the target")
		}
		s.send(kind, fmt.Sprint("reach ", i))
	}
}

// longPause is longer than any test takes.
const longPause = 5 * time.Minute

func (rt *requestTarget) shed(t *testing.T, f standin.Fault) {
	t.Helper()
	f.Kind = "shed"
	if !rt.faults.Load().Set(f) {
		t.Fatal("the stand-in does not know the fault")
	}
}

// Guards against a target that gets requests during the pause that it asked for with 503 and
// Retry-After.
func TestSheddingTargetGetsNothingDuringItsPause(t *testing.T) {
	for kind := range testPaths {
		t.Run(kind, func(t *testing.T) {
			is := is.New(t)
			s := startSystem(t, 2)
			pausing := s.targets(kind)[0]
			pausing.shed(t, standin.Fault{DelayMillis: int(longPause.Milliseconds()), Count: 1})
			s.sendUntilReached(kind, pausing)
			before := pausing.requests.Load()
			for i := range 100 {
				is.Equal(s.send(kind, fmt.Sprint("later ", i)).status, http.StatusOK) // by the other target
			}
			is.Equal(pausing.requests.Load()-before, int64(0))
		})
	}
}

// Guards against requests that wait, or that are told to come back in a second, while every
// target has asked for a longer pause.
func TestRequestsAreRefusedAtOnceWhileAllTargetsPause(t *testing.T) {
	for kind := range testPaths {
		t.Run(kind, func(t *testing.T) {
			is := is.New(t)
			s := startSystem(t, 2)
			targets := s.targets(kind)
			targets[0].shed(t, standin.Fault{DelayMillis: int(longPause.Milliseconds())})
			targets[1].shed(t, standin.Fault{DelayMillis: int(2 * longPause.Milliseconds())})
			waitFor(t, "pause of both targets", func() bool {
				r := s.send(kind, "hello")
				return r.status == http.StatusServiceUnavailable && r.code == "no_target"
			})
			before := targets[0].requests.Load() + targets[1].requests.Load()
			for range 20 {
				r := s.send(kind, "hello")
				is.Equal(r.status, http.StatusServiceUnavailable)
				is.True(r.retryAfter > longPause/2) // not the usual second
				is.True(r.retryAfter <= longPause)  // the shortest pause
			}
			is.Equal(targets[0].requests.Load()+targets[1].requests.Load(), before)
		})
	}
}

// Guards against a pause that outlives the process that asked for it.
func TestRestartedTargetIsUsedDuringThePauseOfItsPredecessor(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 1)
	s.engines[0].shed(t, standin.Fault{DelayMillis: int(longPause.Milliseconds())})
	is.Equal(s.send("model server", "hello").status, http.StatusServiceUnavailable)
	before := s.engines[0].requests.Load()
	is.Equal(s.send("model server", "hello").status, http.StatusServiceUnavailable)
	is.Equal(s.engines[0].requests.Load(), before)
	s.engines[0].setProcess(newEngineProcess(t))
	waitFor(t, "use of the new incarnation", func() bool { return s.send("model server", "hello").status == http.StatusOK })
}

// Guards against a value that is no number of seconds and keeps a target out of use.
func TestUnreadablePauseIsIgnored(t *testing.T) {
	for kind := range testPaths {
		t.Run(kind, func(t *testing.T) {
			is := is.New(t)
			s := startSystem(t, 1)
			s.targets(kind)[0].shed(t, standin.Fault{Marker: "soon", Count: 1})
			is.Equal(s.send(kind, "hello").status, http.StatusServiceUnavailable)
			is.Equal(s.send(kind, "hello").status, http.StatusOK)
		})
	}
}

// cutStream breaks the first stream of an engine after its second event, once release is
// closed.
func cutStream(next http.Handler, release <-chan struct{}) http.Handler {
	var cut atomic.Bool
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && r.Header.Get(headerRequestID) != "" && !cut.Swap(true) {
			w = &cuttingWriter{ResponseWriter: w, release: release}
		}
		next.ServeHTTP(w, r)
	})
}

// holdStream holds the first stream of an engine after its second event until release is
// closed.
func holdStream(next http.Handler, release <-chan struct{}) http.Handler {
	var held atomic.Bool
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && r.Header.Get(headerRequestID) != "" && !held.Swap(true) {
			w = &cuttingWriter{ResponseWriter: w, release: release, holdOnly: true}
		}
		next.ServeHTTP(w, r)
	})
}

type cuttingWriter struct {
	http.ResponseWriter
	release <-chan struct{}
	events  int
	// holdOnly lets the stream go on after release.
	holdOnly bool
}

func (w *cuttingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *cuttingWriter) Write(b []byte) (int, error) {
	if w.events++; w.events > 2 {
		_ = http.NewResponseController(w.ResponseWriter).Flush()
		<-w.release
		if !w.holdOnly {
			panic(http.ErrAbortHandler)
		}
	}
	return w.ResponseWriter.Write(b)
}

// Guards against a broken stream that is resumed at a target which has asked for a pause in
// the meantime.
func TestStreamIsNotResumedDuringPause(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 2)
	reached := int64(0)
	broken, complete := s.startStreamThatBreaks(func(broken *requestTarget) {
		broken.shed(t, standin.Fault{DelayMillis: int(longPause.Milliseconds()), Count: 1})
		s.sendUntilReached("model server", broken)
		reached = broken.requests.Load()
	})
	is.True(complete)
	is.Equal(broken.requests.Load(), reached)
}

// startStreamThatBreaks starts a stream, calls during while it runs, breaks it, and returns
// the target that began it and whether the caller got the whole response.
func (s *testSystem) startStreamThatBreaks(during func(broken *requestTarget)) (broken *requestTarget, complete bool) {
	s.t.Helper()
	release := make(chan struct{})
	breakStream := sync.OnceFunc(func() { close(release) })
	defer breakStream()
	for _, target := range s.engines {
		target.setProcess(cutStream(*target.handler.Load(), release), target.faults.Load())
	}
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	before := map[*requestTarget]int64{}
	for _, target := range s.engines {
		before[target] = target.requests.Load()
	}
	result := make(chan bool, 1)
	go func() { result <- sendRequest(client, s.caller, "streamed") }()
	waitFor(s.t, "stream", func() bool {
		for _, target := range s.engines {
			if target.requests.Load() > before[target] {
				broken = target
			}
		}
		return broken != nil
	})
	during(broken)
	breakStream()
	return broken, <-result
}

// rejectedTargets returns the names of the targets that the entry sends no new requests.
func (s *testSystem) rejectedTargets() []string {
	resp, err := http.Get("http://" + s.entry.settings.AdminListen + "/admin/v1/state")
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	var state stateView
	if err := json.NewDecoder(resp.Body).Decode(&state); err != nil {
		s.t.Fatal(err)
	}
	var names []string
	for _, target := range state.Targets {
		if len(target.RejectedBy) > 0 {
			names = append(names, target.Name)
		}
	}
	return names
}
