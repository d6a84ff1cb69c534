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

// Machine decides for one instance which keyed requests run. It is not safe
// for concurrent use.
type Machine struct {
	cfg     Config
	table   *table
	batch   *batcher
	byID    map[string]*request
	byClaim map[string]*request
	// byKey has the unfinished requests of each key, the oldest first.
	byKey map[KeyHash][]*request
	// orphans are claims given up while they may reach the log: once folded
	// as holder they are abandoned.
	orphans map[string]KeyHash
	orphanQ []string
	// ahead has the runs of this instance that the fold does not show yet.
	ahead   map[KeyHash]*Holder
	gone    map[string]bool
	goneQ   []string
	answers []Answer
	stats   Stats
	// now and wall are those of the present event.
	now  time.Duration
	wall int64
}

const (
	maxOrphans = 4096
	maxGone    = 4096
)

// New makes a machine with an empty fold.
func New(cfg Config) *Machine {
	cfg = cfg.withDefaults()
	return &Machine{
		cfg: cfg, table: newTable(cfg), batch: newBatcher(cfg),
		byID: map[string]*request{}, byClaim: map[string]*request{},
		byKey:   map[KeyHash][]*request{},
		orphans: map[string]KeyHash{}, ahead: map[KeyHash]*Holder{},
		gone:  map[string]bool{},
		stats: Stats{Answers: map[State]int64{}},
	}
}

// Ready is the work that the machine hands out.
type Ready struct {
	Appends []Append
	Answers []Answer
}

// Ready returns the work that is due and clears it. Call it after every event.
func (m *Machine) Ready(now time.Duration) Ready {
	r := Ready{Answers: m.answers}
	m.answers = nil
	for {
		a, ok := m.batch.next(now)
		if !ok {
			return r
		}
		m.stats.Appends++
		m.stats.RecordsOut += int64(len(a.Records))
		for _, d := range a.Records {
			m.stats.BytesOut += int64(len(d))
		}
		r.Appends = append(r.Appends, a)
	}
}

// Begin takes a request. wall is Unix milliseconds.
func (m *Machine) Begin(now time.Duration, wall int64, req Request) error {
	if m.byID[req.ID] != nil {
		return errors.Wrapf(ErrDuplicateID, "begin id=%s", req.ID)
	}
	m.now, m.wall = now, wall
	r := &request{
		Request: req, key: HashKey(req.Account, req.Key),
		claimBy: min(req.Deadline, now+m.cfg.ClaimTimeout),
	}
	m.byID[r.ID] = r
	m.byKey[r.key] = append(m.byKey[r.key], r)
	m.decide(r)
	return nil
}

// Tick moves the time on. wall is Unix milliseconds.
func (m *Machine) Tick(now time.Duration, wall int64) {
	m.now, m.wall = now, wall
	m.table.expire(wall)
	for _, r := range m.overdue(now) {
		m.timeout(r)
		m.wakeKey(r.key)
	}
}

// overdue lists in a fixed order, so that equal machines act alike.
func (m *Machine) overdue(now time.Duration) []*request {
	var out []*request
	for _, r := range m.byID {
		switch {
		case r.phase == phaseWaiting && now >= r.Deadline,
			r.phase == phaseWon && now >= r.Deadline,
			r.phase == phaseClaiming && now >= r.claimBy:
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *request) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (m *Machine) timeout(r *request) {
	switch r.phase {
	case phaseWaiting:
		m.answer(r, Answer{State: InProgress, HolderAddress: m.holderAddress(r.key)})
	case phaseWon:
		m.giveUp(r)
		m.answer(r, Answer{State: Unavailable})
	case phaseClaiming:
		m.claimFailed(r)
	}
}

// claimFailed ends the wait for a claim that could not be had.
func (m *Machine) claimFailed(r *request) {
	if r.RunWhenLogDown {
		m.runUnclaimed(r)
		return
	}
	m.giveUp(r)
	m.answer(r, Answer{State: Unavailable})
}

// NextWakeup is when Tick or Ready next has something to do; ok is false when the
// machine waits for nothing but calls.
func (m *Machine) NextWakeup() (at time.Duration, ok bool) {
	at, ok = m.batch.wake()
	for _, r := range m.byID {
		d := r.Deadline
		switch r.phase {
		case phaseClaiming:
			d = r.claimBy
		case phaseDispatched, phaseOver:
			continue
		}
		if !ok || d < at {
			at, ok = d, true
		}
	}
	return at, ok
}

// ProcessEnded tells that a process has ended for good: requests that wait for
// its results are answered at once.
func (m *Machine) ProcessEnded(now time.Duration, incarnation string) {
	m.now = now
	if m.gone[incarnation] {
		return
	}
	m.gone[incarnation] = true
	m.goneQ = append(m.goneQ, incarnation)
	if len(m.goneQ) > maxGone {
		delete(m.gone, m.goneQ[0])
		m.goneQ = m.goneQ[1:]
	}
	for _, key := range m.waitingKeys() {
		m.wakeKey(key)
	}
}

func (m *Machine) waitingKeys() []KeyHash {
	keys := make([]KeyHash, 0, len(m.byKey))
	for k := range m.byKey {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b KeyHash) int { return slices.Compare(a[:], b[:]) })
	return keys
}

// answer ends a request, except after Run.
func (m *Machine) answer(r *request, a Answer) {
	a.ID = r.ID
	m.answers = append(m.answers, a)
	m.stats.Answers[a.State]++
	if a.State != Run {
		m.forget(r)
	}
}

func (m *Machine) forget(r *request) {
	r.phase = phaseOver
	delete(m.byID, r.ID)
	left := slices.DeleteFunc(m.byKey[r.key], func(o *request) bool { return o == r })
	if len(left) == 0 {
		delete(m.byKey, r.key)
	} else {
		m.byKey[r.key] = left
	}
	if r.attempt != "" && m.orphans[r.attempt] != r.key {
		delete(m.byClaim, r.attempt)
	}
}

func (m *Machine) record(kind logrec.Kind, body any, live *request) bool {
	data, err := logrec.Encode(kind, m.cfg.Incarnation, m.wall, body)
	if err != nil || live == nil && m.batch.overfull() {
		m.stats.Dropped++
		return false
	}
	i := item{data: data, queued: m.now, live: live}
	if live != nil {
		i.attempt = live.attempt
	}
	m.batch.add(i)
	return true
}

func (r *request) nextAttempt() {
	r.claims++
	r.attempt = r.ID
	if r.claims > 1 {
		r.attempt = fmt.Sprintf("%s/%d", r.ID, r.claims)
	}
}

// ReadFrom is the offset to read the claims stream from next.
func (m *Machine) ReadFrom() platform.Offset { return m.table.next }
