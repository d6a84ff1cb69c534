package wire

// Message kinds of the claim protocol.
const (
	// KindClaimSnapshot requests a page of a peer's aggregated claims stream;
	// the response is a ClaimPage.
	KindClaimSnapshot Kind = "claim.snapshot"
)

// ClaimSnapshotRequest requests the holders claimed at or after an offset; -1
// requests the first page.
type ClaimSnapshotRequest struct {
	From  int64 `msgpack:"f"`
	Limit int   `msgpack:"m"`
}

// ClaimPage is one page of the aggregated claims stream, in claim order.
type ClaimPage struct {
	Start   int64         `msgpack:"s"`
	Next    int64         `msgpack:"n"`
	Marks   []ClaimMark   `msgpack:"m"`
	Holders []ClaimHolder `msgpack:"h"`
	More    bool          `msgpack:"o,omitempty"`
	After   int64         `msgpack:"a,omitempty"`
}

// ClaimMark states that all offsets below Head were appended before Millis, a
// Unix time.
type ClaimMark struct {
	Head   int64 `msgpack:"h"`
	Millis int64 `msgpack:"m"`
}

// ClaimHolder is the holder of an idempotency key, without the response body.
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
