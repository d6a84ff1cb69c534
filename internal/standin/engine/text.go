package engine

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BytesPerToken is the engine's fixed tokenizer.
const BytesPerToken = 4

// CountTokens is how many tokens the engine counts in a prompt.
func CountTokens(prompt []byte) int { return (len(prompt) + BytesPerToken - 1) / BytesPerToken }

// TextGenerator generates the answer to one prompt, a chunk a token.
type TextGenerator struct{ prompt uint64 }

// NewTextGenerator returns the generator for a prompt.
func NewTextGenerator(prompt []byte) TextGenerator {
	return TextGenerator{prompt: xxhash.Sum64(prompt)}
}

// TokenText is the text of token i, counting from 0. It depends on the prompt and
// i alone.
func (t TextGenerator) TokenText(i int) string {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], t.prompt)
	binary.LittleEndian.PutUint64(b[8:], uint64(i))
	return fmt.Sprintf(" %08x", uint32(xxhash.Sum64(b[:])))
}

// FirstTokens is the text of the first n tokens.
func (t TextGenerator) FirstTokens(n int) string {
	var sb strings.Builder
	for i := range n {
		sb.WriteString(t.TokenText(i))
	}
	return sb.String()
}
