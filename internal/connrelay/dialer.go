// Package connrelay connects to targets directly or, while the direct path is blocked, through
// peers. Requests stay with the instance that received them: a peer relays bytes and decides
// nothing.
package connrelay

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/peer"
	"github.com/mastictray/mastictray/internal/targetconn"
	"github.com/mastictray/mastictray/internal/targetpath"
	"github.com/mastictray/mastictray/internal/wire"
)

const (
	// maxAskedPeers bounds the peers that are asked to connect to a target.
	maxAskedPeers = 4
	// peerStagger is how long a peer may take before the next one is asked as well.
	peerStagger = 60 * time.Millisecond
)

var (
	// ErrUnreachable: a peer could not connect to the target either.
	ErrUnreachable = errors.New("connrelay: target accepts no connection from a peer")
	// ErrNoPeer: no peer relays connections to the target.
	ErrNoPeer = errors.New("connrelay: no peer relays connections")
)

// Options configure a Dialer.
type Options struct {
	// Direct establishes direct connections.
	Direct targetconn.DialFunc
	// Domain is the failure domain of this instance.
	Domain string
	Now    func() time.Duration
	// Peers returns the instances that may relay connections.
	Peers func() []targetpath.Peer
	// OpenStream opens a stream to a peer, as peer.Node does.
	OpenStream func(ctx context.Context, address string, kind wire.Kind, request, response any) (*peer.Stream, error)
	// OnBlocked is called when the direct path to a target turns out to be blocked. silent is
	// set if direct attempts get no response, so that open connections are probably dead too.
	// OnConfirmed is called when it is still blocked some time later, OnOpen when it is open
	// again. Each may be nil.
	OnBlocked   func(address string, silent bool)
	OnConfirmed func(address string)
	OnOpen      func(address string)
	// Keep gets the connections that Check and Probe establish; nil to close them.
	Keep func(address string, c net.Conn)
}

// Dialer establishes connections to targets. It is safe for concurrent use.
type Dialer struct {
	options Options
	checks  checks

	mu      sync.Mutex
	tracker *targetpath.Tracker
	rng     *rand.Rand
}

// NewDialer returns a Dialer.
func NewDialer(o Options) *Dialer {
	return &Dialer{
		options: o, tracker: targetpath.New(), rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		checks: checks{byAddress: map[string]*check{}},
	}
}

// RelayOf returns the name of the instance that relays a connection; empty for a direct one.
func RelayOf(c net.Conn) string {
	if s, ok := c.(*peer.Stream); ok {
		return s.Remote().Instance
	}
	return ""
}

// Blocked reports whether the direct path to a target is blocked.
func (d *Dialer) Blocked(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.Blocked(address)
}

// BlockedCount returns the number of targets whose direct paths are blocked.
func (d *Dialer) BlockedCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.BlockedCount()
}

// ConfirmedCount returns the number of targets whose direct paths have stayed blocked.
func (d *Dialer) ConfirmedCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.ConfirmedCount()
}

// attempt is the result of a connection attempt over one path.
type attempt struct {
	conn   net.Conn
	err    error
	direct bool
}

// Dial connects to a target over the path that is faster, with a head start for the one that was
// open last. It implements targetconn.DialFunc. If neither path is open, it returns the error of
// the direct attempt.
func (d *Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d.mu.Lock()
	blocked, mayRelay := d.tracker.Blocked(address), d.tracker.MayRelay(d.options.Now(), address)
	d.mu.Unlock()
	if !mayRelay {
		conn, err := d.options.Direct(ctx, network, address)
		d.record(address, attempt{conn: conn, err: err, direct: true}, nil)
		return conn, err
	}
	direct := func(ctx context.Context) attempt {
		conn, err := d.options.Direct(ctx, network, address)
		return attempt{conn: conn, err: err, direct: true}
	}
	relayed := func(ctx context.Context) attempt {
		conn, err := d.dialRelayed(ctx, address)
		return attempt{conn: conn, err: err}
	}
	first, second := direct, relayed
	if blocked {
		first, second = relayed, direct
	}
	winner, loser := race(ctx, first, second)
	d.record(address, winner, loser)
	if winner.err == nil {
		return winner.conn, nil
	}
	if loser != nil && loser.direct {
		return nil, loser.err
	}
	return nil, winner.err
}

// race starts first and, if that has failed or taken longer than the head start, second. It
// returns the first success, with the other attempt if that has failed before; or the two
// failures.
func race(ctx context.Context, first, second func(context.Context) attempt) (winner attempt, loser *attempt) {
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan attempt, 2)
	go func() { results <- first(ctx) }()
	headStart := time.NewTimer(targetpath.HeadStart)
	defer headStart.Stop()
	pending, started := 1, false
	startSecond := func() {
		started = true
		pending++
		go func() { results <- second(ctx) }()
	}
	for {
		select {
		case <-headStart.C:
			if !started {
				startSecond()
			}
			continue
		case winner = <-results:
			pending--
		}
		if winner.err == nil {
			go closeLate(cancel, results, pending)
			return winner, loser
		}
		if loser != nil {
			cancel()
			return winner, loser
		}
		failed := winner
		loser = &failed
		if !started {
			startSecond()
		}
	}
}

// closeLate cancels the remaining attempts and closes their connections.
func closeLate(cancel context.CancelFunc, results <-chan attempt, pending int) {
	cancel()
	for range pending {
		if late := <-results; late.err == nil {
			late.conn.Close()
		}
	}
}

// record updates the tracker with the result of a race.
func (d *Dialer) record(address string, winner attempt, loser *attempt) {
	d.mu.Lock()
	now := d.options.Now()
	opened, blocked := false, false
	switch {
	case winner.err == nil && winner.direct:
		opened = d.tracker.DirectConnected(now, address)
	case winner.err == nil:
		blocked = d.tracker.Relayed(now, address)
	default:
		for _, failed := range []*attempt{&winner, loser} {
			if failed != nil && errors.Is(failed.err, ErrUnreachable) {
				d.tracker.Unreachable(now, address)
			}
		}
	}
	count := d.tracker.BlockedCount()
	d.mu.Unlock()
	if opened {
		d.reportOpen(address, count)
	}
	if blocked {
		// A direct attempt that was refused shows that packets get through.
		silent := loser == nil || isTimeout(loser.err)
		logline.Info("direct_path_blocked", "address", address, "relay", RelayOf(winner.conn), "silent", silent, "blocked", count)
		if d.options.OnBlocked != nil {
			d.options.OnBlocked(address, silent)
		}
	}
}

func (d *Dialer) reportOpen(address string, count int) {
	logline.Info("direct_path_open", "address", address, "blocked", count)
	if d.options.OnOpen != nil {
		d.options.OnOpen(address)
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// dialRelayed asks peers to connect to a target, one after the other, and returns the first
// connection. Each has peerStagger before the next one is asked as well.
func (d *Dialer) dialRelayed(ctx context.Context, address string) (net.Conn, error) {
	peers := d.orderedPeers()
	if len(peers) == 0 {
		return nil, errors.Wrapf(ErrNoPeer, "target=%s", address)
	}
	peers = peers[:min(len(peers), maxAskedPeers)]
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan attempt, len(peers))
	asked, answered := 0, 0
	askNext := func() {
		p := peers[asked]
		asked++
		go func() {
			conn, err := d.ask(ctx, p, address)
			results <- attempt{conn: conn, err: err}
		}()
	}
	askNext()
	var firstErr error
	for {
		stagger := time.NewTimer(peerStagger)
		select {
		case <-stagger.C:
			if asked < len(peers) {
				askNext()
			}
			continue
		case result := <-results:
			stagger.Stop()
			answered++
			if result.err == nil {
				// The stream ends with its context no longer; see peer.Node.OpenStream.
				go closeLate(cancel, results, asked-answered)
				return result.conn, nil
			}
			if firstErr == nil || errors.Is(result.err, ErrUnreachable) {
				firstErr = result.err
			}
		}
		switch {
		case asked < len(peers):
			askNext()
		case answered == asked:
			cancel()
			return nil, firstErr
		}
	}
}

func (d *Dialer) orderedPeers() []targetpath.Peer {
	peers := d.options.Peers()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tracker.Order(d.options.Now(), d.options.Domain, peers, d.rng)
	return peers
}

// ask asks one peer to connect to a target.
func (d *Dialer) ask(ctx context.Context, p targetpath.Peer, address string) (net.Conn, error) {
	var response wire.RelayResponse
	s, err := d.options.OpenStream(ctx, p.Address, wire.KindRelay, wire.RelayRequest{Address: address}, &response)
	if err == nil && response.Status != wire.RelayConnected {
		s.Close()
		err = ErrNoPeer
		if response.Status == wire.RelayUnreachable {
			err = ErrUnreachable
		}
	}
	if err == nil {
		return s, nil
	}
	if ctx.Err() == nil {
		d.mu.Lock()
		d.tracker.PeerFailed(d.options.Now(), p.Name)
		d.mu.Unlock()
	}
	return nil, errors.Wrapf(err, "relay peer=%s target=%s", p.Name, address)
}

func (d *Dialer) recordFailedProbe(address string) {
	d.mu.Lock()
	confirmed := d.tracker.ProbeFailed(address)
	d.mu.Unlock()
	if confirmed && d.options.OnConfirmed != nil {
		d.options.OnConfirmed(address)
	}
}

func (d *Dialer) forget(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tracker.Forget(address)
}

// maxProbes bounds the direct connections that Probe tries at a time.
const maxProbes = 8

// Probe tries direct connections to targets whose direct paths are blocked, as far as they are
// due. It does not wait for them; stillBlocked is called for those that fail. exists reports
// whether an address is still that of a target.
func (d *Dialer) Probe(ctx context.Context, exists func(address string) bool, stillBlocked func(address string)) {
	d.mu.Lock()
	now := d.options.Now()
	d.tracker.Expire(now)
	due := d.tracker.DueProbes(now, maxProbes)
	d.mu.Unlock()
	for _, address := range due {
		if !exists(address) {
			d.forget(address)
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, CheckTimeout)
			defer cancel()
			conn, err := d.options.Direct(ctx, "tcp", address)
			if err != nil {
				d.recordFailedProbe(address)
				stillBlocked(address)
				return
			}
			d.record(address, attempt{conn: conn, direct: true}, nil)
			d.keep(address, conn)
		}()
	}
}
