// Package brokentarget is a stand-in for servers whose responses are broken. It serves tests only.
package brokentarget

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mastictray/mastictray/internal/socketbuffer"
)

// receiveBufferBytes is small, so that a large request is still being sent when its response arrives.
const receiveBufferBytes = 8 << 10

// resetDelays is the number of different delays, in milliseconds from 0, after which connections are
// reset.
const resetDelays = 10

// End is how a connection ends after a response.
type End int

const (
	// Reset resets the connection while the body of the request is unread.
	Reset End = iota
	// CloseSending closes the sending direction and reads nothing until the test ends.
	CloseSending
	// CloseThenReset closes the sending direction and resets the connection later.
	CloseThenReset
	// KeepOpen reads the body of the request before the response and waits for another request.
	KeepOpen
)

// Response is what a Target sends for a request.
type Response struct {
	// Bytes are sent as they are.
	Bytes string
	End   End
}

// Target listens for requests.
type Target struct {
	Address string

	respond  func(*http.Request) Response
	answered atomic.Int64
	ended    chan struct{} // closed at the end of the test
}

// Start starts a target that ends with the test. respond returns the response to a request.
func Start(t testing.TB, respond func(*http.Request) Response) *Target {
	t.Helper()
	bounds := socketbuffer.Bounds{Receive: receiveBufferBytes}
	l, err := (&net.ListenConfig{Control: bounds.Control}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	target := &Target{Address: l.Addr().String(), respond: respond, ended: make(chan struct{})}
	t.Cleanup(func() { l.Close(); close(target.ended) })
	go func() {
		for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
			go target.serve(conn.(*net.TCPConn))
		}
	}()
	return target
}

// Always returns a respond function for Start that returns the same response each time.
func Always(r Response) func(*http.Request) Response {
	return func(*http.Request) Response { return r }
}

// Answered returns the number of requests that were responded to.
func (t *Target) Answered() int { return int(t.answered.Load()) }

func (t *Target) serve(conn *net.TCPConn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		response := t.respond(req)
		if response.End == KeepOpen {
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
		}
		if _, err := io.WriteString(conn, response.Bytes); err != nil {
			return
		}
		delay := time.Duration(t.answered.Add(1)%resetDelays) * time.Millisecond
		if response.End != KeepOpen {
			t.end(conn, response.End, delay)
			return
		}
	}
}

// end ends a connection on which a response has been sent. An error means that the other side has ended
// it before.
func (t *Target) end(conn *net.TCPConn, how End, delay time.Duration) {
	switch how {
	case Reset:
		time.Sleep(delay)
		_ = conn.SetLinger(0)
	case CloseThenReset:
		_ = conn.CloseWrite()
		time.Sleep(delay)
		_ = conn.SetLinger(0)
	case CloseSending:
		_ = conn.CloseWrite()
		<-t.ended
	}
}
