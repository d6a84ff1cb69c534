package wire

// Kinds of message about claims.
const (
	// KindClaimSnapshot asks a peer for a page of its fold of the claims
	// stream; the answer is a ClaimPage.
	KindClaimSnapshot Kind = "claim.snapshot"
)

// ClaimSnapshotRequest asks for the holders claimed from an offset on; -1 gives
// the first page.
type ClaimSnapshotRequest struct {
	From  int64 `msgpack:"f"`
	Limit int   `msgpack:"m"`
}

// ClaimPage is a part of a fold of the claims stream, in claim order.
type ClaimPage struct {
	Start   int64         `msgpack:"s"`
	Next    int64         `msgpack:"n"`
	Marks   []ClaimMark   `msgpack:"m"`
	Holders []ClaimHolder `msgpack:"h"`
	More    bool          `msgpack:"o,omitempty"`
	After   int64         `msgpack:"a,omitempty"`
}

// ClaimMark says that offsets below Head were appended before Millis (Unix).
type ClaimMark struct {
	Head   int64 `msgpack:"h"`
	Millis int64 `msgpack:"m"`
}

// ClaimHolder is who holds a key, without the body of its answer.
type ClaimHolder struct {
	Key         []byte `msgpack:"k"`
	Request     []byte `msgpack:"r"`
	Attempt     string `msgpack:"a"`
	Incarnation string `msgpack:"i"`
	Address     string `msgpack:"p"`
	Offset      int64  `msgpack:"o"`
	Done        bool   `msgpack:"d,omitempty"`
	Unknown     bool   `msgpack:"u,omitempty"`
	Status      int    `msgpack:"s,omitempty"`
	ContentType string `msgpack:"c,omitempty"`
	BodyDropped bool   `msgpack:"b,omitempty"`
}
