package claim

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/platform"
)

// AppendDone takes the outcome of an Append. Any error other than
// platform.ErrOutage and platform.ErrRateLimited counts as unknown.
func (m *Machine) AppendDone(now time.Duration, id uint64, err error) {
	m.now = now
	m.batch.done(now, id, err)
	if err != nil {
		m.stats.AppendErrors++
	}
}

// ApplyRecords folds one answer to a read from ReadFrom. ApplyRecords folded before are
// skipped; ErrGap asks for a new read. wall is Unix milliseconds, taken when
// the answer arrived.
func (m *Machine) ApplyRecords(now time.Duration, wall int64, b platform.Batch) error {
	m.now, m.wall = now, wall
	for _, rec := range b.Records {
		if rec.Offset < m.table.next {
			continue
		}
		c, err := m.table.apply(rec)
		if err != nil {
			return errors.Wrap(err, "fold claims")
		}
		m.stats.RecordsIn++
		m.stats.BytesIn += int64(len(rec.Data))
		m.folded(rec.Offset, c)
	}
	m.table.mark(Mark{Head: m.table.next, Millis: wall})
	return nil
}

// Trimmed takes platform.ErrTrimmed: the records below start are lost.
func (m *Machine) Trimmed(now time.Duration, wall int64, start platform.Offset) {
	m.now, m.wall = now, wall
	m.table.trimmed(start)
}

// BeginDispatch is called after Run, right before the first byte goes to a
// target. An error means that the request must not be sent: a process that
// was paused since Run may find its deadline passed, and its caller is then
// told that the request was not run.
func (m *Machine) BeginDispatch(now time.Duration, id string) error {
	m.now = now
	r := m.byID[id]
	if r == nil || r.phase != phaseWon {
		return errors.Wrapf(ErrNotHolder, "begin dispatch id=%s", id)
	}
	if now >= r.Deadline {
		m.giveUp(r)
		m.forget(r)
		m.wakeKey(r.key)
		return errors.Wrapf(ErrNotHolder, "begin dispatch id=%s: deadline passed", id)
	}
	r.phase = phaseDispatched
	return nil
}

// Finish records what became of a dispatched request.
func (m *Machine) Finish(now time.Duration, id string, res Result) error {
	m.now = now
	r := m.byID[id]
	if r == nil || r.phase != phaseDispatched {
		return errors.Wrapf(ErrNotHolder, "finish id=%s", id)
	}
	if len(res.Body) > m.cfg.MaxBodyBytes {
		res.Body, res.BodyDropped = nil, true
	}
	kept := m.record(KindResult, &ResultRecord{Key: r.key, Request: r.RequestHash, Attempt: r.attempt, Result: res}, nil)
	m.learn(r, res, kept)
	m.forget(r)
	m.wakeKey(r.key)
	return nil
}

// learn lets repeats at this instance have the result before the log shows it.
func (m *Machine) learn(r *request, res Result, kept bool) {
	if h := m.table.holders[r.key]; h != nil && h.Attempt == r.attempt {
		m.table.setResult(h, &res)
		delete(m.ahead, r.key)
		return
	}
	if h := m.ahead[r.key]; h != nil && kept {
		h.Result = &res
		return
	}
	delete(m.ahead, r.key)
}

// Cancel is called after Run when the request will not be sent, or when
// nothing of it reached a target after BeginDispatch, and for a caller that
// went away while its request waited. It frees the key.
func (m *Machine) Cancel(now time.Duration, id string) {
	m.now = now
	r := m.byID[id]
	if r == nil {
		return
	}
	m.giveUp(r)
	m.forget(r)
	m.wakeKey(r.key)
}
