package callerlimit

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/httpdrain"
)

const serverBodyLimit = 1 << 20

// startServer starts a server that reads bodies within the given time. It returns its address and its Limiter.
func startServer(t *testing.T, bodyTimeout time.Duration, maxConnections int) (string, *Limiter) {
	t.Helper()
	start := time.Now()
	l := New(Options{Now: func() time.Duration { return time.Since(start) }, Memory: NewMemory(256 * megabyte), MaxConnections: maxConnections})
	s := httpdrain.New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		status := http.StatusOK
		charge := NewCharge(l.Memory, FromContext(r.Context()))
		defer charge.Release()
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
		if _, err := charge.ReadBody(r, serverBodyLimit, 1); err != nil {
			status = http.StatusRequestTimeout
		}
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(status)
	})})
	l.Attach(s)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(func() { s.Close() })
	return listener.Addr().String(), l
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
