package rollout

import (
	"fmt"

	"github.com/mastictray/mastictray/internal/logrec"
)

// Kinds of record in the control stream.
const (
	// KindPool is the state of a pool's rollout after a change of it.
	KindPool logrec.Kind = "rollout.pool"
	// KindIssued comes before the first send of an order.
	KindIssued logrec.Kind = "order.issued"
	// KindSettled says what became of an order.
	KindSettled logrec.Kind = "order.settled"
)

// OrderID names one order. Ids of a target only go up: by fencing token, and
// by the holder's own count.
type OrderID struct {
	Token int64  `msgpack:"t"`
	Seq     uint64 `msgpack:"n"`
}

// String is the order id as targets and logs see it.
func (o OrderID) String() string { return fmt.Sprintf("%d-%d", o.Token, o.Seq) }

func (o OrderID) after(p OrderID) bool {
	return o.Token > p.Token || o.Token == p.Token && o.Seq > p.Seq
}

// PoolState is what a rollout of one pool has come to.
type PoolState struct {
	// ID orders the records of a pool: an append that arrives late must not
	// undo what came after it.
	ID    OrderID `msgpack:"i"`
	Model string  `msgpack:"m"`
	// Version is what operators want.
	Version string `msgpack:"v"`
	// LastGood is the last version that all targets served; empty if unknown.
	LastGood string `msgpack:"g,omitempty"`
	// Halted versions are rolled back to Good. Operators go on by wanting
	// another version.
	Halted bool   `msgpack:"h,omitempty"`
	Reason string `msgpack:"r,omitempty"`
}

// Effective is the version that targets are brought to; empty for none.
func (p PoolState) Effective() string {
	if p.Halted {
		return p.LastGood
	}
	return p.Version
}

// PoolRecord is the body of KindPool.
type PoolRecord struct {
	Pool  string    `msgpack:"p"`
	State PoolState `msgpack:"s"`
}

// Issued is the body of KindIssued.
type Issued struct {
	ID     OrderID `msgpack:"i"`
	Pool   string  `msgpack:"p"`
	Target string  `msgpack:"t"`
	Model  string  `msgpack:"m"`
	// Before is the version that the target had, Version the one it gets.
	Before  string `msgpack:"b,omitempty"`
	Version string `msgpack:"v"`
	// Incarnation is the target's when the order was decided.
	Incarnation string `msgpack:"n,omitempty"`
}

// Settled is the body of KindSettled.
type Settled struct {
	// Token is the writer's, who may be a later holder than the order's.
	Token   int64   `msgpack:"k"`
	Order   OrderID `msgpack:"i"`
	Pool    string  `msgpack:"p"`
	Target  string  `msgpack:"t"`
	Version string  `msgpack:"v"`
	// Failed orders have a reason; the others were observed.
	Failed bool   `msgpack:"f,omitempty"`
	Reason string `msgpack:"r,omitempty"`
}
