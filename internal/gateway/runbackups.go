package gateway

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/runmove"
)

const (
	// backupMemoryShare is the fraction of a target's memory up to which backups may be added to
	// what runs there. It is below the one for moves: a backup is used rarely, and takes room from
	// cached pieces.
	backupMemoryShare = 0.5
	// takeOverTimeout bounds the call that stops a run whose stream has broken off. It is below
	// the 400 ms for which a target may work on a run that goes on elsewhere.
	takeOverTimeout = 200 * time.Millisecond
)

// runBackup is the room that a backup takes at its target.
type runBackup struct {
	s      *engineService
	at     directory.Registration
	tokens int
	once   sync.Once
}

// beginBackup chooses the target of a backup for a run that is about to be sent. It returns nil if
// the run gets none. Streams that may be resumed need none.
func (m *generation) beginBackup(a *targetAttempt) *runBackup {
	if !m.engine.BacksUpRuns || m.c.route.Repeatable() || a.placement == nil || !runmove.WorthBackup(m.c.Prompt.MaxOutputTokens) {
		return nil
	}
	s, pl := m.g.engineServiceOf(m.c), a.placement
	s.mu.Lock()
	defer s.mu.Unlock()
	at, found := s.copyDestination(pl, m.c.Prompt.Model, s.backups, backupMemoryShare)
	if !found {
		return nil
	}
	s.backups.Begin(at.ID, pl.heldTokens)
	s.addHeldTokens(at, pl.heldTokens)
	m.g.metrics.runBackedUp()
	return &runBackup{s: s, at: at, tokens: pl.heldTokens}
}

// addHeldTokens adds to the memory that this instance holds at a target, as known to peers. The
// caller holds s.mu.
func (s *engineService) addHeldTokens(at directory.Registration, tokens int) {
	if i, ok := s.pool.Find(at.ID); ok && s.registrations[at.ID].Incarnation() == at.Incarnation() {
		t := s.pool.Target(i)
		t.HeldTokens = max(0, t.HeldTokens+tokens)
	}
}

// release gives up the room of a backup. The target itself frees it when the run has ended.
func (b *runBackup) release() {
	if b == nil {
		return
	}
	b.once.Do(func() {
		b.s.mu.Lock()
		defer b.s.mu.Unlock()
		b.s.backups.End(b.at.ID, b.tokens)
		b.s.addHeldTokens(b.at, -b.tokens)
	})
}

// releaseAfter gives up the room of a backup that nobody uses, once it has expired.
func (b *runBackup) releaseAfter(expiry time.Duration) {
	if b != nil {
		time.AfterFunc(expiry, b.release)
	}
}

// hasBackup reports whether the run may go on at a backup.
func (m *generation) hasBackup() bool {
	if m == nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.run.HasBackup()
}

// backupAddress returns the address of the target to which the run is backed up; empty for none.
func (m *generation) backupAddress() string {
	if m == nil {
		return ""
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.backup == nil || !m.run.HasBackup() {
		return ""
	}
	return m.backup.at.Address
}

// takeOver decides whether a run whose attempt has failed goes on at its backup.
//
// A request that crashes its targets does so before its first event: it is not taken over after a
// lost connection until an event has arrived.
func (m *generation) takeOver(ctx context.Context, a *targetAttempt, relay *responseRelay, result outcome, err error) bool {
	if ctx.Err() != nil || !m.hasBackup() || result != outcomeTruncated && result != outcomeUnknown || a.pathFailed {
		return false
	}
	unreached := a.placement != nil && m.g.engineServiceOf(m.c).wasFoundUnreached(a.placement)
	if !unreached && (!relay.started || !connectionLost(err)) {
		return false
	}
	if !m.g.resumeAllowed(m.c) {
		return false
	}
	state := runmove.SourceState{Gone: unreached}
	if !unreached {
		state = m.askSource(ctx, a.target)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := m.run.TakeOver(state)
	m.g.metrics.runTakenOver(taken, unreached)
	logline.Info("run_take_over", "request", m.c.ID, "target", a.target.ID, "unreached", unreached, "gone", state.Gone, "result", state.Result.String(),
		"taken", taken, "started", relay.started, "last_event", relay.lastEventID)
	return taken
}

// wasFoundUnreached reports whether an attempt was ended because nobody reaches its target.
func (s *engineService) wasFoundUnreached(pl *enginePlacement) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return pl.foundUnreached
}

// askSource asks a target whose connection was lost to stop the run, in case it still works on it,
// and to copy it to the backup.
func (m *generation) askSource(ctx context.Context, source directory.Registration) runmove.SourceState {
	if !m.engine.MovesRuns {
		return runmove.SourceState{}
	}
	ctx, cancel := context.WithTimeout(ctx, takeOverTimeout)
	defer cancel()
	result, handle, err := m.g.control.CopyRun(ctx, source, RunCopy{RequestID: m.c.ID, Destination: m.backup.at.Address, Stop: true})
	return runmove.SourceState{
		Gone: errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, ErrOtherIncarnation), Result: result, Handle: handle,
	}
}
