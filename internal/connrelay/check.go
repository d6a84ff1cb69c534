package connrelay

import (
	"context"
	"net"
	"sync"
	"time"
)

// State tells how a target can be reached from this instance.
type State int

const (
	// Open: directly.
	Open State = iota
	// Blocked: only through a peer. The target is running.
	Blocked
	// Unreached: neither directly nor through a peer. The target is probably down.
	Unreached
)

func (s State) String() string { return [...]string{"open", "blocked", "unreached"}[s] }

const (
	// CheckTimeout bounds one check of a path. It covers the head start of the direct path and
	// an attempt through a peer.
	CheckTimeout = 300 * time.Millisecond
	// checkValidity is how long the result of a check is used for further ones.
	checkValidity = 500 * time.Millisecond
)

// checks coalesces concurrent checks of the path to one target.
type checks struct {
	mu        sync.Mutex
	byAddress map[string]*check
}

type check struct {
	done  chan struct{} // closed when state is set
	state State
	endAt time.Duration // 0 while the check runs
}

// Check returns how a target can be reached now. It hands the connection that it establishes to
// Options.Keep.
func (d *Dialer) Check(ctx context.Context, address string) State {
	c, isNew := d.checks.begin(d.options.Now(), address)
	if isNew {
		// Other callers wait for the result as well.
		state := d.tryPath(context.WithoutCancel(ctx), address)
		d.checks.end(c, d.options.Now(), state)
		return state
	}
	select {
	case <-c.done:
		return c.state
	case <-ctx.Done():
		return Open // nothing is known against it
	}
}

func (d *Dialer) tryPath(ctx context.Context, address string) State {
	ctx, cancel := context.WithTimeout(ctx, CheckTimeout)
	defer cancel()
	conn, err := d.Dial(ctx, "tcp", address)
	if err != nil {
		return Unreached
	}
	d.keep(address, conn)
	if RelayOf(conn) != "" {
		return Blocked
	}
	return Open
}

// keep hands over a connection for later requests, or closes it.
func (d *Dialer) keep(address string, conn net.Conn) {
	if d.options.Keep == nil {
		conn.Close()
		return
	}
	d.options.Keep(address, conn)
}

// begin returns the check of an address that runs or has a valid result, or a new one.
func (c *checks) begin(now time.Duration, address string) (current *check, isNew bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a, old := range c.byAddress {
		if old.endAt > 0 && now-old.endAt >= checkValidity {
			delete(c.byAddress, a)
		}
	}
	if current = c.byAddress[address]; current != nil {
		return current, false
	}
	current = &check{done: make(chan struct{})}
	c.byAddress[address] = current
	return current, true
}

func (c *checks) end(current *check, now time.Duration, state State) {
	c.mu.Lock()
	current.state, current.endAt = state, now
	c.mu.Unlock()
	close(current.done)
}
