package peer

import (
	"container/list"
	"net"
	"sync"
)

// maxStrangers bounds the connections whose other side has not proved yet that it is a peer. A
// restart of a whole fleet needs a part of it.
const maxStrangers = 256

// strangers are connections that are still in their handshake, the oldest first. If there are too
// many, the oldest is closed: a peer proves itself within milliseconds.
type strangers struct {
	mu    sync.Mutex
	conns list.List
}

// add adds a connection, and returns a function that removes it, which may be called repeatedly.
func (s *strangers) add(c net.Conn) (remove func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns.Len() >= maxStrangers {
		oldest := s.conns.Remove(s.conns.Front()).(net.Conn)
		_ = oldest.Close() // its handshake fails, which is logged
	}
	e := s.conns.PushBack(c)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.conns.Remove(e) // does nothing if e is removed
	}
}
