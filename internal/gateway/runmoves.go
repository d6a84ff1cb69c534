package gateway

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/overload"
	"github.com/mastictray/mastictray/internal/routing"
	"github.com/mastictray/mastictray/internal/runmove"
	"github.com/mastictray/mastictray/internal/weights"
)

const (
	// runMoveTime is how long the planner of loads leaves running requests to move: the delay
	// until the instances begin, and a few copies that queue at the same link.
	runMoveTime = 500 * time.Millisecond
	// leaveMoveShare is the fraction of the drain bound after which the runs on a target that
	// leaves are moved. Most end by themselves before.
	leaveMoveShare = 0.4
	// copyTimeout bounds the copy of a run that goes on meanwhile. stopTimeout bounds that of its
	// last part, while its caller waits: callers leave after two seconds without an event.
	copyTimeout = 2 * time.Second
	stopTimeout = 600 * time.Millisecond
	// stopRetryDelay is the pause before a target is asked once more to stop a run.
	stopRetryDelay = 20 * time.Millisecond
	// stoppedStreamWait is how long a stream may stay open after its target has stopped the run.
	// Events that were on their way have arrived by then.
	stoppedStreamWait = 100 * time.Millisecond
	// freeTimeout bounds the call that frees a copy. One that isn't freed expires.
	freeTimeout = time.Second
)

// moveReason is why a run is moved.
type moveReason string

const (
	// moveBeforeLoad: the target is about to load weights.
	moveBeforeLoad moveReason = "load"
	// moveBeforeLeave: the target leaves.
	moveBeforeLeave moveReason = "leave"
)

// generation lets the run of one request go on at other targets. Its methods may be called on nil,
// for requests whose runs don't.
type generation struct {
	g      *Gateway
	c      *call
	engine *routing.Engine
	budget moveBudget

	// mu is taken after the locks of the gateway and of services.
	mu  sync.Mutex
	run *runmove.Run
	// at is the target that runs the request, with the weights that it started on.
	at directory.Registration
	// resolved is closed once it is known whether the run has stopped; nil if that was not asked
	// for.
	resolved chan struct{}
}

// newGeneration returns the state of a request's run, or nil if its service moves no runs.
func (g *Gateway) newGeneration(c *call) *generation {
	e := c.service.Engine
	if e == nil || !e.MovesRuns || c.route.Kind != routing.Stream || c.Prompt == nil {
		return nil
	}
	return &generation{g: g, c: c, engine: e, budget: g.newMoveBudget(c)}
}

// begin is called before the request is sent to a target.
func (m *generation) begin(a *targetAttempt) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.resolved = nil
	if a.continueFrom == "" {
		m.run, m.at = runmove.New(placeOf(&a.target)), a.target
	}
}

// continued is called when a target has answered that goes on with a run.
func (m *generation) continued(at directory.Registration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.run, m.at = m.run.ContinueAt(placeOf(&at)), at
}

func placeOf(r *directory.Registration) runmove.Place {
	return runmove.Place{ID: r.ID, Address: r.Address}
}

// end is called when the request has ended. It frees a copy that was not used.
func (m *generation) end() {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.run != nil {
		handle, _ := m.run.End()
		m.free(m.at, handle)
	}
}

// free frees a copy of which a target is the source.
func (m *generation) free(source directory.Registration, handle string) {
	if handle == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		if err := m.g.control.FreeCopy(ctx, source, handle); err != nil {
			logline.Error(err, "run_copy_not_freed", "request", m.c.ID, "target", source.ID)
		}
	}()
}

// mayBeStopped reports whether the target may have ended the stream because it stopped the run.
func (m *generation) mayBeStopped() bool {
	if m == nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.resolved != nil && (m.run.Stopping() || m.run.Stopped())
}

// resolve returns the outcome of an attempt whose stream may have ended because its run was
// stopped. If that was asked for, it waits for the response.
func (m *generation) resolve(ctx context.Context, result outcome) outcome {
	if m == nil || result != outcomeTruncated && result != outcomeUnknown {
		return result
	}
	m.mu.Lock()
	resolved := m.resolved
	m.mu.Unlock()
	if resolved == nil {
		return result
	}
	select {
	case <-resolved:
	case <-ctx.Done():
		return result
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.run.Stopped() {
		return result
	}
	return outcomeStopped
}

// moveReason returns why the run of an attempt should move; empty if it may stay. The caller holds
// s.mu.
func (s *engineService) moveReason(now time.Duration, pl *enginePlacement) moveReason {
	if since, loads := s.loadingSince[pl.target.ID]; loads {
		if now-since < streamMoveDelay {
			return ""
		}
		return moveBeforeLoad
	}
	if r, usable := s.registrations[pl.target.ID]; usable && r.Incarnation() == pl.target.Incarnation() {
		pl.withdrawnAt = 0
		return ""
	}
	if pl.withdrawnAt == 0 {
		pl.withdrawnAt = now
	}
	if now-pl.withdrawnAt < s.leaveMoveDelay {
		return ""
	}
	return moveBeforeLeave
}

// moveRun starts to move the run of an attempt to another target if that is possible and worth it.
// It returns false if the run can't be moved. The caller holds s.mu.
func (s *engineService) moveRun(now time.Duration, pl *enginePlacement, reason moveReason) bool {
	if pl.generation == nil {
		return false
	}
	if !pl.generation.idle() || !s.progressOf(now, pl).WorthMoving() {
		return true
	}
	to, found := s.moveDestination(pl)
	if !found || !pl.generation.beginCopy(placeOf(&to)) {
		return found && pl.generation.hasCopiesLeft()
	}
	s.copies.Begin(to.ID, pl.heldTokens)
	go func() {
		pl.generation.move(s, pl, to, reason)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.copies.End(to.ID, pl.heldTokens)
	}()
	return true
}

// progressOf returns how far the run of an attempt has come. The caller holds s.mu.
func (s *engineService) progressOf(now time.Duration, pl *enginePlacement) runmove.Progress {
	tokensPerEvent := max(1, pl.generation.engine.TokensPerEvent)
	return runmove.Progress{
		Events: pl.laterEvents, Elapsed: now - pl.firstEventAt,
		MaxEvents: (pl.generation.c.Prompt.MaxOutputTokens + tokensPerEvent - 1) / tokensPerEvent,
	}
}

// mayTakeRun reports whether a run that started at another target may go on at this one: its memory
// belongs to the weights there, its events to the software.
func mayTakeRun(r, startedAt *directory.Registration) bool {
	return r.SoftwareVersion == startedAt.SoftwareVersion && maps.Equal(r.Versions, startedAt.Versions)
}

// moveDestination returns the target to which the run of an attempt is copied. The caller holds
// s.mu.
func (s *engineService) moveDestination(pl *enginePlacement) (directory.Registration, bool) {
	next := s.nextToLoad(pl.generation.c.Prompt.Model)
	var candidates []runmove.Candidate
	for i := range s.pool.Len() {
		t := s.pool.Target(i)
		r := s.registrations[t.Name]
		if s.pool.Rejected(i) || t.Name == pl.target.ID || !mayTakeRun(&r, &pl.target) || t.Canary != s.isCanary[pl.target.ID] {
			continue
		}
		candidates = append(candidates, runmove.Candidate{
			Place: placeOf(&r), SameDomain: r.Domain == pl.target.Domain, LoadsSoon: next[r.ID], FreeSlots: t.Limit - t.InFlight - t.PeersInFlight,
			FreeTokens: int(copyMemoryShare*float64(t.MemoryTokens)) - t.HeldTokens - t.PeersHeldTokens,
		})
	}
	i, ok := runmove.Choose(candidates, pl.heldTokens, s.copies, s.rng)
	if !ok {
		return directory.Registration{}, false
	}
	return s.registrations[candidates[i].ID], true
}

// copyMemoryShare is the fraction of a target's memory up to which copies may be added to what
// runs there. It is below the one for requests, so that a copy never keeps requests out.
const copyMemoryShare = 0.7

// nextToLoad returns the targets that are among the next to load a model's weights. The caller
// holds s.mu.
func (s *engineService) nextToLoad(model string) map[string]bool {
	targets := slices.SortedFunc(maps.Values(s.registrations), func(a, b directory.Registration) int { return strings.Compare(a.ID, b.ID) })
	return weights.NextToLoad(targets, model, s.bounds.newest[model], s.loading)
}

// idle reports whether no move is under way.
func (m *generation) idle() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.run.Idle()
}

// hasCopiesLeft reports whether another destination may be tried, now or later.
func (m *generation) hasCopiesLeft() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.run.HasCopiesLeft()
}

// beginCopy records the start of a copy. It returns false if the run is not to be moved now. It
// takes no lock of the gateway or of a service.
func (m *generation) beginCopy(to runmove.Place) bool {
	if m.g.draining.Load() || !m.g.resumeAllowed(m.c) {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.g.clock.Now()
	if !m.run.MayCopy(now) {
		return false
	}
	// A retry that was taken for an earlier copy is still there.
	if !m.c.retryCharged.Load() && !m.budget.take() {
		return false
	}
	return m.run.BeginCopy(now, to)
}

// move copies the run of an attempt to another target while it goes on, then stops it and copies
// the rest. The stream that ends by this makes the request go on there.
func (m *generation) move(s *engineService, pl *enginePlacement, to directory.Registration, reason moveReason) {
	startedAt := m.g.clock.Now()
	m.mu.Lock()
	run := m.run
	m.mu.Unlock()
	result, handle := m.copyRun(pl.target, to, false)
	copiedAt := m.g.clock.Now()
	m.mu.Lock()
	stop := run.HandleCopy(result, handle)
	m.mu.Unlock()
	stopped := false
	if stop {
		result, stopped = m.stop(pl, run, to)
	}
	m.mu.Lock()
	if !stopped && !run.Stopping() {
		handle, _ = run.Abandon()
		m.free(pl.target, handle)
	}
	m.mu.Unlock()
	m.g.metrics.runMoved(reason, result, stopped)
	logline.Info("run_move", "request", m.c.ID, "reason", string(reason), "target", pl.target.ID, "to", to.ID, "stopped", stopped, "result", result.String(),
		"tokens", pl.heldTokens, "copy", copiedAt-startedAt, "stop", m.g.clock.Now()-copiedAt)
	if stopped {
		time.Sleep(stoppedStreamWait)
		s.cancelStopped(pl)
	}
}

// stop stops a run of which a copy exists, and reports whether it has stopped.
func (m *generation) stop(pl *enginePlacement, run *runmove.Run, to directory.Registration) (runmove.Result, bool) {
	if !m.g.resumeAllowed(m.c) {
		return runmove.Copied, false
	}
	resolved := make(chan struct{})
	defer close(resolved)
	m.mu.Lock()
	m.resolved = resolved
	m.mu.Unlock()
	result := runmove.Copied
	for again := true; again; {
		m.mu.Lock()
		begun := run.BeginStop()
		m.mu.Unlock()
		if !begun {
			return result, false // the run has ended meanwhile
		}
		var handle string
		result, handle = m.copyRun(pl.target, to, true)
		m.mu.Lock()
		again = run.HandleStop(result, handle)
		m.mu.Unlock()
		if again {
			time.Sleep(stopRetryDelay)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return result, run.Stopped()
}

// copyRun asks a target for a copy of the run.
func (m *generation) copyRun(from, to directory.Registration, stop bool) (runmove.Result, string) {
	timeout := copyTimeout
	if stop {
		timeout = stopTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	result, handle, err := m.g.control.CopyRun(ctx, from, RunCopy{RequestID: m.c.ID, Destination: to.Address, Stop: stop})
	if err != nil {
		logline.Error(err, "run_copy_failed", "request", m.c.ID, "target", from.ID, "to", to.ID, "stop", stop)
	}
	return result, handle
}

// cancelStopped closes the stream of a run that its target has stopped, if it is still open.
func (s *engineService) cancelStopped(pl *enginePlacement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, open := s.running[pl]; open {
		pl.cancelledHere = true
		pl.cancel()
	}
}

// continueRun lets a run that has stopped go on where its memory is.
func (g *Gateway) continueRun(ctx context.Context, c *call, relay *responseRelay) outcome {
	c.mayHaveRun = true
	for {
		a := c.generation.nextAttempt(relay)
		if a == nil {
			return relay.interruptedOutcome()
		}
		if refusal := g.revalidate(c); refusal != nil {
			a.onEnd(overload.Cancelled)
			return relay.interruptedOutcome()
		}
		if !c.retryCharged.Swap(false) && !g.retryBudget(c.service.Name).TakeRetry() {
			a.onEnd(overload.Cancelled)
			return relay.interruptedOutcome()
		}
		c.continuationCount++
		eventsBefore := relay.eventCount
		result := g.runAttempt(ctx, c, a, relay)
		g.metrics.runContinued(result)
		logline.Info("run_continued", "request", c.ID, "target", a.target.ID, "outcome", result.String(), "after_event", eventsBefore, "events", relay.eventCount)
		if ctx.Err() != nil || result != outcomeNotRun && result != outcomeNotSent {
			return result
		}
	}
}

// nextAttempt returns the attempt at the next place at which the stopped run may go on, or nil.
func (m *generation) nextAttempt(relay *responseRelay) *targetAttempt {
	if relay.lastEventID == "" {
		return nil // it is unknown after which event the run would go on
	}
	service := m.g.engineServiceOf(m.c)
	for {
		m.mu.Lock()
		next, ok := m.run.Next()
		m.mu.Unlock()
		if !ok {
			return nil
		}
		pl, ok := service.placeRun(m.g.newEngineRequest(m.c), next.At, m.at)
		if !ok {
			continue
		}
		a := m.g.newEngineAttempt(m.c, service, pl)
		a.continueFrom = next.Owner.Address + "/" + next.Handle
		onAnswer := a.onAnswer
		a.onAnswer = func() {
			if !pl.firstTokenSeen {
				m.continued(pl.target)
			}
			onAnswer()
		}
		return a
	}
}

// placeRun places a run at a target that has its memory. It returns false if the target doesn't
// take requests any more or may not take the run from the one where it started.
func (s *engineService) placeRun(r *engineRequest, at runmove.Place, startedAt directory.Registration) (*enginePlacement, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	target, usable := s.registrations[at.ID]
	i, known := s.pool.Find(at.ID)
	if !usable || !known || target.Address != at.Address || !mayTakeRun(&target, &startedAt) {
		return nil, false
	}
	r.Placement.PromptTokens, r.Placement.Chain, r.Placement.PieceEnds = 0, nil, nil // nothing is left to prefill
	t, b := s.pool.Target(i), s.breaker(at.ID)
	t.InFlight++
	t.HeldTokens += r.Placement.HeldTokens
	s.limits.recordSend(target.Incarnation())
	return &enginePlacement{
		target: target, breaker: b, ticket: b.Begin(), heldTokens: r.Placement.HeldTokens, eligibleTargets: s.pool.EligibleCount(), continued: true,
		send: engineSend{Request: r, Target: i, Identity: cacheIdentity(&target), SentAt: s.now()},
	}, true
}

func (m *gatewayMetrics) runMoved(reason moveReason, result runmove.Result, stopped bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`mastictray_run_moves_total{reason=%q,result=%q,stopped="%t"}`, string(reason), result.String(), stopped)).Inc()
}

func (m *gatewayMetrics) runContinued(result outcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`mastictray_run_continuations_total{outcome=%q}`, result.String())).Inc()
}
