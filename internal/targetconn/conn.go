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
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// readBufferBytes holds the head of an answer and a few events.
	readBufferBytes = 4 << 10
	// maxHeadBytes bounds the head of an answer: a faulty target may send a
	// line without an end.
	maxHeadBytes = 64 << 10
	// maxInlineWriteBytes is the request size up to which the write cannot block:
	// it fits the socket's buffer. A longer one is written beside the read,
	// since a target may answer before it has read the body.
	maxInlineWriteBytes = 8 << 10
	// maxStaleResponses bounds the answers to earlier requests that are
	// passed over before the one that is waited for.
	maxStaleResponses = 2
	// keepAliveMargin is taken off the time for which a target says it keeps an
	// idle connection, for the way there and a late timer.
	keepAliveMargin = time.Second
)

// ErrMalformed is an answer that is not in the protocol.
var ErrMalformed = errors.New("target: malformed answer")

// Conn is one connection to a target.
type Conn struct {
	addr    string
	netConn     net.Conn
	limited *limitedReader
	r       *bufio.Reader

	idleSince time.Duration
	idleTimeout   time.Duration
	reused    bool
	broken    bool
	writeDone   chan error // of a write beside the read; nil when it was inline
}

// limitedReader fails once left bytes were read, while bounded is set.
type limitedReader struct {
	r       io.Reader
	remaining    int
	bounded bool
}

func (l *limitedReader) Read(b []byte) (int, error) {
	if !l.bounded {
		return l.r.Read(b)
	}
	if l.remaining <= 0 {
		return 0, errors.Wrapf(ErrMalformed, "head over %d bytes", maxHeadBytes)
	}
	n, err := l.r.Read(b[:min(len(b), l.remaining)])
	l.remaining -= n
	return n, err
}

// Request is what is sent to a target.
type Request struct {
	Method string
	// URI is the path and query as the caller sent them.
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
	_ = r.Header.Write(&b) // a bytes.Buffer takes every write
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// Reused says that the connection had served an earlier exchange.
func (c *Conn) Reused() bool { return c.reused }

// Send writes the request and reads the head of its answer. Answers for which
// mine is false belong to an earlier request on this connection and are passed
// over. The context bounds the exchange up to the end of the body.
func (c *Conn) Send(ctx context.Context, r *Request, matches func(*http.Response) bool) (*http.Response, error) {
	if err := c.write(r.encode()); err != nil {
		return nil, err
	}
	for range maxStaleResponses + 1 {
		resp, err := c.readHead(r.Method)
		if err != nil {
			c.broken = true
			return nil, errors.Wrapf(err, "read answer target=%s", c.addr)
		}
		if matches(resp) {
			c.updateKeepAlive(resp)
			return resp, nil
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			c.broken = true
			return nil, errors.Wrapf(err, "pass over an earlier answer target=%s", c.addr)
		}
	}
	c.broken = true
	return nil, errors.Wrapf(ErrMalformed, "answers of other requests only target=%s", c.addr)
}

// write sends the request. After an error some bytes may have arrived.
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

// readHead reads the head of a final answer.
func (c *Conn) readHead(method string) (*http.Response, error) {
	for {
		c.limited.bounded, c.limited.remaining = true, maxHeadBytes
		resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
		c.limited.bounded = false
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// updateKeepAlive takes in how long the target keeps the connection.
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

// FinishExchange is called once the body was read to its end. A request that was
// answered before it was written whole leaves the connection unusable: what
// the target reads next would be the rest of the body.
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

// MarkBroken marks the connection as unusable for another exchange.
func (c *Conn) MarkBroken() { c.broken = true }

// Close ends the connection; it may be called at any time.
func (c *Conn) Close() {
	// The other side learns from it; there is nothing to do about an error.
	_ = c.netConn.Close()
}

// isReusable says that an idle connection is open and has nothing to read. A closed
// one would lose the next request without telling whether it ran; bytes that
// nobody asked for would be read as its answer.
func (c *Conn) isReusable() bool {
	sys, ok := c.netConn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = err == unix.EAGAIN
		return true
	})
	return err == nil && empty
}
