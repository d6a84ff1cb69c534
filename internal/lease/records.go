package lease

import (
	"strconv"
	"strings"

	"github.com/mastictray/mastictray/internal/logrec"
	"github.com/mastictray/mastictray/internal/platform"
)

// Kinds of the lease records in the control stream.
const (
	KindJoin    logrec.Kind = "lease.join"
	KindLeave   logrec.Kind = "lease.leave"
	KindAcquire logrec.Kind = "lease.acquire"
	KindRenew   logrec.Kind = "lease.renew"
	KindYield   logrec.Kind = "lease.yield"
)

// Resource is the name of what is leased, such as "mint/kul-a/0" or
// "duty/rollout".
type Resource string

// rateSlotPrefix begins the names of rate slots. A rate slot, or mint slot in the
// settings, is one of the equal parts of a domain's share of all accounts' rates;
// its holder issues the tokens of that part.
const rateSlotPrefix = "mint/"

// RateSlot returns the resource of a domain's slot with the given number.
func RateSlot(domain string, slot int) Resource {
	return Resource(rateSlotPrefix + domain + "/" + strconv.Itoa(slot))
}

// Domain returns the failure domain whose members may hold the resource; empty
// when any instance may.
func (r Resource) Domain() string {
	rest, ok := strings.CutPrefix(string(r), rateSlotPrefix)
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

// Join registers an incarnation. Only registered ones may hold leases.
type Join struct {
	Member Member `msgpack:"m"`
}

// Leave removes an incarnation and frees what it holds. The incarnation appends
// it itself at the end of a graceful shutdown. An operator may append it for a
// machine that is certainly gone.
type Leave struct {
	ID string `msgpack:"i"`
}

// Basis is the reason why an acquire is allowed.
type Basis string

// The bases of an acquire.
const (
	// BasisFree: the resource has no holder.
	BasisFree Basis = "free"
	// BasisSuccessor: the holder is an earlier incarnation at the writer's
	// address.
	BasisSuccessor Basis = "successor"
	// BasisExpired: the holder has not renewed for longer than the TTL. Valid only
	// if the holder had applied the writer's join when it wrote its last record.
	BasisExpired Basis = "lapsed"
	// BasisHoldExpired: the holder has not renewed for longer than the hold time.
	BasisHoldExpired Basis = "hold"
)

// Acquire takes a resource.
type Acquire struct {
	Resource Resource `msgpack:"r"`
	Holder   string   `msgpack:"h"`
	Basis    Basis    `msgpack:"b"`
	// ExpectedOffset is the offset of the resource's last valid record that the
	// writer had applied, or NoOffset. The acquire is invalid if another valid
	// record came after it.
	ExpectedOffset platform.Offset `msgpack:"o"`
	// AppliedThrough is the last offset that the writer had applied.
	AppliedThrough platform.Offset `msgpack:"s"`
	// Seq numbers the writer's records.
	Seq uint64 `msgpack:"q"`
}

// Renew extends all leases of a holder at once.
type Renew struct {
	Holder         string          `msgpack:"h"`
	Leases         []Renewal       `msgpack:"l"`
	AppliedThrough platform.Offset `msgpack:"s"`
	Seq            uint64          `msgpack:"q"`
}

// Renewal extends one lease.
type Renewal struct {
	Resource Resource        `msgpack:"r"`
	Token    platform.Offset `msgpack:"t"`
	// ClaimsFloor is set once the holder has waited for the hold time of a
	// former holder. From this record on the holder has the floor too.
	ClaimsFloor bool `msgpack:"f,omitempty"`
}

// Yield releases the floor of an expired lease before the hold time has passed.
type Yield struct {
	Resource Resource `msgpack:"r"`
	// Owner is the former holder that might still use the floor.
	Owner string `msgpack:"o"`
	// Writer is the owner itself, or a later incarnation at its address, whose
	// existence proves that the owner is dead.
	Writer string `msgpack:"b"`
}

// NoOffset stands for "no record".
const NoOffset platform.Offset = -1
