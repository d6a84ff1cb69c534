package targetconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// scriptedTarget is a target that responds to the requests on each connection with
// the given byte strings in order and then closes the connection.
type scriptedTarget struct {
	listener net.Listener
	requests atomic.Int64
	bodies   sync.Map // bodies by request number, from 1
	conns    sync.Map // accepted connections, closed at the end of the test
	wg       sync.WaitGroup
}

func newScriptedTarget(t *testing.T, responses ...string) *scriptedTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedTarget{listener: l}
	s.wg.Add(1)
	go s.run(responses)
	t.Cleanup(func() {
		l.Close()
		s.conns.Range(func(c, _ any) bool { c.(net.Conn).Close(); return true })
		s.wg.Wait()
	})
	return s
}

func (s *scriptedTarget) run(responses []string) {
	defer s.wg.Done()
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.conns.Store(c, true)
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			defer c.Close()
			r := bufio.NewReader(c)
			for _, response := range responses {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				body, _ := io.ReadAll(req.Body)
				s.bodies.Store(s.requests.Add(1), string(body))
				if _, err := io.WriteString(c, response); err != nil {
					return
				}
			}
		}()
	}
}

func okResponse(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string { return strings.TrimSpace(string(rune('0' + n))) }

type fixture struct {
	*is.I
	pool *Pool
	now  atomic.Int64
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{I: is.New(t)}
	f.pool = NewPool(DefaultOptions(), func() time.Duration { return time.Duration(f.now.Load()) })
	return f
}

// exchange sends one request and returns the body of the response with the id.
func (f *fixture) exchange(addr, id, body string) (string, *Conn, error) {
	c, err := f.pool.Get(context.Background(), addr, time.Minute)
	if err != nil {
		return "", nil, err
	}
	resp, err := c.Send(context.Background(), &Request{Method: "POST", URI: "/x?y=1", Host: "h", Header: http.Header{}, Body: []byte(body)},
		func(r *http.Response) bool { return r.Header.Get("Id") == id })
	if err != nil {
		c.Close()
		return "", c, err
	}
	raw, err := io.ReadAll(resp.Body)
	c.FinishExchange()
	return string(raw), c, err
}

func TestConnectionIsReused(t *testing.T) {
	f := newFixture(t)
	s := newScriptedTarget(t, okResponse("1", "one"), okResponse("2", "two"))
	for i, want := range []string{"one", "two"} {
		got, c, err := f.exchange(s.listener.Addr().String(), itoa(i+1), "b")
		f.NoErr(err)
		f.Equal(got, want)
		f.Equal(c.Reused(), i == 1)
		f.pool.Put(c)
	}
	f.Equal(f.pool.DialCount(), int64(1))
}

// Guards against a caller that gets another caller's response. A target responds
// late and a second time to an earlier request; the next request on the connection
// must get its own response.
func TestResponseToEarlierRequestIsSkipped(t *testing.T) {
	f := newFixture(t)
	s := newScriptedTarget(t, okResponse("0", "late")+okResponse("1", "mine"))
	got, _, err := f.exchange(s.listener.Addr().String(), "1", "")
	f.NoErr(err)
	f.Equal(got, "mine")
}

// More bytes follow a complete response. The connection must not be reused, since
// they would be read as the response to the next request.
func TestConnectionWithSurplusBytesIsClosed(t *testing.T) {
	f := newFixture(t)
	s := newScriptedTarget(t, okResponse("1", "mine")+"junk", okResponse("2", "two"))
	_, c, err := f.exchange(s.listener.Addr().String(), "1", "")
	f.NoErr(err)
	f.pool.Put(c)
	_, c, err = f.exchange(s.listener.Addr().String(), "1", "")
	f.NoErr(err)
	f.True(!c.Reused())
}

// The target closes an idle connection. The next request must not be sent on it:
// it would be lost without any information whether it was executed.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	f := newFixture(t)
	s := newScriptedTarget(t, okResponse("1", "one"))
	addr := s.listener.Addr().String()
	_, c, err := f.exchange(addr, "1", "")
	f.NoErr(err)
	f.pool.Put(c)
	for c.isReusable() { // until the target's close is visible
		time.Sleep(time.Millisecond)
	}
	got, c, err := f.exchange(addr, "1", "")
	f.NoErr(err)
	f.Equal(got, "one")
	f.True(!c.Reused())
	f.Equal(s.requests.Load(), int64(2))
}

// The connection breaks before the response is complete. The request must not be
// sent again, since the target could execute it twice.
func TestFailedExchangeIsNotRetried(t *testing.T) {
	f := newFixture(t)
	s := newScriptedTarget(t, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Le")
	_, _, err := f.exchange(s.listener.Addr().String(), "1", "b")
	f.True(err != nil)
	f.True(!errors.Is(err, ErrNotSent))
	f.Equal(s.requests.Load(), int64(1))
}

func TestRefusedDialReturnsErrNotSent(t *testing.T) {
	f := newFixture(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	f.NoErr(err)
	addr := l.Addr().String()
	l.Close()
	_, _, err = f.exchange(addr, "1", "")
	f.True(errors.Is(err, ErrNotSent))
}

// A target responds to a large request before it has read all of it. The response
// is valid, but the connection must not be reused: the target would read the rest
// of the body as the next request.
func TestEarlyResponseMarksConnectionBroken(t *testing.T) {
	f := newFixture(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	f.NoErr(err)
	defer l.Close()
	release := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := bufio.NewReader(c).ReadString('\n'); err != nil {
			return
		}
		_, _ = io.WriteString(c, okResponse("1", "early"))
		<-release
	}()
	got, c, err := f.exchange(l.Addr().String(), "1", strings.Repeat("x", 16<<20))
	f.NoErr(err)
	f.Equal(got, "early")
	f.True(c.broken)
	close(release)
	c.Close()
}

// A target sends a response head that never ends. Reading stops at maxHeadBytes, so
// that it can't exhaust the memory.
func TestResponseHeadSizeIsLimited(t *testing.T) {
	f := newFixture(t)
	s := newScriptedTarget(t, "HTTP/1.1 200 OK\r\nA: "+strings.Repeat("x", maxHeadBytes))
	_, _, err := f.exchange(s.listener.Addr().String(), "1", "")
	f.True(errors.Is(err, ErrMalformed))
}

// A target announces its idle timeout in a Keep-Alive header. A request sent later
// than that could arrive on a connection that the target has closed.
func TestKeepAliveTimeoutOfTargetIsHonored(t *testing.T) {
	f := newFixture(t)
	s := newScriptedTarget(t, "HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=3\r\nContent-Length: 0\r\n\r\n", okResponse("1", "two"))
	addr := s.listener.Addr().String()
	_, c, err := f.exchange(addr, "1", "")
	f.NoErr(err)
	f.pool.Put(c)
	f.now.Store(int64(2 * time.Second))
	_, c, err = f.exchange(addr, "1", "")
	f.NoErr(err)
	f.True(!c.Reused())
}

func TestIdleAndExpiredConnectionsAreClosed(t *testing.T) {
	f := newFixture(t)
	s := newScriptedTarget(t, okResponse("1", "one"), okResponse("1", "two"))
	addr := s.listener.Addr().String()
	for _, closeIdle := range []func(){
		func() { f.pool.CloseIdle(addr) },
		func() { f.now.Store(int64(time.Hour)); f.pool.CloseExpired() },
	} {
		_, c, err := f.exchange(addr, "1", "")
		f.NoErr(err)
		f.pool.Put(c)
		closeIdle()
		f.Equal(len(f.pool.idle[addr]), 0)
	}
}

func TestRequestEncoding(t *testing.T) {
	is := is.New(t)
	raw := string((&Request{Method: "POST", URI: "/a?b", Host: "h", Header: http.Header{"X": {"1"}}, Body: []byte("xy")}).encode())
	is.Equal(raw, "POST /a?b HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nX: 1\r\n\r\nxy")
	raw = string((&Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{}}).encode())
	is.Equal(raw, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
}

// Guards against a response whose head is cut short and that is taken for a whole one with an empty or
// short body.
func TestHeadCutShortIsNoResponse(t *testing.T) {
	const common = "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nX-Attempt-Id: a\r\n"
	for name, head := range map[string]string{
		"with a length":            common + "Content-Length: 5\r\n\r\n",
		"length first":             "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Server-Seal: s\r\n\r\n",
		"chunked":                  common + "Transfer-Encoding: chunked\r\n\r\n",
		"ends with the connection": common + "Connection: close\r\n\r\n",
		"after an interim one":     "HTTP/1.1 102 Processing\r\n\r\n" + common + "Connection: close\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for n := range len(head) {
				for _, reset := range []bool{false, true} {
					l, err := net.Listen("tcp", "127.0.0.1:0")
					if err != nil {
						t.Fatal(err)
					}
					go func() {
						conn, err := l.Accept()
						if err != nil {
							return
						}
						defer conn.Close()
						_, _ = http.ReadRequest(bufio.NewReader(conn))
						_, _ = io.WriteString(conn, head[:n])
						if reset {
							_ = conn.(*net.TCPConn).SetLinger(0)
						}
					}()
					pool := NewPool(DefaultOptions(), func() time.Duration { return 0 })
					conn, err := pool.Get(t.Context(), l.Addr().String(), time.Minute)
					if err != nil {
						t.Fatal(err)
					}
					resp, err := conn.Send(t.Context(), &Request{Method: http.MethodGet, URI: "/", Host: "x"}, func(*http.Response) bool { return true })
					if err == nil {
						_, err = io.ReadAll(resp.Body)
					}
					if err == nil {
						t.Errorf("the first %d of %d bytes are a whole response (reset %v)", n, len(head), reset)
					}
					conn.Close()
					l.Close()
				}
			}
		})
	}
}
