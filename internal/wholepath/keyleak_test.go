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

// listener is a target that keeps what comes to it, whole.
type listener struct {
	mu       sync.Mutex
	requests []string
}

// ServeHTTP implements http.Handler. It answers as an idle engine, and as a
// service that took the request.
func (l *listener) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	raw, _ := httputil.DumpRequest(r, true)
	l.mu.Lock()
	l.requests = append(l.requests, string(raw))
	l.mu.Unlock()
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Engine-Incarnation", "i")
	w.Header().Set("X-Weights-Version", "1")
	fmt.Fprint(w, `{"incarnation":"i","model":"m","version":"1","usage":{"prompt_tokens":1,"completion_tokens":1}}`)
}

// got returns the requests to a path.
func (l *listener) got(path string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []string
	for _, r := range l.requests {
		if strings.HasPrefix(r, "POST "+path) {
			list = append(list, r)
		}
	}
	return list
}

// replace puts a listener in the place of a target.
func (f *fleet) replace(target string) *listener {
	f.t.Helper()
	f.procs[target].kill()
	l := &listener{}
	socket, err := net.Listen("tcp", f.addr(target))
	f.must(err)
	server := httptest.NewUnstartedServer(l)
	server.Listener.Close()
	server.Listener = socket
	server.Start()
	f.t.Cleanup(server.Close)
	return l
}

// A caller sends its key as it must, and once more in headers of its own. What
// reaches an engine and a service has the account and the attempt, and the key
// nowhere: a target that logs its requests would give it away.
func TestNoTargetSeesTheKey(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, shape{entries: 3, engines: 1, services: 1})
	engine, service := f.replace("engine0"), f.replace("service0")
	key := f.keys["office"]
	more := []string{"X-Api-Key", key, "Cookie", "key=" + key, "Proxy-Authorization", "Bearer " + key, "Idempotency-Key", "b1"}
	f.wait("a booking reaches the service", func() bool {
		f.send("entry0", "office", "/bookings", `{}`, more...)
		return len(service.got("/bookings")) > 0
	})
	f.wait("entry0 knows the engine", func() bool { return f.incarnation("entry0", "engine0") == "i" })
	f.wait("a prompt reaches the engine", func() bool {
		f.send("entry0", "office", "/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":"hi"}]}`, more...)
		return len(engine.got("/v1/chat/completions")) > 0
	})
	for _, r := range append(service.got("/bookings"), engine.got("/v1/chat/completions")...) {
		is.True(strings.Contains(r, "X-Client-Account: office"))
		is.True(!strings.Contains(r, key)) // the target sees the key
	}
}

// incarnation is that of a target, as an instance knows it.
func (f *fleet) incarnation(entry, target string) string {
	s, _ := f.state(entry)
	for _, t := range s.Targets {
		if t.Name == target {
			return t.Incarnation
		}
	}
	return ""
}
