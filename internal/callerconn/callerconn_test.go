package callerconn

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/httpdrain"
	"github.com/mastictray/mastictray/internal/sendbuffer"
)

const (
	// socketBufferBytes keeps what the sockets of a test hold small beside the responses.
	socketBufferBytes = 4 << 10
	eventBytes        = 1 << 10
	// keptEvents fit into the buffer but not into the sockets, pausingEvents into neither.
	keptEvents    = sendbuffer.MaxBytes / eventBytes
	pausingEvents = 500
)

// slowCallerTest is a server that sends events and a caller that has not read any.
type slowCallerTest struct {
	server  *httpdrain.Server
	options Options
	stats   Stats
	caller  net.Conn
	// handled gets the error of the first write that failed when the handler returns.
	handled chan error
	// paused gets the calls of the OnPause hook.
	paused chan bool
	// contextEnded is closed when the context of the request ends.
	contextEnded chan struct{}
	sent         bytes.Buffer
}

func startSlowCaller(t *testing.T, events int, stallTimeout time.Duration) *slowCallerTest {
	t.Helper()
	s := &slowCallerTest{handled: make(chan error, 1), paused: make(chan bool, 100_000), contextEnded: make(chan struct{})}
	start := time.Now()
	s.options = Options{Now: func() time.Duration { return time.Since(start) }, StallTimeout: stallTimeout, Stats: &s.stats}
	s.server = httpdrain.New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		OnPause(r.Context(), func(paused bool) { s.paused <- paused })
		context.AfterFunc(r.Context(), func() { close(s.contextEnded) })
		s.handled <- s.sendEvents(w, events)
	}), ConnContext: WithConn})
	s.server.WrapConn = func(c net.Conn) net.Conn {
		_ = c.(interface{ SetWriteBuffer(int) error }).SetWriteBuffer(socketBufferBytes)
		return New(c, &s.options)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go s.server.Serve(l)
	t.Cleanup(func() { s.server.Close() })
	s.caller, err = net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.caller.Close() })
	_ = s.caller.(*net.TCPConn).SetReadBuffer(socketBufferBytes)
	if _, err := io.WriteString(s.caller, "GET / HTTP/1.0\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	return s
}

func (s *slowCallerTest) sendEvents(w http.ResponseWriter, events int) error {
	for i := range events {
		event := bytes.Repeat([]byte{byte(i)}, eventBytes)
		s.sent.Write(event)
		if _, err := w.Write(event); err != nil {
			return err
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return err
		}
	}
	return nil
}

// body reads the rest of the response and returns its body.
func (s *slowCallerTest) body(t *testing.T) []byte {
	t.Helper()
	_ = s.caller.(*net.TCPConn).SetReadBuffer(1 << 20)
	all, err := io.ReadAll(s.caller)
	if err != nil {
		t.Fatal(err)
	}
	_, body, _ := bytes.Cut(all, []byte("\r\n\r\n"))
	return body
}

// Guards against a target whose slot is held until a slow caller has read the response: the
// handler ends before the caller has read anything, and the caller gets everything.
func TestResponseIsKeptForSlowCaller(t *testing.T) {
	is := is.New(t)
	s := startSlowCaller(t, keptEvents, 0)
	is.NoErr(<-s.handled)
	is.True(s.stats.Bytes.Load() > 0)
	is.True(bytes.Equal(s.body(t), s.sent.Bytes()))
	is.Equal(s.stats.Bytes.Load(), int64(0))
	is.Equal(len(s.paused), 0)
}

// Guards against responses that fill the memory: beyond the bound the writer waits, says so, and
// goes on when the caller reads.
func TestWriterPausesAtBound(t *testing.T) {
	is := is.New(t)
	s := startSlowCaller(t, pausingEvents, 0)
	is.True(<-s.paused)
	is.Equal(len(s.handled), 0)
	is.True(s.stats.Bytes.Load() <= sendbuffer.MaxBytes)
	for s.stats.Paused.Load() != 1 {
		time.Sleep(time.Millisecond)
	}
	body := s.body(t)
	is.NoErr(<-s.handled)
	is.True(bytes.Equal(body, s.sent.Bytes()))
	is.True(!<-s.paused)
	is.Equal(s.stats.Paused.Load(), int64(0))
	is.Equal(s.stats.GivenUp.Load(), int64(0))
}

// Guards against callers that never read and hold memory and a target until their deadlines: the
// write fails and the context of the request ends, so that the target's work is cancelled.
func TestCallerThatTakesNothingIsGivenUp(t *testing.T) {
	is := is.New(t)
	s := startSlowCaller(t, pausingEvents, 200*time.Millisecond)
	is.True(<-s.handled != nil)
	<-s.contextEnded
	is.Equal(s.stats.GivenUp.Load(), int64(1))
	is.Equal(s.stats.Bytes.Load(), int64(0))
	is.Equal(s.stats.Slow.Load(), int64(0))
}

// Guards against a drain that cuts off what is kept for a slow caller: it waits for it until the
// end of the grace period.
func TestDrainWaitsForSlowCaller(t *testing.T) {
	is := is.New(t)
	s := startSlowCaller(t, keptEvents, 0)
	is.NoErr(<-s.handled)
	drained := make(chan error, 1)
	go func() { drained <- s.server.Drain(t.Context()) }()
	<-s.contextEnded
	is.Equal(len(drained), 0)
	is.True(bytes.Equal(s.body(t), s.sent.Bytes()))
	is.NoErr(<-drained)
}

// Guards against a drain that never ends because a caller doesn't read.
func TestDrainEndsWithGrace(t *testing.T) {
	is := is.New(t)
	s := startSlowCaller(t, keptEvents, 0)
	is.NoErr(<-s.handled)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	is.True(s.server.Drain(ctx) != nil)
}

// Guards against callers that are given up because this process was suspended: what the socket
// takes now counts.
func TestSuspensionIsNoStall(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer caller.Close()
	accepted, err := l.Accept()
	is.NoErr(err)
	defer accepted.Close()
	now := time.Duration(0)
	c := New(accepted, &Options{Now: func() time.Duration { return now }, Stats: &Stats{}}).(*Conn)
	c.kept.Add(now, make([]byte, eventBytes))
	now = time.Hour
	is.NoErr(c.SetWriteDeadline(time.Unix(1, 0))) // it has passed
	is.True(c.kept.Stalled(now))
	is.True(c.takesMore())
	is.True(!c.kept.Stalled(now))
	for { // until the sockets are full
		n, err := c.writeNow(make([]byte, 1<<20))
		is.NoErr(err)
		if n == 0 {
			break
		}
	}
	c.kept.Add(now, make([]byte, eventBytes))
	is.True(!c.takesMore())
}
