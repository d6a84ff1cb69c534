package audit

// Outcome is the result of a change or an order.
type Outcome string

// The outcomes.
const (
	// Accepted: the change is in force.
	Accepted Outcome = "accepted"
	// Rejected: the change had no effect; the reason says why.
	Rejected Outcome = "rejected"
	// Issued: the order was recorded before it was sent.
	Issued Outcome = "issued"
	// Observed: the target reported the state that the order asked for.
	Observed Outcome = "observed"
	// Failed: the target did not reach the state that the order asked for.
	Failed Outcome = "failed"
	// Halted: the rollout was stopped automatically; the reason says why.
	Halted Outcome = "halted"
)

// Subject is an object that a change affects.
type Subject struct {
	// Name is the name of a file or target, or the ID of a key.
	Name string `msgpack:"n" json:"name"`
	// Before and After are the revisions of a file, the versions of a target or
	// the account of a key; empty if there is none. After is "deleted" for a
	// deleted file and "withdrawn" for a withdrawn key.
	Before string `msgpack:"b,omitempty" json:"before,omitempty"`
	After  string `msgpack:"a,omitempty" json:"after,omitempty"`
}

// Entry is an entry of the audit trail.
type Entry struct {
	// Stream and Offset identify the record that the entry is derived from.
	Stream string `msgpack:"s" json:"stream"`
	Offset int64  `msgpack:"f" json:"offset"`
	// AtMillis is the writer's wall clock time in Unix milliseconds.
	AtMillis int64 `msgpack:"t" json:"at_ms"`
	// By is the operator or the instance that wrote the record.
	By string `msgpack:"w" json:"by"`
	// Op is the operation ID, chosen by the writer.
	Op string `msgpack:"o" json:"op"`
	// Kind is the kind of the record, such as "config.change".
	Kind     string    `msgpack:"k" json:"what"`
	Subjects []Subject `msgpack:"j,omitempty" json:"subjects,omitempty"`
	Outcome  Outcome   `msgpack:"r" json:"outcome"`
	Reason   string    `msgpack:"y,omitempty" json:"reason,omitempty"`
	// Winner and WinnerRevision are the author and the revision of the change
	// that a rejected one conflicts with. Winner is empty if it was rejected for
	// another reason.
	Winner         string `msgpack:"v,omitempty" json:"winner,omitempty"`
	WinnerRevision int64  `msgpack:"x,omitempty" json:"winner_revision,omitempty"`
	Note           string `msgpack:"m,omitempty" json:"note,omitempty"`
}

// Append returns a trail that ends with e and has at most limit entries. It
// copies the given trail, which other states may share.
func Append(trail []Entry, e Entry, limit int) []Entry {
	if drop := len(trail) + 1 - limit; drop > 0 {
		trail = trail[drop:]
	}
	out := make([]Entry, 0, len(trail)+1)
	return append(append(out, trail...), e)
}
