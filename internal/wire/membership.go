package wire

// Kinds of message about membership. None of them is a call.
const (
	// KindMemberPing asks a peer to answer with a KindMemberPong.
	KindMemberPing Kind = "member.ping"
	// KindMemberPong answers a ping.
	KindMemberPong Kind = "member.pong"
	// KindMemberUpdates pushes facts that are new to the sender.
	KindMemberUpdates Kind = "member.news"
)

// DigestBuckets is the number of digests in a ping: facts fall into buckets
// by the hash of their name, and only buckets that differ are exchanged.
const DigestBuckets = 32

// MemberState is what is known of an entry instance.
type MemberState uint8

// The states of a member. At equal versions the higher one wins.
const (
	MemberLive MemberState = iota
	MemberLeaving
	// MemberSilent: a peer that watches it hears nothing.
	MemberSilent
)

// MemberRecord is one entry instance. A higher Order is a later process under
// the same name; Version is raised by the process itself.
type MemberRecord struct {
	Identity   Identity    `msgpack:"i"`
	Generation uint64      `msgpack:"o"`
	Version    uint64      `msgpack:"v"`
	State      MemberState `msgpack:"s"`
}

// TargetRecord is one target. Draining, and Gone for one that the list does not
// name any more, are as of AsOfMillis of the platform's
// list; Epoch counts the incarnations seen, and Past names the latest ones.
type TargetRecord struct {
	Target           string   `msgpack:"t"`
	Draining         bool     `msgpack:"d,omitempty"`
	Gone             bool     `msgpack:"g,omitempty"`
	AsOfMillis       int64    `msgpack:"a"`
	Incarnation      string   `msgpack:"i,omitempty"`
	Epoch            uint64   `msgpack:"e,omitempty"`
	PastIncarnations []string `msgpack:"p,omitempty"`
}

// MemberPing is the body of a ping and of a pong.
type MemberPing struct {
	// Seq is the ping's number, repeated in the pong.
	Seq  uint64       `msgpack:"q"`
	From MemberRecord `msgpack:"f"`
	// RecordCount is how many facts the sender has.
	RecordCount int `msgpack:"n"`
	// Digests has MemberBuckets entries.
	Digests []uint32 `msgpack:"g"`
}

// MemberUpdates carries facts. Taking them in again, or in another order,
// changes nothing.
type MemberUpdates struct {
	Members []MemberRecord `msgpack:"m,omitempty"`
	Targets []TargetRecord `msgpack:"t,omitempty"`
	// AntiEntropy is set on facts sent because digests differ; they are not
	// pushed on.
	AntiEntropy bool `msgpack:"x,omitempty"`
}
