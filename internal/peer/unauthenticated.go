package peer

import (
	"container/list"
	"net"
	"sync"
)

// maxUnauthenticated bounds the connections whose other side has not proved yet that it is a peer. A
// restart of a whole fleet needs a part of it.
const maxUnauthenticated = 256

// unauthenticated are connections that are still in their handshake, the oldest first. If there are too
// many, the oldest is closed: a peer proves itself within milliseconds.
type unauthenticated struct {
	mu    sync.Mutex
	conns list.List
}

// add adds a connection, and returns a function that removes it, which may be called repeatedly.
func (u *unauthenticated) add(c net.Conn) (remove func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conns.Len() >= maxUnauthenticated {
		oldest := u.conns.Remove(u.conns.Front()).(net.Conn)
		_ = oldest.Close() // its handshake fails, which is logged
	}
	e := u.conns.PushBack(c)
	return func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.conns.Remove(e) // does nothing if e is removed
	}
}
