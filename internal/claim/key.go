package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"strings"
	"time"

	"github.com/google/uuid"
)

// KeyHash identifies an idempotency key of a client account. Only the hash is stored,
// so that the log never contains a key chosen by a caller.
type KeyHash [sha256.Size]byte

// RequestHash is the hash of a request's method, path and body.
type RequestHash [sha256.Size]byte

// HashKey hashes a key together with its account. Each part is preceded by its length,
// so that no two pairs hash the same bytes.
func HashKey(account, key string) KeyHash {
	return KeyHash(hashParts(account, key))
}

// HashRequest hashes what has to be equal for a request to count as a retry.
func HashRequest(method, path string, body []byte) RequestHash {
	return RequestHash(hashParts(method, path, string(body)))
}

func hashParts(parts ...string) [sha256.Size]byte {
	h := sha256.New()
	var n [8]byte
	for _, p := range parts {
		binary.LittleEndian.PutUint64(n[:], uint64(len(p)))
		_, _ = h.Write(n[:])
		_, _ = h.Write([]byte(p))
	}
	return [sha256.Size]byte(h.Sum(nil))
}

const (
	uuidVersion7  = 7
	ulidLen       = 26
	ulidTimeChars = 10
	ulidAlphabet  = "0123456789ABCDEFGHJKMNPQRSTVWXYZ"
	// ulidEpochMillis is 2016-01-01, when the format was published. A string with an
	// earlier time only looks like a ULID.
	ulidEpochMillis = 1451606400000
)

// createdMillis returns the creation time contained in a UUIDv7 or ULID, in Unix
// milliseconds. ok is false for any other key.
func createdMillis(key string) (ms int64, ok bool) {
	if id, err := uuid.Parse(key); err == nil {
		if id.Version() != uuidVersion7 {
			return 0, false
		}
		var b [8]byte
		copy(b[2:], id[:6])
		return int64(binary.BigEndian.Uint64(b[:])), true
	}
	return ulidMillis(key)
}

func ulidMillis(key string) (ms int64, ok bool) {
	if len(key) != ulidLen {
		return 0, false
	}
	for i, c := range strings.ToUpper(key) {
		v := strings.IndexRune(ulidAlphabet, c)
		if v < 0 {
			return 0, false
		}
		if i < ulidTimeChars {
			ms = ms<<5 | int64(v)
		}
	}
	return ms, ms >= ulidEpochMillis && ms < 1<<48
}

// earliestUse returns the earliest time, in Unix milliseconds, at which the key may
// have been used. A key without a creation time, or with one in the future, may be as
// old as the longest time over which callers retry a request.
func earliestUse(key string, wallMillis int64, horizon, skew time.Duration) int64 {
	ms, ok := createdMillis(key)
	if !ok || ms > wallMillis+skew.Milliseconds() {
		return wallMillis - horizon.Milliseconds()
	}
	return ms
}
