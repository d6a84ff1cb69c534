package wholepath

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// recordingTarget is a target that records every request with headers and body.
type recordingTarget struct {
	mu       sync.Mutex
	requests []string
}

// ServeHTTP implements http.Handler. The response is valid for an idle engine and for
// a service that accepted the request.
func (t *recordingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	raw, _ := httputil.DumpRequest(r, true)
	t.mu.Lock()
	t.requests = append(t.requests, string(raw))
	t.mu.Unlock()
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Engine-Incarnation", "i")
	w.Header().Set("X-Weights-Version", "1")
	fmt.Fprint(w, `{"incarnation":"i","model":"m","version":"1","usage":{"prompt_tokens":1,"completion_tokens":1}}`)
}

// requestsTo returns the POST requests whose path starts with the given one.
func (t *recordingTarget) requestsTo(path string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []string
	for _, r := range t.requests {
		if strings.HasPrefix(r, "POST "+path) {
			list = append(list, r)
		}
	}
	return list
}

// replaceWithRecorder kills a target and serves its address with a recordingTarget.
func (f *fleet) replaceWithRecorder(target string) *recordingTarget {
	f.t.Helper()
	f.procs[target].kill()
	recorder := &recordingTarget{}
	listener, err := net.Listen("tcp", f.addressOf(target))
	f.must(err)
	server := httptest.NewUnstartedServer(recorder)
	server.Listener.Close()
	server.Listener = listener
	server.Start()
	f.t.Cleanup(server.Close)
	return recorder
}

// A caller sends its key in the Authorization header and again in other headers.
// Requests to an engine and a service carry the account but never the key, since a
// target that logs its requests would leak it.
func TestNoTargetSeesTheKey(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetSpec{entries: 3, engines: 1, services: 1})
	engine, service := f.replaceWithRecorder("engine0"), f.replaceWithRecorder("service0")
	key := f.keys["office"]
	extraHeaders := []string{"X-Api-Key", key, "Cookie", "key=" + key, "Proxy-Authorization", "Bearer " + key, "Idempotency-Key", "b1"}
	f.waitFor("a booking reaches the service", func() bool {
		f.send("entry0", "office", "/bookings", `{}`, extraHeaders...)
		return len(service.requestsTo("/bookings")) > 0
	})
	f.waitFor("entry0 knows the engine", func() bool { return f.knownIncarnation("entry0", "engine0") == "i" })
	f.waitFor("a prompt reaches the engine", func() bool {
		f.send("entry0", "office", "/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":"hi"}]}`, extraHeaders...)
		return len(engine.requestsTo("/v1/chat/completions")) > 0
	})
	for _, r := range append(service.requestsTo("/bookings"), engine.requestsTo("/v1/chat/completions")...) {
		is.True(strings.Contains(r, "X-Client-Account: office"))
		is.True(!strings.Contains(r, key)) // the target sees the key
	}
}

// knownIncarnation returns the incarnation of a target that an instance has recorded.
func (f *fleet) knownIncarnation(entry, target string) string {
	s, _ := f.readAdminState(entry)
	for _, targetState := range s.Targets {
		if targetState.Name == target {
			return targetState.Incarnation
		}
	}
	return ""
}
