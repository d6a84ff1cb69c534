package claim

import (
	"github.com/mastictray/mastictray/internal/logrec"
	"github.com/mastictray/mastictray/internal/platform"
)

// Kinds of record in the claims stream.
//
// There is no record for the start of a dispatch. Only the holder may dispatch, with or
// without such a record, so it would cost an append without affecting any decision.
const (
	KindClaim   logrec.Kind = "claim"
	KindResult  logrec.Kind = "claim.result"
	KindAbandon logrec.Kind = "claim.abandon"
)

// Claim requests the right to run the request with a key.
type Claim struct {
	Key         KeyHash     `msgpack:"k"`
	RequestHash RequestHash `msgpack:"r"`
	// Attempt is the id of this claim. A later claim by the same request has a
	// different one.
	Attempt     string `msgpack:"a"`
	Incarnation string `msgpack:"i"`
	// Address is the peer address of the instance that made the claim.
	Address string `msgpack:"p"`
	// Head and HeadMillis state that every record below Head had been read at the
	// Unix time HeadMillis. Instances that start later need them for their time index.
	Head       platform.Offset `msgpack:"h"`
	HeadMillis int64           `msgpack:"m"`
}

// Result is the outcome of a dispatched request.
type Result struct {
	// Unknown is set if a byte may have reached a target but no complete response was
	// received.
	Unknown     bool   `msgpack:"u,omitempty"`
	Status      int    `msgpack:"s,omitempty"`
	ContentType string `msgpack:"c,omitempty"`
	Body        []byte `msgpack:"b,omitempty"`
	// BodyDropped is set if the body was too large to store or was evicted.
	BodyDropped bool `msgpack:"d,omitempty"`
}

// ResultRecord records the result of an attempt. If the key has no holder, it also takes
// the key: the request ran without a claim while the log was down.
type ResultRecord struct {
	Key         KeyHash     `msgpack:"k"`
	RequestHash RequestHash `msgpack:"r"`
	Attempt     string      `msgpack:"a"`
	Result      Result      `msgpack:"o"`
}

// Abandon releases a key whose holder will never dispatch its request.
type Abandon struct {
	Key     KeyHash `msgpack:"k"`
	Attempt string  `msgpack:"a"`
}
