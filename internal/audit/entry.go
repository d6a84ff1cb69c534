package audit

// Outcome says what became of a change or an order.
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
	// Failed: the target did not come to serve what the order asked for.
	Failed Outcome = "failed"
	// Halted: the rollout stopped itself; the reason says why.
	Halted Outcome = "halted"
)

// Subject is one thing that a change touched.
type Subject struct {
	// Name is a file, a key id or a target.
	Name string `msgpack:"n" json:"name"`
	// Before and After are a file's revisions or a target's versions;
	// empty where there was none.
	Before string `msgpack:"b,omitempty" json:"before,omitempty"`
	After  string `msgpack:"a,omitempty" json:"after,omitempty"`
}

// Entry is one line of the trail.
type Entry struct {
	// Stream and Offset name the record that the entry is derived from.
	Stream string `msgpack:"s" json:"stream"`
	Offset int64  `msgpack:"f" json:"offset"`
	// AtMillis is the writer's wall clock in Unix milliseconds.
	AtMillis int64 `msgpack:"t" json:"at_ms"`
	// By is the operator or the instance that wrote the record.
	By string `msgpack:"w" json:"by"`
	// Op is the operation id that the writer chose.
	Op string `msgpack:"o" json:"op"`
	// Kind is the kind of record, such as "config.change".
	Kind     string    `msgpack:"k" json:"what"`
	Subjects []Subject `msgpack:"j,omitempty" json:"subjects,omitempty"`
	Outcome  Outcome   `msgpack:"r" json:"outcome"`
	Reason   string    `msgpack:"y,omitempty" json:"reason,omitempty"`
	// Winner and WinnerRevision name the change that a rejected one lost
	// to; the winner is empty when it lost to no other change.
	Winner         string `msgpack:"v,omitempty" json:"winner,omitempty"`
	WinnerRevision int64  `msgpack:"x,omitempty" json:"winner_revision,omitempty"`
	Note           string `msgpack:"m,omitempty" json:"note,omitempty"`
}

// Append gives a trail of at most limit entries with e as the newest. The
// given slice is not changed: states that share it stay as they are.
func Append(trail []Entry, e Entry, limit int) []Entry {
	if drop := len(trail) + 1 - limit; drop > 0 {
		trail = trail[drop:]
	}
	out := make([]Entry, 0, len(trail)+1)
	return append(append(out, trail...), e)
}
