package engine

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BytesPerToken is the number of prompt bytes that count as a token.
const BytesPerToken = 4

// CountTokens returns the number of tokens in a prompt.
func CountTokens(prompt []byte) int { return (len(prompt) + BytesPerToken - 1) / BytesPerToken }

// TextGenerator generates the text of the response to a prompt, token by token.
type TextGenerator struct{ promptHash uint64 }

// NewTextGenerator returns the generator for a prompt.
func NewTextGenerator(prompt []byte) TextGenerator {
	return TextGenerator{promptHash: xxhash.Sum64(prompt)}
}

// TokenText returns the text of token i, counting from 0. It depends only on the
// prompt and i.
func (t TextGenerator) TokenText(i int) string {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], t.promptHash)
	binary.LittleEndian.PutUint64(b[8:], uint64(i))
	return fmt.Sprintf(" %08x", uint32(xxhash.Sum64(b[:])))
}

// FirstTokens returns the text of the first n tokens.
func (t TextGenerator) FirstTokens(n int) string {
	var sb strings.Builder
	for i := range n {
		sb.WriteString(t.TokenText(i))
	}
	return sb.String()
}
