package httpdrain

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"
)

// partBytes is the size of a part of a response: more than net/http reads to find the content type.
const partBytes = 1 << 10

// slowReader is the body of a response of which a part is ready now and then.
type slowReader struct {
	parts    int
	interval time.Duration
}

func (r *slowReader) Read(b []byte) (int, error) {
	if r.parts == 0 {
		return 0, io.EOF
	}
	time.Sleep(r.interval)
	r.parts--
	return partBytes, nil
}

// getSized requests a response from a server whose handler announces its length. The handler's error
// comes on s.served.
func getSized(t *testing.T, body slowReader, configure func(*testServer)) (*testServer, *http.Response) {
	t.Helper()
	s := startServer(t, plainListener, configure, func(s *testServer) {
		s.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(body.parts*partBytes))
			_, err := io.Copy(w, &body)
			s.served <- err
		})
	})
	resp, err := http.Get("http://" + s.address)
	s.is.NoErr(err)
	t.Cleanup(func() { resp.Body.Close() })
	return s, resp
}

// Guards against a response of known length that is cut although its caller reads it: net/http copies
// its body past the connection's Write, whose last deadline stays.
func TestLongResponseIsNotCut(t *testing.T) {
	const sendTimeout, interval = time.Second, 50 * time.Millisecond
	s, resp := getSized(t, slowReader{int(2 * sendTimeout / interval), interval}, func(s *testServer) { s.SendTimeout = sendTimeout })
	_, err := io.ReadAll(resp.Body)
	s.is.NoErr(err)
	s.is.NoErr(<-s.served)
}

// sendingGuard counts the writes that have begun.
type sendingGuard struct{ writes atomic.Int64 }

func (*sendingGuard) Received([]byte) error       { return nil }
func (*sendingGuard) StateChanged(http.ConnState) {}
func (*sendingGuard) Closed()                     {}
func (g *sendingGuard) Sending(active bool) {
	if active {
		g.writes.Add(1)
	}
}

// Guards against callers that take a large response slowly and count as such that take nothing of it.
func TestGuardLearnsOfProgress(t *testing.T) {
	const size = 1 << 20
	g := &sendingGuard{}
	s := startServer(t, plainListener, func(s *testServer) {
		s.Accepted = func(Socket) (Guard, bool) { return g, true }
		s.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, size)) })
	})
	resp, err := http.Get("http://" + s.address)
	s.is.NoErr(err)
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	s.is.NoErr(err)
	s.is.True(g.writes.Load() >= size/maxWrite)
}

// Guards against callers that take nothing of a response of known length and are never evicted.
func TestGuardLearnsOfSizedResponses(t *testing.T) {
	const parts = 20
	g := &sendingGuard{}
	s, _ := getSized(t, slowReader{parts, 0}, func(s *testServer) {
		s.Accepted = func(Socket) (Guard, bool) { return g, true }
	})
	s.is.NoErr(<-s.served)
	s.is.True(g.writes.Load() >= parts/2)
}
