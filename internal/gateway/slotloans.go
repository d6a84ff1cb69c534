package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/placement"
	"github.com/mastictray/mastictray/internal/targetlimit"
	"github.com/mastictray/mastictray/internal/targetpause"
	"github.com/mastictray/mastictray/internal/wire"
)

const (
	// maxLoanCalls is the number of instances that are asked for a slot for one request, one after
	// the other.
	maxLoanCalls = 3
	// loanWait is how long a request waits for one answer. An instance that takes longer is
	// overloaded or cut off.
	loanWait = 60 * time.Millisecond
	// loanBackoff is how long an instance asks for no slots of a service after it was refused
	// maxLoanCalls times. Requests are refused at once meanwhile.
	loanBackoff = 50 * time.Millisecond
	// maxReturnCalls is the number of calls with which a slot is returned. If all fail, the
	// lender uses it again at the end of the loan's term.
	maxReturnCalls = 3
)

// slotLoans holds the services of which peers had no slots to lend.
type slotLoans struct {
	// last is the number of the last slot that this process asked a peer for.
	last atomic.Uint64

	mu      sync.Mutex
	refused targetpause.Pauses[string] // by service
}

// backOff keeps the service's requests from asking for slots for loanBackoff.
func (l *slotLoans) backOff(now time.Duration, service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused.Pause(now, service, loanBackoff)
}

func (l *slotLoans) backsOff(now time.Duration, service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refused.Left(now, service) > 0
}

// loanTarget is a target of which a slot is lent, as its service has it.
type loanTarget struct {
	service string
	directory.Registration
}

// slotUser is a service as far as slots are lent.
type slotUser interface {
	// lendSlot lends a slot of a target if this instance has one that is free.
	lendSlot(id directory.Incarnation, borrower string, loan uint64) bool
	// takeUnusedLoans removes and returns the borrowed slots of a target that this instance
	// doesn't use.
	takeUnusedLoans(target directory.Registration) []targetlimit.Loan
}

// borrowSlot borrows a slot of one of the targets, at which this instance has no room of its own. It
// reports whether there is one now.
func (g *Gateway) borrowSlot(ctx context.Context, c *call, targets []directory.Registration) bool {
	if len(targets) == 0 || g.loans.backsOff(g.clock.Now(), c.service.Name) {
		return false
	}
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	for i := range maxLoanCalls {
		t := &loanTarget{c.service.Name, targets[i%len(targets)]}
		lender, ok := g.chooseLender(t)
		if !ok {
			continue
		}
		granted := g.requestLoan(ctx, t, lender)
		g.metrics.slotLoan(granted)
		logline.InfoSampled("slot_loan", "request", c.ID, "target", t.ID, "born", t.StartedMs, "lender", lender.Instance, "granted", granted)
		if granted || ctx.Err() != nil {
			return granted
		}
	}
	g.loans.backOff(g.clock.Now(), c.service.Name)
	return false
}

// chooseLender chooses a peer that has a share of a target's slots.
func (g *Gateway) chooseLender(t *loanTarget) (wire.Identity, bool) {
	names := g.limits.lenders(&t.Registration)
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return g.peers.firstServing(names)
}

// firstServing returns the first of the instances that has a fresh update and doesn't leave.
func (p *peers) firstServing(names []string) (wire.Identity, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.g.clock.Now()
	for _, name := range names {
		if s := p.known[name]; s != nil && p.node != nil && p.isFresh(now, s) && !s.state.Leaving {
			return wire.Identity{Instance: name, Address: s.Address}, true
		}
	}
	return wire.Identity{}, false
}

// requestLoan asks a peer for a slot and reports whether it was granted in time. A slot that is
// granted later is returned.
func (g *Gateway) requestLoan(ctx context.Context, t *loanTarget, lender wire.Identity) bool {
	loan := g.loans.last.Add(1)
	granted := make(chan bool, 1)
	go func() {
		ok := g.callLender(ctx, t, lender.Address, loan, false)
		if ok {
			g.limits.borrow(&t.Registration, lender.Instance, loan)
		}
		granted <- ok
	}()
	timeout := time.NewTimer(loanWait)
	defer timeout.Stop()
	select {
	case ok := <-granted:
		return ok
	case <-timeout.C:
	}
	go func() {
		if <-granted {
			g.returnUnusedLoans(t)
		}
	}()
	return false
}

// callLender asks a peer for a slot, or returns it, and reports whether the peer has agreed.
func (g *Gateway) callLender(ctx context.Context, t *loanTarget, address string, loan uint64, isReturn bool) bool {
	// Not cancelled with the request: that would drop the connection to the peer.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), exchangeTimeout)
	defer cancel()
	request := wire.SlotLoanRequest{Service: t.service, Target: t.ID, Born: t.StartedMs, Loan: loan, Return: isReturn}
	var response wire.SlotLoanResponse
	if _, _, err := g.peers.call(ctx, address, wire.KindSlotLoan, request, &response); err != nil {
		logline.Error(err, "slot_loan_call_failed", "target", t.ID, "peer", address, "return", isReturn)
		return false
	}
	return response.Granted
}

// handleLoanRequest handles a peer's request for a slot, or its return.
func (g *Gateway) handleLoanRequest(_ context.Context, from wire.Identity, f wire.Frame) (any, error) {
	var request wire.SlotLoanRequest
	if err := f.DecodeBody(&request); err != nil {
		return nil, errors.Wrapf(err, "decode slot loan request peer=%s", from.Instance)
	}
	id := directory.Incarnation{ID: request.Target, StartedMs: request.Born}
	if request.Return {
		g.limits.endLoan(id, from.Incarnation, request.Loan)
		return wire.SlotLoanResponse{Granted: true}, nil
	}
	service, ok := g.slotUser(request.Service)
	return wire.SlotLoanResponse{Granted: ok && service.lendSlot(id, from.Incarnation, request.Loan)}, nil
}

// slotUser returns the state of a service, and false if this instance has none.
func (g *Gateway) slotUser(name string) (slotUser, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.engineServices[name]; s != nil {
		return s, true
	}
	s := g.plainServices[name]
	return s, s != nil
}

// lendSlot implements slotUser.
func (s *plainService) lendSlot(id directory.Incarnation, borrower string, loan uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.find(id)
	return t != nil && s.limits.lend(&t.registration, t.inFlight, borrower, loan)
}

// takeUnusedLoans implements slotUser.
func (s *plainService) takeUnusedLoans(target directory.Registration) []targetlimit.Loan {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.find(target.Incarnation()); t != nil {
		return s.limits.takeUnusedLoans(&t.registration, t.inFlight)
	}
	target.Slots = 0 // it has left
	return s.limits.takeUnusedLoans(&target, 0)
}

// lendSlot implements slotUser.
func (s *engineService) lendSlot(id directory.Incarnation, borrower string, loan uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.pool.Find(id.ID)
	r := s.registrations[id.ID]
	return ok && r.Incarnation() == id && s.limits.lend(&r, s.pool.Target(i).InFlight, borrower, loan)
}

// takeUnusedLoans implements slotUser.
func (s *engineService) takeUnusedLoans(target directory.Registration) []targetlimit.Loan {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.registrations[target.ID]
	if i, ok := s.pool.Find(target.ID); ok && r.Incarnation() == target.Incarnation() {
		return s.limits.takeUnusedLoans(&r, s.pool.Target(i).InFlight)
	}
	target.Slots = 0 // it has left
	return s.limits.takeUnusedLoans(&target, 0)
}

// withoutRoom returns the targets that may get a request but for this instance's lack of room there.
func (s *engineService) withoutRoom(software placement.SoftwareRequirement) (out []directory.Registration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.pool.Len() {
		t := s.pool.Target(i)
		r := s.registrations[t.Name]
		if s.pool.RejectedOnlyAsOverRate(i) && software.Allows(t.Software) && s.limits.canSend(r.Incarnation()) {
			out = append(out, r)
		}
	}
	return out
}

// returnUnusedLoans returns the borrowed slots of a target that this instance doesn't need any more.
func (g *Gateway) returnUnusedLoans(t *loanTarget) {
	id := t.Incarnation()
	if !g.limits.hasBorrowed(id) {
		return
	}
	service, ok := g.slotUser(t.service)
	if !ok {
		return
	}
	for _, loan := range service.takeUnusedLoans(t.Registration) {
		go g.returnLoan(t, loan)
	}
}

func (g *Gateway) returnLoan(t *loanTarget, loan targetlimit.Loan) {
	for range maxReturnCalls {
		lender, ok := g.peers.firstServing([]string{loan.Peer})
		if !ok || g.callLender(context.Background(), t, lender.Address, loan.ID, true) {
			return
		}
	}
}
