package gateway

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/callerconn"
	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/membudget"
	"github.com/mastictray/mastictray/internal/routing"
)

const (
	slowCallerEventBytes = 1 << 10
	// shortStream fits into what is kept for a caller, longStream doesn't.
	shortStream, longStream = 30, 4000
	// slowCallerSocketBytes keeps what the sockets hold small beside the streams.
	slowCallerSocketBytes = 4 << 10
)

// streamDialect is a protocol in which every request is a prompt.
type streamDialect struct{}

func (streamDialect) Decode(r *http.Request) (*Request, error) {
	return &Request{
		ID: "r", Method: r.Method, URI: r.RequestURI, Path: r.URL.Path, Host: "h", Header: http.Header{},
		Prompt: &Prompt{Model: "m", Tokens: 100, MaxOutputTokens: 10},
	}, nil
}

func (streamDialect) Encode(r *Request, _ TargetParams) http.Header { return r.Header }
func (streamDialect) MatchesRequest(*Request, *http.Response) bool  { return true }
func (streamDialect) Inspect(*http.Response) ResponseInfo           { return ResponseInfo{Signed: true} }

func (streamDialect) RelayHeader(resp *http.Response) http.Header {
	return http.Header{"Content-Type": resp.Header["Content-Type"]}
}

func (streamDialect) Refuse(w http.ResponseWriter, _ *Request, r *Refusal) { w.WriteHeader(r.Status) }
func (streamDialect) ReadyPath() string                                    { return "/ready" }

// slowCallerEnv is a gateway with a target that streams and a caller that has not read anything.
type slowCallerEnv struct {
	g *Gateway
	// targetDone gets whether the target has sent the whole stream.
	targetDone chan bool
	caller     net.Conn
}

func startSlowCallerEnv(t *testing.T, events int) *slowCallerEnv {
	t.Helper()
	env := &slowCallerEnv{targetDone: make(chan bool, 10)}
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		event := []byte("data: " + strings.Repeat("x", slowCallerEventBytes) + "\n\n")
		for range events {
			if _, err := w.Write(event); err != nil {
				env.targetDone <- false
				return
			}
		}
		env.targetDone <- true
	}))
	t.Cleanup(target.Close)
	store := &memoryStore{newest: 1, targets: []directory.Registration{{
		ID: "a", Service: "engines", Address: target.Listener.Addr().String(), State: directory.Ready, Slots: 8, StartedMs: 1, Seq: 1, Versions: map[string]int64{"m": 1},
	}}}
	env.g = New(Settings{
		Instance: "one", Domain: "d1", WeightsBound: time.Hour, ConfigBound: time.Hour, RetryReserve: 10,
		Features: Features{BoundedMemory: true}, MemoryBytes: testInstanceMemory,
	}, streamDialect{}, store, unresponsiveTargets{})
	update := store.operatorUpdate()
	update.Config.Routes = []routing.Route{{
		Name: "r", Host: "h", Prefix: "/", Kind: routing.Stream, Timeout: time.Minute, MaxAttempts: 2, Anonymous: true,
		Split: []routing.WeightedService{{Service: "engines", Weight: 1}},
	}}
	env.g.applyOperatorUpdate(env.g.clock.Now(), update)
	registrations, next, _ := store.AllRegistrations(context.Background()) // never fails
	env.g.applyRegistrations(env.g.clock.Now(), 0, next, registrations, true)
	learnFleet(env.g)

	server := env.g.callers.callers
	options := env.g.slowCallerOptions()
	server.WrapConn = func(c net.Conn) net.Conn {
		_ = c.(interface{ SetWriteBuffer(int) error }).SetWriteBuffer(slowCallerSocketBytes)
		return callerconn.New(c, options)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	if env.caller, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { env.caller.Close() })
	_ = env.caller.(*net.TCPConn).SetReadBuffer(slowCallerSocketBytes)
	if _, err := io.WriteString(env.caller, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	return env
}

// readEvents reads the response and returns the number of its events and whether it is complete.
func (env *slowCallerEnv) readEvents(t *testing.T) (events int, complete bool) {
	t.Helper()
	_ = env.caller.(*net.TCPConn).SetReadBuffer(1 << 20)
	all, err := io.ReadAll(env.caller)
	if err != nil {
		t.Fatal(err)
	}
	return bytes.Count(all, []byte("data: ")), bytes.HasSuffix(all, []byte("\r\n0\r\n\r\n"))
}

// waitFor waits until a condition holds that is certain to come.
func waitFor(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

func (env *slowCallerEnv) inFlight() int {
	service := env.g.engineServices["engines"]
	service.mu.Lock()
	defer service.mu.Unlock()
	return service.pool.Target(0).InFlight
}

// stalledAt reports whether the target would count as stalled at the given time.
func (env *slowCallerEnv) stalledAt(now time.Duration) bool {
	service := env.g.engineServices["engines"]
	service.mu.Lock()
	defer service.mu.Unlock()
	return service.stallDetector("a").Stalled(now)
}

func (env *slowCallerEnv) requestMemory() int64 {
	return env.g.memory.Use().Used[membudget.Requests]
}

// Guards against a target whose slot and memory are held until a slow caller has read the
// response, and against a response that is cut off because of that.
func TestTargetIsFreeBeforeSlowCallerHasRead(t *testing.T) {
	is := is.New(t)
	env := startSlowCallerEnv(t, shortStream)
	is.True(<-env.targetDone)
	waitFor(func() bool { return env.inFlight() == 0 })
	events, complete := env.readEvents(t)
	is.Equal(events, shortStream)
	is.True(complete)
}

// Guards against a stream that is cut off, or a target that counts as stalled, because the caller
// pauses for longer than is kept for it.
func TestStreamOfPausingCallerIsComplete(t *testing.T) {
	is := is.New(t)
	env := startSlowCallerEnv(t, longStream)
	// Until the sockets are full, the stream goes on now and then.
	waitFor(func() bool {
		return env.g.slowCallers.Paused.Load() == 1 && !env.stalledAt(env.g.clock.Now()+5*time.Second)
	})
	is.Equal(env.inFlight(), 1)
	events, complete := env.readEvents(t)
	is.Equal(events, longStream)
	is.True(complete)
	is.True(<-env.targetDone)
}

// Guards against a slow caller that leaves and counts as a failure of its target or a crash by
// its request, and whose request runs on at the target.
func TestSlowCallerThatLeavesIsNoFailure(t *testing.T) {
	is := is.New(t)
	env := startSlowCallerEnv(t, longStream)
	waitFor(func() bool { return env.g.slowCallers.Paused.Load() == 1 })
	env.caller.Close()
	is.True(!<-env.targetDone)
	waitFor(func() bool { return env.requestMemory() == 0 }) // the request has ended
	is.Equal(env.inFlight(), 0)
	is.Equal(env.g.slowCallers.Bytes.Load(), int64(0))
	env.g.mu.Lock()
	defer env.g.mu.Unlock()
	is.Equal(len(env.g.crashes.byRequest), 0)
	is.Equal(env.g.engineServices["engines"].openBreakers(), map[string]bool{})
}
