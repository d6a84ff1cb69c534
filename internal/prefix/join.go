package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Extend is the hash of a piece, known by a name of its own, behind a chain that
// ends with prev.
func Extend(prev, piece Hash) Hash {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], uint64(prev))
	binary.LittleEndian.PutUint64(b[8:], uint64(piece))
	return Hash(xxhash.Sum64(b[:]))
}
