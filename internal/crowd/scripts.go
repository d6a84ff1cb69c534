package crowd

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// Head returns the head of a request with the given lines that frame its body, each with its line
// end.
type Head func(framing string) string

// A Body is what a caller sends after the head of its request.
type Body struct {
	// Announced is the length that the head announces; negative for a body in chunks.
	Announced int64
	// Sent is the number of bytes that are sent of the body; negative for no end.
	Sent int64
	// Piece is the number of bytes written at a time, and the size of a chunk.
	Piece int
	// Pause is the time between two pieces.
	Pause time.Duration
	// Ended is set if a body in chunks gets its last chunk.
	Ended bool
}

const maxPiece = 64 << 10

var filler = []byte(strings.Repeat("x", maxPiece))

// Send returns a script that sends a request with the given body and then waits, without sending
// more, until the process closes the connection.
func Send(head Head, b Body) Script {
	framing := fmt.Sprintf("Content-Length: %d\r\n", b.Announced)
	if b.Announced < 0 {
		framing = "Transfer-Encoding: chunked\r\n"
	}
	return func(c net.Conn, stop <-chan struct{}) {
		if _, err := io.WriteString(c, head(framing)); err != nil {
			return
		}
		if sendBody(c, b, stop) {
			awaitClose(c)
		}
	}
}

// sendBody reports whether all of the body that is to be sent was sent.
func sendBody(c net.Conn, b Body, stop <-chan struct{}) bool {
	piece := max(1, min(b.Piece, maxPiece))
	for left := b.Sent; left != 0; {
		n := piece
		if left > 0 {
			n = int(min(int64(n), left))
			left -= int64(n)
		}
		if _, err := c.Write(frame(b, n)); err != nil {
			return false
		}
		if b.Pause > 0 {
			select {
			case <-stop:
				return false
			case <-time.After(b.Pause):
			}
		}
	}
	if b.Ended {
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
	return true
}

func frame(b Body, n int) []byte {
	if b.Announced >= 0 {
		return filler[:n]
	}
	chunk := fmt.Appendf(nil, "%x\r\n", n)
	return append(append(chunk, filler[:n]...), "\r\n"...)
}

// ChunksOfOneByte returns a script that sends a body in chunks of one byte, many at a time, which
// doesn't end.
func ChunksOfOneByte(head Head, sent int) Script {
	chunks := []byte(strings.Repeat("1\r\nx\r\n", sent))
	return func(c net.Conn, _ <-chan struct{}) {
		if _, err := io.WriteString(c, head("Transfer-Encoding: chunked\r\n")); err != nil {
			return
		}
		if _, err := c.Write(chunks); err == nil {
			awaitClose(c)
		}
	}
}

// UnendedHead returns a script that sends the first bytes of a head, up to size, and never ends it.
// Its header lines have values of the given length.
func UnendedHead(start string, size, valueBytes int) Script {
	head := []byte(start)
	for i := 0; len(head) < size; i++ {
		head = fmt.Appendf(head, "A%x: %s\r\n", i, filler[:valueBytes])
	}
	head = head[:size]
	return func(c net.Conn, _ <-chan struct{}) {
		if _, err := c.Write(head); err == nil {
			awaitClose(c)
		}
	}
}

// ManyHeaders returns header lines, short and all different, of the given size together.
func ManyHeaders(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "A%x:\r\n", i)
	}
	return b.String()
}

// Unread returns a script that sends one request after another and reads no response.
func Unread(request string) Script {
	return func(c net.Conn, _ <-chan struct{}) {
		for {
			if _, err := io.WriteString(c, request); err != nil {
				return
			}
		}
	}
}

// SendOnce returns a script that sends one request and reads nothing until the crowd stops.
func SendOnce(request func() string) Script {
	return func(c net.Conn, stop <-chan struct{}) {
		if _, err := io.WriteString(c, request()); err == nil {
			<-stop
		}
	}
}

// HalfClosed returns a script that sends a part of a request, ends its direction of the connection and
// waits until the process closes the other.
func HalfClosed(part string) Script {
	return func(c net.Conn, _ <-chan struct{}) {
		if _, err := io.WriteString(c, part); err != nil {
			return
		}
		if tcp, ok := c.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
			awaitClose(c)
		}
	}
}

// Left returns a script that sends a whole request with the given body and resets the connection.
func Left(head Head, body string) Script {
	framing := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	return func(c net.Conn, _ <-chan struct{}) {
		if _, err := io.WriteString(c, head(framing)+body); err != nil {
			return
		}
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the process may have closed the connection already
		}
	}
}

// Whole returns a script that sends a whole request and reads the response.
func Whole(request string) Script {
	return func(c net.Conn, _ <-chan struct{}) {
		if _, err := io.WriteString(c, request); err == nil {
			awaitClose(c)
		}
	}
}

// SendOnly is a connection whose responses somebody else reads.
type SendOnly struct{ net.Conn }

// Read implements net.Conn. It never returns.
func (SendOnly) Read([]byte) (int, error) { select {} }

// awaitClose discards what the process sends until it closes the connection.
func awaitClose(c net.Conn) { _, _ = io.Copy(io.Discard, c) }
