package targetconn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/quietconn"
	"github.com/mastictray/mastictray/internal/responsecheck"
)

const (
	// readBufferBytes is enough for the head of a response and a few events.
	readBufferBytes = 4 << 10
	// maxHeadBytes limits the head of a response: a faulty target may send a
	// line that never ends.
	maxHeadBytes = 64 << 10
	// maxInlineWriteBytes is the request size up to which a write cannot block,
	// because it fits into the socket's send buffer. A larger request is
	// written by a goroutine while the response is read, since a target may
	// respond before it has read the body.
	maxInlineWriteBytes = 8 << 10
	// maxStaleResponses limits the responses to earlier requests that are
	// skipped before the expected one.
	maxStaleResponses = 2
	// maxStaleBodyBytes limits the body of such a response.
	maxStaleBodyBytes = 1 << 20
	// keepAliveMargin is subtracted from the idle timeout that a target
	// announces. It covers network latency and late timers.
	keepAliveMargin = time.Second
)

// ErrMalformed marks a response that violates the protocol.
var ErrMalformed = responsecheck.ErrMalformed

// Conn is one connection to a target.
type Conn struct {
	addr    string
	netConn net.Conn
	limited *limitedReader
	r       *bufio.Reader

	idleSince   time.Duration
	idleTimeout time.Duration
	reused      bool
	broken      bool
	// keepReceiving makes Cancel close the sending side only.
	keepReceiving atomic.Bool
	writeDone     chan error // receives the result of a concurrent write; nil after an inline write
}

// limitedReader fails after remaining bytes if bounded is set.
type limitedReader struct {
	r         io.Reader
	remaining int
	bounded   bool
}

func (l *limitedReader) Read(b []byte) (int, error) {
	if !l.bounded {
		return l.r.Read(b)
	}
	if l.remaining <= 0 {
		return 0, errors.Wrapf(ErrMalformed, "response head exceeds %d bytes", maxHeadBytes)
	}
	n, err := l.r.Read(b[:min(len(b), l.remaining)])
	l.remaining -= n
	return n, err
}

// Request is a request to a target, with its whole body.
type Request struct {
	Method string
	// URI is the path and query as received from the caller.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
}

func (r *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_ = r.Header.Write(&b) // writing to a bytes.Buffer never fails
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// Reused reports whether the connection was taken from the pool.
func (c *Conn) Reused() bool { return c.reused }

// Send writes the request and reads the head of its response. It skips responses
// for which matches returns false: they belong to earlier requests on this
// connection. Send does not observe the context; Cancel ends the exchange.
func (c *Conn) Send(ctx context.Context, r *Request, matches func(*http.Response) bool) (*http.Response, error) {
	if err := c.write(r.encode()); err != nil {
		return nil, err
	}
	for range maxStaleResponses + 1 {
		resp, err := c.readHead(r.Method)
		if err != nil {
			c.broken = true
			return nil, errors.Wrapf(err, "read response target=%s", c.addr)
		}
		if matches(resp) {
			c.updateKeepAlive(resp)
			return resp, nil
		}
		if err := skipBody(resp); err != nil {
			c.broken = true
			return nil, errors.Wrapf(err, "skip response to an earlier request target=%s", c.addr)
		}
	}
	c.broken = true
	return nil, errors.Wrapf(ErrMalformed, "no response matches the request target=%s", c.addr)
}

// skipBody reads a body to its end, which must come soon.
func skipBody(resp *http.Response) error {
	_, err := io.CopyN(io.Discard, resp.Body, maxStaleBodyBytes)
	switch {
	case err == io.EOF:
		return nil
	case err == nil:
		return errors.Wrapf(ErrMalformed, "response body exceeds %d bytes", maxStaleBodyBytes)
	}
	return err
}

// write sends an encoded request. After an error, the target may have received
// a part of it.
func (c *Conn) write(raw []byte) error {
	c.writeDone = nil
	if len(raw) <= maxInlineWriteBytes {
		if _, err := c.netConn.Write(raw); err != nil {
			c.broken = true
			return errors.Wrapf(err, "write request target=%s", c.addr)
		}
		return nil
	}
	c.writeDone = make(chan error, 1)
	go func(done chan<- error) {
		_, err := c.netConn.Write(raw)
		done <- err
	}(c.writeDone)
	return nil
}

// readHead reads the head of a response and skips informational (1xx) ones, which count towards the
// limit of its size.
func (c *Conn) readHead(method string) (*http.Response, error) {
	c.limited.bounded, c.limited.remaining = true, maxHeadBytes
	defer func() { c.limited.bounded = false }()
	for {
		resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
		if err == nil {
			err = responsecheck.Head(resp)
		}
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			resp.Body = responsecheck.Body(resp)
			return resp, nil
		}
	}
}

// updateKeepAlive applies what the response says about keeping the connection open.
func (c *Conn) updateKeepAlive(resp *http.Response) {
	if resp.Close {
		c.broken = true
	}
	if s, ok := keepAliveSeconds(resp.Header.Get("Keep-Alive")); ok {
		c.idleTimeout = max(0, time.Duration(s)*time.Second-keepAliveMargin)
	}
}

func keepAliveSeconds(header string) (int, bool) {
	for field := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if strings.EqualFold(name, "timeout") {
			s, err := strconv.Atoi(value)
			return s, err == nil && s >= 0
		}
	}
	return 0, false
}

// FinishExchange must be called after the response body was read to its end. If
// the request has not been written completely by then, the connection can't be
// reused: the target would read the rest of the body as the next request.
func (c *Conn) FinishExchange() {
	if c.writeDone == nil {
		return
	}
	select {
	case err := <-c.writeDone:
		if err != nil {
			c.broken = true
		}
	default:
		c.broken = true
	}
}

// NetConn returns the underlying connection.
func (c *Conn) NetConn() net.Conn { return c.netConn }

// MarkBroken prevents the connection from being reused.
func (c *Conn) MarkBroken() { c.broken = true }

// Close closes the connection. It may be called at any time, also during an exchange.
func (c *Conn) Close() {
	// An error would change nothing: the connection isn't used any more.
	_ = c.netConn.Close()
}

// KeepReceiving sets whether Cancel leaves the receiving side of the connection open in the next
// exchange, so that AwaitClose can tell when the target has seen that the exchange is cancelled.
func (c *Conn) KeepReceiving(keep bool) { c.keepReceiving.Store(keep) }

// Cancel makes the exchange fail and closes the connection, or only its sending side after
// KeepReceiving. It may be called at any time, also during an exchange.
func (c *Conn) Cancel() {
	half, ok := c.netConn.(interface{ CloseWrite() error })
	if !c.keepReceiving.Load() || !ok {
		c.Close()
		return
	}
	// An error means that the connection is closed, which makes the exchange fail as well.
	_ = half.CloseWrite()
	_ = c.netConn.SetReadDeadline(longAgo)
}

// longAgo makes pending reads fail.
var longAgo = time.Unix(1, 0)

// maxDiscardedBytes bounds what AwaitClose reads. A target that sends that much is not silent, and
// fails to write once the connection is closed.
const maxDiscardedBytes = 1 << 20

// AwaitClose closes the sending side of the connection, waits until the target has closed its own or
// the timeout is over, and closes the connection. It reports whether the target has seen that the
// exchange is over: a target that stands still has not, and will still read the request.
func (c *Conn) AwaitClose(timeout time.Duration) bool {
	defer c.Close()
	half, ok := c.netConn.(interface{ CloseWrite() error })
	if !ok {
		return false
	}
	_ = half.CloseWrite() // after an error, the read tells more
	if err := c.netConn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return errors.Is(err, net.ErrClosed)
	}
	_, err := io.CopyN(io.Discard, c.netConn, maxDiscardedBytes)
	var netErr net.Error
	return !errors.As(err, &netErr) || !netErr.Timeout()
}

// isReusable reports whether an idle connection is open and has nothing to read.
// On a closed connection the next request would be lost without any information
// whether it was executed. Unexpected bytes would be read as its response.
func (c *Conn) isReusable() bool {
	if stream, ok := c.netConn.(interface{ Idle() bool }); ok {
		return stream.Idle()
	}
	return quietconn.IsQuiet(c.netConn)
}
