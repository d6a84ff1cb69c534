package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Hash names one piece together with everything before it.
type Hash uint64

// Scope is what cached pieces may be shared within.
type Scope struct {
	Account string
	Model   string
	Version string
}

// Seed is the start of the chain for a scope. Each field is written with its
// length first, so that two scopes never give the same bytes.
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

// Chain appends the hash of every full piece of the prompt to dst and returns
// it. A last piece shorter than pieceBytes has no hash: engines cache full
// pieces only.
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
