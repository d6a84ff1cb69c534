package connrelay

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/peer"
	"github.com/mastictray/mastictray/internal/resetconn"
	"github.com/mastictray/mastictray/internal/targetconn"
	"github.com/mastictray/mastictray/internal/wire"
)

const (
	// maxRelayed bounds the connections that an instance relays at a time: each takes two file
	// descriptors, two goroutines and two buffers.
	maxRelayed = 1024
	// relayDialTimeout bounds the connection attempt to a target. The peer that asked gives up
	// after the dial timeout of its pool, which is longer.
	relayDialTimeout = 300 * time.Millisecond
	relayBufferBytes = 4 << 10
)

// Server relays connections of peers to targets.
type Server struct {
	direct targetconn.DialFunc
	// isTarget reports whether an address is that of a target.
	isTarget func(address string) bool
	// TakeMemory reports whether there is memory for another connection and ReturnMemory ends
	// its use. Both are nil, or set before the server is used.
	TakeMemory   func() bool
	ReturnMemory func()

	mu       sync.Mutex
	active   int
	draining bool
	// idle is closed when draining is set and active is 0.
	idle chan struct{}
}

// NewServer returns a Server that connects with direct.
func NewServer(direct targetconn.DialFunc, isTarget func(address string) bool) *Server {
	return &Server{direct: resetconn.Dialer(direct), isTarget: isTarget, idle: make(chan struct{})}
}

// Active returns the number of relayed connections.
func (s *Server) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

// Drain refuses new connections and waits until the open ones have ended or ctx ends.
func (s *Server) Drain(ctx context.Context) {
	s.mu.Lock()
	if !s.draining {
		s.draining = true
		if s.active == 0 {
			close(s.idle)
		}
	}
	s.mu.Unlock()
	select {
	case <-s.idle:
	case <-ctx.Done():
	}
}

// begin reports whether another connection may be relayed.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || s.active >= maxRelayed || s.TakeMemory != nil && !s.TakeMemory() {
		return false
	}
	s.active++
	return true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	if s.ReturnMemory != nil {
		s.ReturnMemory()
	}
	if s.draining && s.active == 0 {
		close(s.idle)
	}
}

// Handle implements peer.StreamHandler. It returns when the connection has ended.
func (s *Server) Handle(ctx context.Context, stream *peer.Stream, f wire.Frame) {
	defer stream.Close()
	var request wire.RelayRequest
	if err := f.DecodeBody(&request); err != nil {
		logline.Error(err, "relay_request_malformed", "peer", stream.Remote().Instance)
		return
	}
	if !s.isTarget(request.Address) || !s.begin() {
		s.answer(stream, f, wire.RelayDenied)
		return
	}
	defer s.end()
	dialCtx, cancel := context.WithTimeout(ctx, relayDialTimeout)
	target, err := s.direct(dialCtx, "tcp", request.Address)
	cancel()
	if err != nil {
		logline.Info("relay_unreachable", "peer", stream.Remote().Instance, "address", request.Address, "error", err)
		s.answer(stream, f, wire.RelayUnreachable)
		return
	}
	if s.answer(stream, f, wire.RelayConnected) {
		logline.InfoSampled("relay_connected", "peer", stream.Remote().Instance, "address", request.Address)
		relay(stream, target)
		return
	}
	target.Close()
}

func (s *Server) answer(stream *peer.Stream, f wire.Frame, status wire.RelayStatus) bool {
	err := stream.Accept(f, wire.RelayResponse{Status: status})
	if err != nil {
		logline.Error(err, "relay_answer_failed", "peer", stream.Remote().Instance)
	}
	return err == nil
}

// relay copies both directions until either side has ended.
func relay(stream *peer.Stream, target net.Conn) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = copyBytes(target, stream) // the peer has ended the connection, or it broke
		resetAndClose(target)
	}()
	err := copyBytes(stream, target)
	// A failure to state the end shows at the peer as a broken connection.
	_ = stream.End(err != nil)
	_ = stream.Close()
	<-done
}

// resetAndClose closes a connection to a target with a reset, so that the target ends its work
// and bytes on the way are discarded.
func resetAndClose(c net.Conn) {
	if tcp, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// copyBytes copies until the source has ended, and returns nil if it has ended regularly.
func copyBytes(to, from net.Conn) error {
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return writeErr
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return nil
		default:
			return err
		}
	}
}
