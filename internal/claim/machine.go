package claim

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/logrec"
	"github.com/mastictray/mastictray/internal/platform"
)

// Machine decides, for one instance, which requests with an idempotency key run. It is
// not safe for concurrent use.
type Machine struct {
	cfg       Config
	table     *table
	batcher   *batcher
	byID      map[string]*request
	byAttempt map[string]*request
	// byKey holds the unfinished requests of each key, oldest first.
	byKey map[KeyHash][]*request
	// orphans maps the attempts of released claims that may still reach the log to their
	// keys. One that takes its key is abandoned. orphanOrder lists them oldest first.
	orphans     map[string]KeyHash
	orphanOrder []string
	// localRuns holds runs of this instance that are not in the table yet.
	localRuns map[KeyHash]*Holder
	// endedProcesses holds the incarnations that have ended. endedOrder lists them oldest
	// first.
	endedProcesses map[string]bool
	endedOrder     []string
	answers        []Answer
	stats          Stats
	// now and wallMillis are the times of the current event.
	now        time.Duration
	wallMillis int64
}

const (
	maxOrphans        = 4096
	maxEndedProcesses = 4096
)

// New returns a machine with an empty table.
func New(cfg Config) *Machine {
	cfg = cfg.withDefaults()
	return &Machine{
		cfg: cfg, table: newTable(cfg), batcher: newBatcher(cfg),
		byID: map[string]*request{}, byAttempt: map[string]*request{},
		byKey:   map[KeyHash][]*request{},
		orphans: map[string]KeyHash{}, localRuns: map[KeyHash]*Holder{},
		endedProcesses: map[string]bool{},
		stats:          Stats{Answers: map[State]int64{}},
	}
}

// Ready holds the work that is due.
type Ready struct {
	Appends []Append
	Answers []Answer
}

// Ready returns the work that is due and clears it. It must be called after every event.
func (m *Machine) Ready(now time.Duration) Ready {
	r := Ready{Answers: m.answers}
	m.answers = nil
	for {
		a, ok := m.batcher.nextBatch(now)
		if !ok {
			return r
		}
		m.stats.Appends++
		m.stats.RecordsOut += int64(len(a.Records))
		for _, data := range a.Records {
			m.stats.BytesOut += int64(len(data))
		}
		r.Appends = append(r.Appends, a)
	}
}

// Begin starts to decide a request. wallMillis is Unix time.
func (m *Machine) Begin(now time.Duration, wallMillis int64, req Request) error {
	if m.byID[req.ID] != nil {
		return errors.Wrapf(ErrDuplicateID, "begin id=%s", req.ID)
	}
	m.now, m.wallMillis = now, wallMillis
	r := &request{
		Request: req, key: HashKey(req.Account, req.Key),
		claimDeadline: min(req.Deadline, now+m.cfg.ClaimTimeout),
	}
	m.byID[r.ID] = r
	m.byKey[r.key] = append(m.byKey[r.key], r)
	m.decide(r)
	return nil
}

// Tick handles timeouts and drops expired keys. wallMillis is Unix time.
func (m *Machine) Tick(now time.Duration, wallMillis int64) {
	m.now, m.wallMillis = now, wallMillis
	m.table.expire(wallMillis)
	for _, r := range m.overdue(now) {
		m.handleTimeout(r)
		m.redecideWaiting(r.key)
	}
}

// overdue returns the requests whose deadline has passed, sorted by id: machines with
// equal input must behave equally.
func (m *Machine) overdue(now time.Duration) []*request {
	var out []*request
	for _, r := range m.byID {
		switch {
		case r.phase == phaseWaiting && now >= r.Deadline,
			r.phase == phaseWon && now >= r.Deadline,
			r.phase == phaseClaiming && now >= r.claimDeadline:
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *request) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (m *Machine) handleTimeout(r *request) {
	switch r.phase {
	case phaseWaiting:
		m.answer(r, Answer{State: InProgress, HolderAddress: m.holderAddress(r.key)})
	case phaseWon:
		m.release(r)
		m.answer(r, Answer{State: Unavailable})
	case phaseClaiming:
		m.claimFailed(r)
	}
}

// claimFailed handles a request whose claim could not be made in time.
func (m *Machine) claimFailed(r *request) {
	if r.RunWhenLogDown {
		m.runUnclaimed(r)
		return
	}
	m.release(r)
	m.answer(r, Answer{State: Unavailable})
}

// NextWakeup returns the time of the next call of Tick and Ready that has an effect. ok
// is false if nothing happens before another method is called.
func (m *Machine) NextWakeup() (at time.Duration, ok bool) {
	at, ok = m.batcher.nextWakeup()
	for _, r := range m.byID {
		deadline := r.Deadline
		switch r.phase {
		case phaseClaiming:
			deadline = r.claimDeadline
		case phaseDispatched, phaseDone:
			continue
		}
		if !ok || deadline < at {
			at, ok = deadline, true
		}
	}
	return at, ok
}

// ProcessEnded reports that a process has ended. Requests that wait for its results are
// answered at once.
func (m *Machine) ProcessEnded(now time.Duration, incarnation string) {
	m.now = now
	if m.endedProcesses[incarnation] {
		return
	}
	m.endedProcesses[incarnation] = true
	m.endedOrder = append(m.endedOrder, incarnation)
	if len(m.endedOrder) > maxEndedProcesses {
		delete(m.endedProcesses, m.endedOrder[0])
		m.endedOrder = m.endedOrder[1:]
	}
	for _, key := range m.waitingKeys() {
		m.redecideWaiting(key)
	}
}

// waitingKeys returns the keys of unfinished requests in a fixed order.
func (m *Machine) waitingKeys() []KeyHash {
	keys := make([]KeyHash, 0, len(m.byKey))
	for k := range m.byKey {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b KeyHash) int { return slices.Compare(a[:], b[:]) })
	return keys
}

// answer queues an answer and removes the request, unless the answer is Run.
func (m *Machine) answer(r *request, a Answer) {
	a.ID = r.ID
	m.answers = append(m.answers, a)
	m.stats.Answers[a.State]++
	if a.State != Run {
		m.removeRequest(r)
	}
}

func (m *Machine) removeRequest(r *request) {
	r.phase = phaseDone
	delete(m.byID, r.ID)
	remaining := slices.DeleteFunc(m.byKey[r.key], func(o *request) bool { return o == r })
	if len(remaining) == 0 {
		delete(m.byKey, r.key)
	} else {
		m.byKey[r.key] = remaining
	}
	if r.attempt != "" && m.orphans[r.attempt] != r.key {
		delete(m.byAttempt, r.attempt)
	}
}

// enqueueRecord queues a record for the claims stream and reports whether it did. owner
// is the request of a claim, nil for other records.
func (m *Machine) enqueueRecord(kind logrec.Kind, body any, owner *request) bool {
	data, err := logrec.Encode(kind, m.cfg.Incarnation, m.wallMillis, body)
	if err != nil || owner == nil && m.batcher.reserveFull() {
		m.stats.Dropped++
		return false
	}
	q := queuedRecord{data: data, queuedAt: m.now, owner: owner}
	if owner != nil {
		q.attempt = owner.attempt
	}
	m.batcher.add(q)
	return true
}

// nextAttempt gives the request's next claim an id of its own.
func (r *request) nextAttempt() {
	r.claimCount++
	r.attempt = r.ID
	if r.claimCount > 1 {
		r.attempt = fmt.Sprintf("%s/%d", r.ID, r.claimCount)
	}
}

// ReadFrom returns the offset from which to read the claims stream next.
func (m *Machine) ReadFrom() platform.Offset { return m.table.next }
