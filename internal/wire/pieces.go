package wire

// KindPieceEvidence tells a peer of an instance's evidence on pieces of prompts under which targets
// crash; see crashpieces. It is a one-way message.
const KindPieceEvidence Kind = "pieces.evidence"

// PieceEvidence is what an instance has learned since its last message, and its blocks.
type PieceEvidence struct {
	Reports []*PieceReport `msgpack:"r,omitempty"`
	Blocks  []BlockedPiece `msgpack:"b,omitempty"`
}
