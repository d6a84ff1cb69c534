package wire

// Kinds of message about membership. None of them is a call.
const (
	// KindMemberPing asks a peer to answer with a KindMemberPong.
	KindMemberPing Kind = "member.ping"
	// KindMemberPong answers a ping.
	KindMemberPong Kind = "member.pong"
	// KindMemberNews pushes facts that are new to the sender.
	KindMemberNews Kind = "member.news"
)

// MemberBuckets is the number of digests in a ping: facts fall into buckets
// by the hash of their name, and only buckets that differ are exchanged.
const MemberBuckets = 32

// MemberState is what is known of an entry instance.
type MemberState uint8

// The states of a member. At equal versions the higher one wins.
const (
	MemberLive MemberState = iota
	MemberLeaving
	// MemberSilent: a peer that watches it hears nothing.
	MemberSilent
)

// MemberFact is one entry instance. A higher Order is a later process under
// the same name; Version is raised by the process itself.
type MemberFact struct {
	Identity Identity    `msgpack:"i"`
	Order    uint64      `msgpack:"o"`
	Version  uint64      `msgpack:"v"`
	State    MemberState `msgpack:"s"`
}

// TargetFact is one target. Draining, and Gone for one that the list does not
// name any more, are as of AsOfMillis of the platform's
// list; Epoch counts the incarnations seen, and Past names the latest ones.
type TargetFact struct {
	Target      string   `msgpack:"t"`
	Draining    bool     `msgpack:"d,omitempty"`
	Gone        bool     `msgpack:"g,omitempty"`
	AsOfMillis  int64    `msgpack:"a"`
	Incarnation string   `msgpack:"i,omitempty"`
	Epoch       uint64   `msgpack:"e,omitempty"`
	Past        []string `msgpack:"p,omitempty"`
}

// MemberBeat is the body of a ping and of a pong.
type MemberBeat struct {
	// Seq is the ping's number, repeated in the pong.
	Seq  uint64     `msgpack:"q"`
	From MemberFact `msgpack:"f"`
	// Facts is how many facts the sender has.
	Facts int `msgpack:"n"`
	// Digests has MemberBuckets entries.
	Digests []uint32 `msgpack:"g"`
}

// MemberNews carries facts. Taking them in again, or in another order,
// changes nothing.
type MemberNews struct {
	Members []MemberFact `msgpack:"m,omitempty"`
	Targets []TargetFact `msgpack:"t,omitempty"`
	// Exchange is set on facts sent because digests differ; they are not
	// pushed on.
	Exchange bool `msgpack:"x,omitempty"`
}
