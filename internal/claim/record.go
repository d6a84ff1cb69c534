package claim

import (
	"github.com/mastictray/mastictray/internal/logrec"
	"github.com/mastictray/mastictray/internal/platform"
)

// Kinds of record in the claims stream.
const (
	KindClaim   logrec.Kind = "claim"
	KindResult  logrec.Kind = "claim.result"
	KindAbandon logrec.Kind = "claim.abandon"
)

// There is no "dispatching" record: nobody but the holder may dispatch, with
// or without it, so it would cost an append and change no decision.

// Claim asks for the right to run the request of a key.
type Claim struct {
	Key     KeyHash     `msgpack:"k"`
	Request RequestHash `msgpack:"r"`
	// Attempt is unique to this claim; a later claim by the same request
	// has another.
	Attempt     string `msgpack:"a"`
	Incarnation string `msgpack:"i"`
	// Address is the claimer's peer address.
	Address string `msgpack:"p"`
	// Head and HeadMillis say that at this wall time the claimer had read
	// every offset below Head. They date the stream for instances that
	// start later.
	Head       platform.Offset `msgpack:"h"`
	HeadMillis int64           `msgpack:"m"`
}

// Result is what became of a dispatched request.
type Result struct {
	// Unknown is set when a byte may have reached a target and no whole
	// answer came back.
	Unknown     bool   `msgpack:"u,omitempty"`
	Status      int    `msgpack:"s,omitempty"`
	ContentType string `msgpack:"c,omitempty"`
	Body        []byte `msgpack:"b,omitempty"`
	// BodyDropped is set when the body was too large to keep.
	BodyDropped bool `msgpack:"d,omitempty"`
}

// ResultRecord records the result of an attempt. On a key that nobody holds
// it takes the key: that is a run without a claim while the log was down.
type ResultRecord struct {
	Key     KeyHash     `msgpack:"k"`
	Request RequestHash `msgpack:"r"`
	Attempt string      `msgpack:"a"`
	Result  Result      `msgpack:"o"`
}

// Abandon frees the key: its holder will never dispatch.
type Abandon struct {
	Key     KeyHash `msgpack:"k"`
	Attempt string  `msgpack:"a"`
}
