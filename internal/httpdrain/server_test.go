package httpdrain

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// waitTimeout limits the wait for an expected state.
const waitTimeout = 20 * time.Second

// testServer is a Server on loopback whose handler waits for blocked.
type testServer struct {
	*Server
	t       *testing.T
	is      *is.I
	address string
	// started receives a value for each request that the handler begins.
	started chan struct{}
	blocked chan struct{}
	served  chan error
}

// startServer starts a Server. wrap may replace the listener, configure change the HTTP server.
func startServer(t *testing.T, wrap func(*net.TCPListener) net.Listener, configure ...func(*testServer)) *testServer {
	t.Helper()
	s := &testServer{t: t, is: is.New(t), started: make(chan struct{}, 16), blocked: make(chan struct{}), served: make(chan error, 1)}
	s.Server = New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		s.started <- struct{}{}
		<-s.blocked
		_, _ = io.WriteString(w, "done")
	})})
	for _, c := range configure {
		c(s)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	s.is.NoErr(err)
	s.address = l.Addr().String()
	go func() { s.served <- s.Serve(wrap(l.(*net.TCPListener))) }()
	t.Cleanup(func() { s.Close() })
	return s
}

func plainListener(l *net.TCPListener) net.Listener { return l }

// drain starts to drain the server and returns the channel for its result.
func (s *testServer) drain() <-chan error {
	result := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		result <- s.Drain(ctx)
	}()
	s.eventually(func() bool { return s.isDraining() })
	return result
}

func (s *testServer) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

func (s *testServer) eventually(condition func() bool) {
	s.t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatal("expected state not reached")
		}
	}
}

func (s *testServer) dial() (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", s.address)
	s.is.NoErr(err)
	s.t.Cleanup(func() { c.Close() })
	return c, bufio.NewReader(c)
}

const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

func (s *testServer) expectResponse(r *bufio.Reader) {
	s.t.Helper()
	resp, err := http.ReadResponse(r, nil)
	s.is.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	s.is.NoErr(err)
	s.is.Equal(string(body), "done")
}

func (s *testServer) write(c net.Conn, text string) {
	s.t.Helper()
	_, err := io.WriteString(c, text)
	s.is.NoErr(err)
}

// Guards against a drain that closes a kept connection on which the next request has arrived
// while its previous response was being finished.
func TestRequestBehindALongResponseIsAnswered(t *testing.T) {
	s := startServer(t, plainListener)
	c, r := s.dial()
	s.write(c, request)
	<-s.started
	result := s.drain()
	s.write(c, request)
	close(s.blocked)
	s.expectResponse(r)
	s.expectResponse(r)
	s.is.NoErr(<-result)
	s.is.Equal(<-s.served, http.ErrServerClosed)
}

// Guards against a drain that waits for callers that send nothing.
func TestIdleConnectionsAreClosed(t *testing.T) {
	s := startServer(t, plainListener)
	close(s.blocked)
	kept, r := s.dial()
	s.write(kept, request)
	s.expectResponse(r)
	unused, unusedReader := s.dial()
	s.eventually(func() bool { return s.OpenConns() == 2 })
	s.is.NoErr(<-s.drain())
	for _, reader := range []*bufio.Reader{r, unusedReader} {
		_, err := reader.ReadByte()
		s.is.Equal(err, io.EOF)
	}
	unused.Close()
}

// Guards against an idle timeout that closes a connection on which a request arrives.
func TestIdleTimeoutSparesConnectionsWithARequest(t *testing.T) {
	s := startServer(t, plainListener)
	c, r := s.dial()
	s.write(c, request[:5])
	s.eventually(func() bool { return s.OpenConns() == 1 && s.partlyReceived() == 1 })
	s.CloseIdle(0)
	s.write(c, request[5:])
	close(s.blocked)
	s.expectResponse(r)
	s.eventually(func() bool { s.CloseIdle(0); return s.OpenConns() == 0 })
	_, err := r.ReadByte()
	s.is.Equal(err, io.EOF)
}

func (s *testServer) partlyReceived() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		c.mu.Lock()
		if !c.receivedAt.IsZero() {
			n++
		}
		c.mu.Unlock()
	}
	return n
}

// gatedListener accepts nothing until the gate opens, like a process that gets no processor
// time.
type gatedListener struct {
	*net.TCPListener
	gate chan struct{}
}

func (l gatedListener) Accept() (net.Conn, error) {
	<-l.gate
	return l.TCPListener.Accept()
}

// Guards against a listener that closes while connections wait to be accepted: they are reset
// although their requests have been sent.
func TestConnectionThatWaitsToBeAcceptedIsServed(t *testing.T) {
	gate := make(chan struct{})
	s := startServer(t, func(l *net.TCPListener) net.Listener { return gatedListener{l, gate} })
	close(s.blocked)
	s.eventually(func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.listener != nil })
	c, r := s.dial()
	s.write(c, request)
	result := s.drain()
	close(gate)
	s.expectResponse(r)
	c.Close()
	s.is.NoErr(<-result)
}

// Guards against requests that are lost because HTTP/2 connections are closed like those of
// HTTP/1.
func TestHTTP2RequestsAreAnswered(t *testing.T) {
	is := is.New(t)
	blocked, started := make(chan struct{}), make(chan struct{})
	backend := httptest.NewUnstartedServer(nil)
	backend.EnableHTTP2 = true
	backend.StartTLS() // only for its certificate and its client
	defer backend.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := New(&http.Server{TLSConfig: backend.TLS, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-blocked
		_, _ = io.WriteString(w, r.Proto)
	})})
	go func() { _ = s.Serve(l) }()
	body := make(chan string, 1)
	go func() {
		resp, err := backend.Client().Get("https://" + l.Addr().String())
		if err != nil {
			body <- err.Error()
			return
		}
		defer resp.Body.Close()
		raw, _ := io.ReadAll(resp.Body)
		body <- string(raw)
	}()
	<-started
	result := make(chan error, 1)
	go func() { result <- s.Drain(context.Background()) }()
	close(blocked)
	is.Equal(<-body, "HTTP/2.0")
	is.NoErr(<-result)
}

// Guards against a caller that holds up a drain, or a connection for good, with the first byte of
// a request.
func TestStalledRequestIsClosed(t *testing.T) {
	s := startServer(t, plainListener, func(s *testServer) { s.ReadHeaderTimeout = 50 * time.Millisecond })
	close(s.blocked)
	c, r := s.dial()
	s.write(c, request)
	s.expectResponse(r)
	s.write(c, request[:1])
	s.eventually(func() bool { return s.partlyReceived() == 1 })
	s.eventually(func() bool { s.CloseIdle(0); return s.OpenConns() == 0 })
	s.is.NoErr(<-s.drain())
}

// Guards against a request that is taken for abandoned by its caller because the drain ends its
// connection while it runs: its bytes were read together with the request before it.
func TestDrainLeavesPipelinedRequestsRunning(t *testing.T) {
	first, second := make(chan struct{}), make(chan error, 1)
	s := startServer(t, plainListener, func(s *testServer) {
		s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/first" {
				s.started <- struct{}{}
				<-first
			} else {
				w.Header().Set("Connection", "close")
				s.endConns(func(*conn) bool { return true })
				select {
				case <-r.Context().Done():
				case <-time.After(100 * time.Millisecond): // far longer than it takes to cancel the context
				}
				second <- r.Context().Err()
			}
			_, _ = io.WriteString(w, "done")
		})
	})
	c, r := s.dial()
	s.write(c, "GET /first HTTP/1.1\r\nHost: a\r\n\r\nGET /second HTTP/1.1\r\nHost: a\r\n\r\n")
	<-s.started
	result := s.drain()
	close(first)
	s.expectResponse(r)
	s.expectResponse(r)
	s.is.NoErr(<-second)
	s.is.NoErr(<-result)
}

// Guards against a process that reads late and closes a connection by its idle timeout although a
// request has arrived in time.
func TestExpiredDeadlineReturnsWhatHasArrived(t *testing.T) {
	is := is.New(t)
	c, caller := connPair(t)
	c.setIdle()
	_, err := io.WriteString(caller, "a")
	is.NoErr(err)
	is.NoErr(c.SetReadDeadline(time.Now().Add(-time.Second)))
	buf := make([]byte, 1)
	for n := 0; n == 0; { // until the byte is there
		n, err = c.Read(buf)
		is.True(err == nil || errors.Is(err, os.ErrDeadlineExceeded))
	}
	is.Equal(string(buf), "a")
	_, err = c.Read(buf) // within a request the deadline holds
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
}

// Guards against callers in a closed loop that lose their next request: it arrives right after
// a response whose head said nothing of the drain.
func TestKeptConnectionStaysOpenAfterAResponse(t *testing.T) {
	s := startServer(t, plainListener)
	c, r := s.dial()
	s.write(c, request)
	<-s.started
	result := s.drain()
	close(s.blocked)
	s.expectResponse(r)
	s.write(c, request)
	s.expectResponse(r)
	c.Close()
	s.is.NoErr(<-result)
}

// connPair returns a connection as a Server accepts it, and its other end.
func connPair(t *testing.T) (*conn, net.Conn) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	accepted, err := l.Accept()
	is.NoErr(err)
	c, err := newConn(accepted.(*net.TCPConn), func(*conn) {})
	is.NoErr(err)
	t.Cleanup(func() { caller.Close(); c.Close() })
	return c, caller
}

// Guards against an ended connection whose last bytes are not read because its deadline has
// passed.
func TestEndedConnectionReturnsWhatHasArrived(t *testing.T) {
	is := is.New(t)
	c, caller := connPair(t)
	c.setIdle()
	_, err := io.WriteString(caller, "ab")
	is.NoErr(err)
	buf := make([]byte, 1)
	for n := 0; n == 0; { // until the first byte is there
		c.end(time.Minute)
		n, err = c.Read(buf)
		is.True(err == nil || errors.Is(err, os.ErrDeadlineExceeded))
	}
	_, err = c.Read(buf) // the rest of the request is read as usual
	is.NoErr(err)
	is.Equal(string(buf), "b")
}

// Guards against a blocked read that goes on after its connection has been ended.
func TestEndWakesABlockedRead(t *testing.T) {
	is := is.New(t)
	c, _ := connPair(t)
	c.setIdle()
	result := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 1))
		result <- err
	}()
	c.end(time.Minute)
	is.True(errors.Is(<-result, os.ErrDeadlineExceeded))
}
