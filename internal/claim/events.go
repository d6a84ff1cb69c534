package claim

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/platform"
)

// AppendDone handles the outcome of an Append. After platform.ErrOutage and
// platform.ErrRateLimited nothing was appended; after any other error the outcome is
// unknown.
func (m *Machine) AppendDone(now time.Duration, id uint64, err error) {
	m.now = now
	m.batcher.appendDone(now, id, err)
	if err != nil {
		m.stats.AppendErrors++
	}
}

// ApplyRecords applies the answer to a read from the offset ReadFrom. Records that
// were applied before are skipped. ErrGap means that the read has to be repeated.
// wallMillis is the Unix time at which the answer arrived.
func (m *Machine) ApplyRecords(now time.Duration, wallMillis int64, b platform.Batch) error {
	m.now, m.wallMillis = now, wallMillis
	for _, rec := range b.Records {
		if rec.Offset < m.table.next {
			continue
		}
		c, err := m.table.apply(rec)
		if err != nil {
			return errors.Wrap(err, "apply claim record")
		}
		m.stats.RecordsIn++
		m.stats.BytesIn += int64(len(rec.Data))
		m.recordApplied(rec.Offset, c)
	}
	m.table.addTimeEntry(TimeIndexEntry{Head: m.table.next, Millis: wallMillis})
	return nil
}

// Trimmed handles platform.ErrTrimmed: the records below start are lost.
func (m *Machine) Trimmed(now time.Duration, wallMillis int64, start platform.Offset) {
	m.now, m.wallMillis = now, wallMillis
	m.table.trimTo(start)
}

// BeginDispatch must be called after the answer Run, right before the first byte is
// sent to a target. After an error the request must not be sent: if the process was
// suspended since Run, the deadline may have passed and the caller may already have
// received the answer that the request did not run.
func (m *Machine) BeginDispatch(now time.Duration, id string) error {
	m.now = now
	r := m.byID[id]
	if r == nil || r.phase != phaseWon {
		return errors.Wrapf(ErrNotHolder, "begin dispatch id=%s", id)
	}
	if now >= r.Deadline {
		m.release(r)
		m.removeRequest(r)
		m.redecideWaiting(r.key)
		return errors.Wrapf(ErrNotHolder, "begin dispatch id=%s: deadline passed", id)
	}
	r.phase = phaseDispatched
	return nil
}

// Finish records the result of a dispatched request.
func (m *Machine) Finish(now time.Duration, id string, res Result) error {
	m.now = now
	r := m.byID[id]
	if r == nil || r.phase != phaseDispatched {
		return errors.Wrapf(ErrNotHolder, "finish id=%s", id)
	}
	if len(res.Body) > m.cfg.MaxBodyBytes {
		res.Body, res.BodyDropped = nil, true
	}
	queued := m.enqueueRecord(KindResult, &ResultRecord{Key: r.key, RequestHash: r.RequestHash, Attempt: r.attempt, Result: res}, nil)
	m.applyLocalResult(r, res, queued)
	m.removeRequest(r)
	m.redecideWaiting(r.key)
	return nil
}

// applyLocalResult makes the result available to retries at this instance before its
// record is read from the log.
func (m *Machine) applyLocalResult(r *request, res Result, queued bool) {
	if h := m.table.holders[r.key]; h != nil && h.Attempt == r.attempt {
		m.table.setResult(h, &res)
		delete(m.localRuns, r.key)
		return
	}
	if h := m.localRuns[r.key]; h != nil && queued {
		h.Result = &res
		return
	}
	delete(m.localRuns, r.key)
}

// Cancel releases the key of a request that was not sent. It is called after Run if
// the request will not be sent, after BeginDispatch if nothing of it reached a target,
// and if the caller disconnects while its request waits.
func (m *Machine) Cancel(now time.Duration, id string) {
	m.now = now
	r := m.byID[id]
	if r == nil {
		return
	}
	m.release(r)
	m.removeRequest(r)
	m.redecideWaiting(r.key)
}
