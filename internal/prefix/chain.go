package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Hash identifies a piece together with everything before it.
type Hash uint64

// Scope is the boundary within which cached pieces may be shared.
type Scope struct {
	Account string
	Model   string
	Version string
}

// Seed returns the initial hash of the chains of a scope. Each field is hashed with its
// length before it, so that different scopes never produce the same input.
func (s Scope) Seed() Hash {
	var d xxhash.Digest
	d.Reset()
	var n [8]byte
	for _, part := range [...]string{s.Account, s.Model, s.Version} {
		binary.LittleEndian.PutUint64(n[:], uint64(len(part)))
		_, _ = d.Write(n[:])
		_, _ = d.WriteString(part)
	}
	return Hash(d.Sum64())
}

// Chain appends the hash of every full piece of the prompt to dst and returns the
// result. An incomplete last piece has no hash, because engines only cache full pieces.
func Chain(dst []Hash, seed Hash, prompt []byte, pieceBytes int) []Hash {
	prev := seed
	var n [8]byte
	for pieceBytes > 0 && len(prompt) >= pieceBytes {
		var d xxhash.Digest
		d.Reset()
		binary.LittleEndian.PutUint64(n[:], uint64(prev))
		_, _ = d.Write(n[:])
		_, _ = d.Write(prompt[:pieceBytes])
		prev = Hash(d.Sum64())
		dst = append(dst, prev)
		prompt = prompt[pieceBytes:]
	}
	return dst
}
