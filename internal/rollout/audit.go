package rollout

import (
	"github.com/mastictray/mastictray/internal/audit"
	"github.com/mastictray/mastictray/internal/logrec"
	"github.com/mastictray/mastictray/internal/platform"
)

// AuditEntry returns the audit entry for a record of the control stream, and
// false for records that change no target. It shows what was written, even if
// State ignores the record as invalid.
func AuditEntry(offset int64, e logrec.Envelope) (audit.Entry, bool) {
	out := audit.Entry{
		Stream: platform.StreamControl, Offset: offset, AtMillis: e.AtMillis, By: e.Writer, Kind: string(e.Kind),
	}
	switch e.Kind {
	case KindPool:
		var r PoolRecord
		err := e.DecodeBody(&r)
		return poolAuditEntry(out, r), err == nil
	case KindIssued:
		var r Issued
		err := e.DecodeBody(&r)
		out.Op, out.Outcome = r.ID.String(), audit.Issued
		out.Subjects = []audit.Subject{{Name: r.Target, Before: r.Before, After: r.Version}}
		return out, err == nil
	case KindSettled:
		var r Settled
		err := e.DecodeBody(&r)
		out.Op, out.Outcome, out.Reason = r.Order.String(), audit.Observed, r.Reason
		if r.Failed {
			out.Outcome = audit.Failed
		}
		out.Subjects = []audit.Subject{{Name: r.Target, After: r.Version}}
		return out, err == nil
	}
	return out, false
}

func poolAuditEntry(out audit.Entry, r PoolRecord) audit.Entry {
	out.Op, out.Outcome, out.Reason = r.State.ID.String(), audit.Accepted, r.State.Reason
	if r.State.Halted {
		out.Outcome = audit.Halted
	}
	out.Subjects = []audit.Subject{{Name: r.Pool, Before: r.State.LastGood, After: r.State.Effective()}}
	return out
}
