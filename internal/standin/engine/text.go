package engine

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BytesPerToken is the engine's fixed tokenizer.
const BytesPerToken = 4

// Tokens is how many tokens the engine counts in a prompt.
func Tokens(prompt []byte) int { return (len(prompt) + BytesPerToken - 1) / BytesPerToken }

// Text generates the answer to one prompt, a chunk a token.
type Text struct{ prompt uint64 }

// NewText returns the generator for a prompt.
func NewText(prompt []byte) Text { return Text{prompt: xxhash.Sum64(prompt)} }

// Chunk is the text of token i, counting from 0. It depends on the prompt and
// i alone.
func (t Text) Chunk(i int) string {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], t.prompt)
	binary.LittleEndian.PutUint64(b[8:], uint64(i))
	return fmt.Sprintf(" %08x", uint32(xxhash.Sum64(b[:])))
}

// First is the text of the first n tokens.
func (t Text) First(n int) string {
	var sb strings.Builder
	for i := range n {
		sb.WriteString(t.Chunk(i))
	}
	return sb.String()
}
