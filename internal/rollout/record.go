package rollout

import (
	"fmt"

	"github.com/mastictray/mastictray/internal/logrec"
)

// Kinds of the rollout records in the control stream.
const (
	// KindPool records the state of a pool's rollout after a change.
	KindPool logrec.Kind = "rollout.pool"
	// KindIssued records an order before it is first sent.
	KindIssued logrec.Kind = "order.issued"
	// KindSettled records the outcome of an order.
	KindSettled logrec.Kind = "order.settled"
)

// OrderID identifies an order. The ids of a target's orders only increase: by
// fencing token, then by the holder's own count.
type OrderID struct {
	Token int64  `msgpack:"t"`
	Seq   uint64 `msgpack:"n"`
}

// String formats the order id as targets and logs show it.
func (o OrderID) String() string { return fmt.Sprintf("%d-%d", o.Token, o.Seq) }

func (o OrderID) after(p OrderID) bool {
	return o.Token > p.Token || o.Token == p.Token && o.Seq > p.Seq
}

// PoolState is the state of one pool's rollout.
type PoolState struct {
	// ID orders the records of a pool, so that a record appended late does not
	// undo newer ones.
	ID    OrderID `msgpack:"i"`
	Model string  `msgpack:"m"`
	// Version is the version that operators want.
	Version string `msgpack:"v"`
	// LastGood is the last version that all targets served; empty if unknown.
	LastGood string `msgpack:"g,omitempty"`
	// Halted is set when the version was rolled back to LastGood. Operators
	// continue by choosing another version.
	Halted bool   `msgpack:"h,omitempty"`
	Reason string `msgpack:"r,omitempty"`
}

// Effective returns the version that targets are brought to; empty for none.
func (p PoolState) Effective() string {
	if p.Halted {
		return p.LastGood
	}
	return p.Version
}

// PoolRecord is the body of a KindPool record.
type PoolRecord struct {
	Pool  string    `msgpack:"p"`
	State PoolState `msgpack:"s"`
}

// Issued is the body of a KindIssued record.
type Issued struct {
	ID     OrderID `msgpack:"i"`
	Pool   string  `msgpack:"p"`
	Target string  `msgpack:"t"`
	Model  string  `msgpack:"m"`
	// Before is the version that the target served when the order was decided.
	// Version is the one to load.
	Before  string `msgpack:"b,omitempty"`
	Version string `msgpack:"v"`
	// Incarnation is the target's incarnation when the order was decided.
	Incarnation string `msgpack:"n,omitempty"`
}

// Settled is the body of a KindSettled record.
type Settled struct {
	// Token is the fencing token of the writer, which may be a later holder
	// than the order's.
	Token   int64   `msgpack:"k"`
	Order   OrderID `msgpack:"i"`
	Pool    string  `msgpack:"p"`
	Target  string  `msgpack:"t"`
	Version string  `msgpack:"v"`
	// Failed is set, with a Reason, unless the target was observed to serve the
	// version.
	Failed bool   `msgpack:"f,omitempty"`
	Reason string `msgpack:"r,omitempty"`
}
