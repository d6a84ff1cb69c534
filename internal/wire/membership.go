package wire

// Message kinds of the membership protocol. All are one-way messages.
const (
	// KindMemberPing requests a KindMemberPong.
	KindMemberPing Kind = "member.ping"
	// KindMemberPong acknowledges a ping.
	KindMemberPong Kind = "member.pong"
	// KindMemberUpdates pushes records that are new to the sender.
	KindMemberUpdates Kind = "member.news"
)

// DigestBuckets is the number of digests in a ping. Records are assigned to
// buckets by the hash of their name, and only buckets whose digests differ are
// exchanged.
const DigestBuckets = 32

// MemberState is the state of an entry instance.
type MemberState uint8

// Member states. Between records of equal version the higher state wins.
const (
	MemberLive MemberState = iota
	MemberLeaving
	// MemberSilent: the peer that monitors it gets no response.
	MemberSilent
)

// MemberRecord describes an entry instance. A later process under the same name
// has a higher Generation; Version is raised by the process itself.
type MemberRecord struct {
	Identity   Identity    `msgpack:"i"`
	Generation uint64      `msgpack:"o"`
	Version    uint64      `msgpack:"v"`
	State      MemberState `msgpack:"s"`
}

// TargetRecord describes a target. Draining and Gone (no longer listed) are as
// of AsOfMillis, the time of the platform's list. Epoch counts the observed
// incarnations; PastIncarnations holds the most recent earlier ones.
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
	// Seq is the sequence number of the ping, repeated in the pong.
	Seq  uint64       `msgpack:"q"`
	From MemberRecord `msgpack:"f"`
	// RecordCount is the number of records that the sender has.
	RecordCount int `msgpack:"n"`
	// Digests has DigestBuckets entries.
	Digests []uint32 `msgpack:"g"`
}

// MemberUpdates carries records. Merging them is idempotent and commutative.
type MemberUpdates struct {
	Members []MemberRecord `msgpack:"m,omitempty"`
	Targets []TargetRecord `msgpack:"t,omitempty"`
	// AntiEntropy is set on records that are sent because digests differ; the
	// receiver does not push them further.
	AntiEntropy bool `msgpack:"x,omitempty"`
}
