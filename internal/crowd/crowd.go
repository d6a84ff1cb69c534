package crowd

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// reconnectPause is the time between the end of a connection and the next one of its caller.
const reconnectPause = 20 * time.Millisecond

// Script is what a caller does on one connection. It returns when the connection has ended, or
// soon after stop is closed.
type Script func(c net.Conn, stop <-chan struct{})

// Crowd is a number of callers that follow a script and connect again whenever their connection
// ends.
type Crowd struct {
	// Connections counts the connections made so far.
	Connections atomic.Int64

	stop chan struct{}
	wg   sync.WaitGroup
}

// Start starts callers that connect with dial.
func Start(callers int, dial func() (net.Conn, error), script Script) *Crowd {
	c := &Crowd{stop: make(chan struct{})}
	for range callers {
		c.wg.Go(func() { c.call(dial, script) })
	}
	return c
}

// Dial returns a function that connects to a TCP address.
func Dial(address string) func() (net.Conn, error) {
	return func() (net.Conn, error) { return net.DialTimeout("tcp", address, time.Second) }
}

// Stop closes all connections and waits until the callers have ended.
func (c *Crowd) Stop() {
	close(c.stop)
	c.wg.Wait()
}

func (c *Crowd) call(dial func() (net.Conn, error), script Script) {
	for {
		if conn, err := dial(); err == nil {
			c.Connections.Add(1)
			c.follow(conn, script)
		}
		select {
		case <-c.stop:
			return
		case <-time.After(reconnectPause):
		}
	}
}

// follow runs the script and closes the connection at its end or when the crowd stops.
func (c *Crowd) follow(conn net.Conn, script Script) {
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-ended:
		case <-c.stop:
		}
		_ = conn.Close() // the process may have closed it already
	}()
	script(conn, c.stop)
}
