package callerlimit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/httpdrain"
	"github.com/mastictray/mastictray/internal/socketbuffer"
)

const (
	serverBodyLimit = 1 << 20
	// waitTimeout limits the wait for a response that is certain to come.
	waitTimeout = 20 * time.Second
)

// startServer starts a server that reads bodies, refuses those at /refuse without reading them, answers
// at /unprepared like a handler that expects no bodies, and gives them the given time. It returns its address and its Limiter.
func startServer(t *testing.T, bodyTimeout time.Duration, maxConnections int) (string, *Limiter) {
	t.Helper()
	start := time.Now()
	l := New(Options{Now: func() time.Duration { return time.Since(start) }, Memory: NewMemory(256 * megabyte), MaxConnections: maxConnections})
	s := httpdrain.New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		status := http.StatusOK
		charge := NewCharge(l.Memory, FromContext(r.Context()))
		defer charge.Release()
		switch r.URL.Path {
		case "/unprepared":
			w.Header().Set("Content-Length", "0")
			w.WriteHeader(status)
			return
		case "/refuse":
			status = http.StatusUnauthorized
		default:
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
			switch _, err := charge.ReadBody(r, serverBodyLimit, 1); {
			case errors.Is(err, ErrBodyTooLarge):
				status = http.StatusRequestEntityTooLarge
			case err != nil:
				status = http.StatusRequestTimeout
			}
			_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
		}
		PrepareRefusal(w, r)
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(status)
	})})
	l.Attach(s)
	config := net.ListenConfig{Control: socketbuffer.Callers.Control}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(func() { s.Close() })
	return listener.Addr().String(), l
}

// Guards against a refusal that its caller never sees, whether the body stalls, is too large or is not
// read at all: net/http waits for the rest of a body before it responds, and a connection that is
// closed with unread bytes is reset.
func TestRefusalReachesItsCaller(t *testing.T) {
	for name, c := range map[string]struct {
		path            string
		announced, sent int
		status          int
		kept            bool
	}{
		"stalled small body":        {"/", 2000, 1000, http.StatusRequestTimeout, false},
		"stalled large body":        {"/", 500_000, 1000, http.StatusRequestTimeout, false},
		"announced above the limit": {"/", serverBodyLimit + 1, 0, http.StatusRequestEntityTooLarge, false},
		"sent above the limit":      {"/", 2 * serverBodyLimit, 2 * serverBodyLimit, http.StatusRequestEntityTooLarge, false},
		"large body not read":       {"/refuse", serverBodyLimit, serverBodyLimit, http.StatusUnauthorized, false},
		"small body not read":       {"/refuse", 100, 100, http.StatusUnauthorized, true},
		"no body":                   {"/refuse", 0, 0, http.StatusUnauthorized, true},
		"served":                    {"/", serverBodyLimit, serverBodyLimit, http.StatusOK, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, _ := startServer(t, 200*time.Millisecond, 0)
			conn, err := net.Dial("tcp", address)
			is.NoErr(err)
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(waitTimeout))
			// The caller sends all that it has before it reads.
			_, err = io.WriteString(conn, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", c.path, c.announced, strings.Repeat("x", c.sent)))
			is.NoErr(err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, c.status)
			is.Equal(resp.Close, !c.kept)
		})
	}
}

// Guards against a refusal that is lost to a caller which stops in the middle of its body and then
// only reads, and against a goroutine that outlasts such a connection, for which nothing is charged.
func TestRefusalReachesHalfClosedCaller(t *testing.T) {
	sized, chunked := fmt.Sprintf("Content-Length: %d\r\n\r\nx", serverBodyLimit), "Transfer-Encoding: chunked\r\n\r\n2\r\nx"
	for name, c := range map[string]struct{ path, framing, status string }{
		"sized, refused":      {"/refuse", sized, "401"},
		"chunked, refused":    {"/refuse", chunked, "401"},
		"sized, unprepared":   {"/unprepared", sized, "200"},
		"chunked, unprepared": {"/unprepared", chunked, "200"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, l := startServer(t, waitTimeout, 0)
			conn, err := net.Dial("tcp", address)
			is.NoErr(err)
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(waitTimeout))
			_, err = io.WriteString(conn, "POST "+c.path+" HTTP/1.1\r\nHost: a\r\n"+c.framing)
			is.NoErr(err)
			is.NoErr(conn.(*net.TCPConn).CloseWrite())
			response, err := io.ReadAll(conn)
			is.NoErr(err)
			is.True(strings.HasPrefix(string(response), "HTTP/1.1 "+c.status))
			is.Equal(l.Connections(), 0) // net/http would keep it for a while after it has closed its direction
		})
	}
}

// Guards against refused callers that go on sending and take all processors.
func TestRefusedBodiesAreReadSlowly(t *testing.T) {
	is := is.New(t)
	address, l := startServer(t, waitTimeout, 0)
	const allowed = 64 << 10
	l.discarded.SetLimit(0)
	l.discarded.SetBurst(allowed)
	for range 3 {
		conn, err := net.Dial("tcp", address)
		is.NoErr(err)
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(waitTimeout))
		_, err = io.WriteString(conn, fmt.Sprintf("POST /refuse HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", maxRefusedBytes))
		is.NoErr(err)
		_, err = conn.Write(make([]byte, maxRefusedBytes))
		is.True(err != nil) // the connection ends with most of the body unread
	}
}

// Guards against connections that a crowd holds with a part of a request each: a new caller is
// served.
func TestNewCallerIsServedBesideStalledOnes(t *testing.T) {
	is := is.New(t)
	const connections = 20
	address, l := startServer(t, time.Hour, connections)
	for i := range 3 * connections {
		conn, err := net.Dial("tcp", address)
		is.NoErr(err)
		defer conn.Close()
		_, err = io.WriteString(conn, []string{"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nx", "GET / HTTP/1.1\r\nA: b", ""}[i%3])
		is.NoErr(err)
	}
	resp, err := http.Post("http://"+address+"/", "text/plain", strings.NewReader("body"))
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusOK)
	is.True(l.Connections() <= connections)
}
