package lease

import (
	"strconv"
	"strings"

	"github.com/mastictray/mastictray/internal/logrec"
	"github.com/mastictray/mastictray/internal/platform"
)

// Kinds of the records in the control stream.
const (
	KindJoin    logrec.Kind = "lease.join"
	KindLeave   logrec.Kind = "lease.leave"
	KindAcquire logrec.Kind = "lease.acquire"
	KindRenew   logrec.Kind = "lease.renew"
	KindYield   logrec.Kind = "lease.yield"
)

// Resource names what is leased, such as "mint/kul-a/0" or "duty/rollout".
type Resource string

const mintPrefix = "mint/"

// MintSlot names a slot of a domain's part of all rates.
func MintSlot(domain string, slot int) Resource {
	return Resource(mintPrefix + domain + "/" + strconv.Itoa(slot))
}

// Domain is the failure domain whose members may hold the resource; empty
// when any instance may.
func (r Resource) Domain() string {
	rest, ok := strings.CutPrefix(string(r), mintPrefix)
	if !ok {
		return ""
	}
	domain, _, _ := strings.Cut(rest, "/")
	return domain
}

// Member is one incarnation of an instance.
type Member struct {
	// ID is unique to the incarnation.
	ID      string `msgpack:"i"`
	Domain  string `msgpack:"d"`
	Address string `msgpack:"a"`
}

// Join makes an incarnation known. Only known ones may hold leases.
type Join struct {
	Member Member `msgpack:"m"`
}

// Leave removes an incarnation and frees what it holds. The incarnation itself
// appends it at the end of a graceful shutdown. An operator may append it for
// a machine that is certainly gone.
type Leave struct {
	ID string `msgpack:"i"`
}

// Basis says why an acquire is due.
type Basis string

// The bases of an acquire.
const (
	// BasisFree: the resource had no holder.
	BasisFree Basis = "free"
	// BasisSuccessor: the holder was an earlier incarnation at this address.
	BasisSuccessor Basis = "successor"
	// BasisExpired: the holder did not renew for longer than the TTL.
	BasisExpired Basis = "lapsed"
	// BasisHoldExpired: the holder did not renew for longer than the hold time.
	BasisHoldExpired Basis = "hold"
)

// Acquire takes a resource.
type Acquire struct {
	Resource Resource `msgpack:"r"`
	Holder   string   `msgpack:"h"`
	Basis    Basis    `msgpack:"b"`
	// ExpectedOffset is the offset of the resource's last valid record that the
	// writer had folded, or NoOffset.
	ExpectedOffset platform.Offset `msgpack:"o"`
	// AppliedThrough is the last offset that the writer had folded.
	AppliedThrough platform.Offset `msgpack:"s"`
	// Seq numbers the writer's records.
	Seq uint64 `msgpack:"q"`
}

// Renew extends all leases of a holder at once.
type Renew struct {
	Holder string          `msgpack:"h"`
	Leases []Renewal       `msgpack:"l"`
	AppliedThrough   platform.Offset `msgpack:"s"`
	Seq    uint64          `msgpack:"q"`
}

// Renewal extends one lease.
type Renewal struct {
	Resource Resource        `msgpack:"r"`
	Token    platform.Offset `msgpack:"t"`
	// ClaimsFloor says that the holder has waited out the hold time of an earlier
	// holder and from this record on holds the floor too.
	ClaimsFloor bool `msgpack:"f,omitempty"`
}

// Yield gives up the floor of a lapsed lease before the hold time is over.
type Yield struct {
	Resource Resource `msgpack:"r"`
	// Owner is the former holder that might still use the floor.
	Owner string `msgpack:"o"`
	// Writer is the owner itself, or a later incarnation at its address: then
	// the owner is dead.
	Writer string `msgpack:"b"`
}

// NoOffset stands for "no record".
const NoOffset platform.Offset = -1
