package peer

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/quietconn"
	"github.com/mastictray/mastictray/internal/socketbuffer"
	"github.com/mastictray/mastictray/internal/wire"
)

// maxStreamChunkBytes bounds the data of one frame of a Stream.
const maxStreamChunkBytes = 16 << 10

// StreamHandler handles a stream that a peer has opened with the frame f. It must call Accept,
// and owns the stream from then on. ctx is cancelled when the node closes.
type StreamHandler func(ctx context.Context, s *Stream, f wire.Frame)

// Stream is a connection to a peer that carries bytes instead of calls. It implements net.Conn.
// An end of the connection without an end that the peer has stated is an error, so that bytes
// cut off by a crash of the peer don't look complete.
type Stream struct {
	raw    net.Conn
	r      *bufio.Reader
	remote wire.Identity

	// pending is data that was received and not read yet, readErr what follows it.
	pending []byte
	readErr error

	writeMu sync.Mutex
	buf     []byte
}

var _ net.Conn = (*Stream)(nil)

// Remote returns the identity of the peer.
func (s *Stream) Remote() wire.Identity { return s.remote }

// Accept answers the frame that opened the stream.
func (s *Stream) Accept(f wire.Frame, response any) error {
	out, err := wire.NewFrame(f.ID, f.Kind, response)
	if err != nil {
		return err
	}
	out.IsResponse = true
	return s.writeFrame(out)
}

// Read implements io.Reader. It returns io.EOF only after the peer has called End(false).
func (s *Stream) Read(b []byte) (int, error) {
	for len(s.pending) == 0 {
		if s.readErr != nil {
			return 0, s.readErr
		}
		s.readErr = s.receive()
	}
	n := copy(b, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

// receive reads the next frame.
func (s *Stream) receive() error {
	f, err := wire.Read(s.r)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "read stream peer=%s", s.remote.Address), ErrBroken)
	}
	switch f.Kind {
	case wire.KindRelayData:
		return f.DecodeBody(&s.pending)
	case wire.KindRelayEnd:
		var end wire.RelayEnd
		if err := f.DecodeBody(&end); err != nil {
			return err
		}
		if end.Reset {
			return errors.Wrapf(syscall.ECONNRESET, "reset behind peer=%s", s.remote.Address)
		}
		return io.EOF
	}
	return errors.Wrapf(wire.ErrFrameMalformed, "kind=%s in a stream peer=%s", f.Kind, s.remote.Address)
}

// Write implements io.Writer.
func (s *Stream) Write(b []byte) (int, error) {
	written := 0
	for len(b) > 0 {
		chunk := b[:min(len(b), maxStreamChunkBytes)]
		f, err := wire.NewFrame(0, wire.KindRelayData, chunk)
		if err != nil {
			return written, err
		}
		if err := s.writeFrame(f); err != nil {
			return written, err
		}
		written, b = written+len(chunk), b[len(chunk):]
	}
	return written, nil
}

// End states that no more data follows. reset is set if the source of the data broke off.
func (s *Stream) End(reset bool) error {
	f, err := wire.NewFrame(0, wire.KindRelayEnd, wire.RelayEnd{Reset: reset})
	if err != nil {
		return err
	}
	return s.writeFrame(f)
}

func (s *Stream) writeFrame(f wire.Frame) error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	raw, err := wire.Append(s.buf[:0], f)
	if err != nil {
		return err
	}
	s.buf = raw
	if _, err := s.raw.Write(raw); err != nil {
		return errors.Mark(errors.Wrapf(err, "write stream peer=%s", s.remote.Address), ErrBroken)
	}
	return nil
}

// Idle reports whether nothing has arrived that was not read yet.
func (s *Stream) Idle() bool {
	return len(s.pending) == 0 && s.readErr == nil && s.r.Buffered() == 0 && quietconn.IsQuiet(s.raw)
}

// Close implements net.Conn. The peer sees a broken connection.
func (s *Stream) Close() error { return s.raw.Close() }

// LocalAddr implements net.Conn.
func (s *Stream) LocalAddr() net.Addr { return s.raw.LocalAddr() }

// RemoteAddr implements net.Conn.
func (s *Stream) RemoteAddr() net.Addr { return s.raw.RemoteAddr() }

// SetDeadline implements net.Conn.
func (s *Stream) SetDeadline(t time.Time) error { return s.raw.SetDeadline(t) }

// SetReadDeadline implements net.Conn.
func (s *Stream) SetReadDeadline(t time.Time) error { return s.raw.SetReadDeadline(t) }

// SetWriteDeadline implements net.Conn.
func (s *Stream) SetWriteDeadline(t time.Time) error { return s.raw.SetWriteDeadline(t) }

// OpenStream opens a stream to the peer at addr over a connection of its own and decodes the
// peer's response to the request.
func (n *Node) OpenStream(ctx context.Context, addr string, kind wire.Kind, request, response any) (*Stream, error) {
	raw, r, from, err := n.dialAndAuthenticate(ctx, addr, &timedReader{}, socketbuffer.Targets)
	if err != nil {
		return nil, err
	}
	s := &Stream{raw: raw, r: r, remote: from}
	// The connection is closed when ctx ends, since reads don't observe it.
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	err = s.open(kind, request, response)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		raw.Close()
		return nil, errors.Wrapf(err, "open stream kind=%s peer=%s", kind, addr)
	}
	return s, nil
}

// open sends the first frame and waits for its response.
func (s *Stream) open(kind wire.Kind, request, response any) error {
	f, err := wire.NewFrame(1, kind, request)
	if err != nil {
		return err
	}
	if err := s.writeFrame(f); err != nil {
		return err
	}
	answer, err := wire.Read(s.r)
	switch {
	case err != nil:
		return errors.Mark(err, ErrBroken)
	case answer.Err != "":
		return errors.Wrap(ErrRefused, answer.Err)
	}
	return answer.DecodeBody(response)
}
