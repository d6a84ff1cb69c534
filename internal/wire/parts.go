package wire

// KindPartEvidence tells a peer of an instance's evidence on parts of prompts under which targets
// crash; see crashparts. It is a one-way message.
const KindPartEvidence Kind = "parts.evidence"

// PartEvidence is what an instance has learned since its last message, and its blocks.
type PartEvidence struct {
	Reports []*PartReport `msgpack:"r,omitempty"`
	Blocks  []BlockedPart `msgpack:"b,omitempty"`
}
