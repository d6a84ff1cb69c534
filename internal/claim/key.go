package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"strings"
	"time"

	"github.com/google/uuid"
)

// KeyHash names an idempotency key inside its client account. Only the hash
// is stored, so that the log never holds what a caller chose as its key.
type KeyHash [sha256.Size]byte

// RequestHash is the hash of a request: method, path and body.
type RequestHash [sha256.Size]byte

// HashKey scopes the key by its account. The account's length goes first, so
// that no two pairs hash the same bytes.
func HashKey(account, key string) KeyHash {
	return KeyHash(hashParts(account, key))
}

// HashRequest is what a repeat must match to be the same request.
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
	uuidVersionTime = 7
	ulidLen         = 26
	ulidTimeChars   = 10
	ulidAlphabet    = "0123456789ABCDEFGHJKMNPQRSTVWXYZ"
	// ulidEpochMillis is 2016-01-01, when the format was published: an
	// earlier date is a plain string that only looks like a ULID.
	ulidEpochMillis = 1451606400000
)

// createdMillis reads the creation time that a UUIDv7 or ULID carries, in
// Unix milliseconds; ok is false for any other key.
func createdMillis(key string) (ms int64, ok bool) {
	if id, err := uuid.Parse(key); err == nil {
		if id.Version() != uuidVersionTime {
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

// keyDate is the earliest time at which the key may have been used before.
// An undated key, or one dated in the future, is taken to be as old as the
// longest time over which callers repeat a request.
func keyDate(key string, wall int64, horizon, skew time.Duration) int64 {
	ms, ok := createdMillis(key)
	if !ok || ms > wall+skew.Milliseconds() {
		return wall - horizon.Milliseconds()
	}
	return ms
}
