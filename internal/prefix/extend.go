package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Extend returns the hash that appends a piece, identified by its own hash, to a chain
// that ends with prev.
func Extend(prev, piece Hash) Hash {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], uint64(prev))
	binary.LittleEndian.PutUint64(b[8:], uint64(piece))
	return Hash(xxhash.Sum64(b[:]))
}
