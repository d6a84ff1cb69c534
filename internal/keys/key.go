package keys

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"io"

	"github.com/cockroachdb/errors"
)

// Prefix starts every key, so that people and secret scanners recognize it.
const Prefix = "mt-"

// secretBytes is the number of random bytes in a key. 256 bits can't be guessed,
// so a plain SHA-256 suffices; a slow password hash is not needed.
const secretBytes = 32

// New generates a key from random bytes and returns it with its hash. The caller
// shows the key once and stores only the hash.
func New(random io.Reader) (key, hash string, err error) {
	secret := make([]byte, secretBytes)
	if _, err := io.ReadFull(random, secret); err != nil {
		return "", "", errors.Wrap(err, "generate key: read random bytes")
	}
	key = Prefix + base64.RawURLEncoding.EncodeToString(secret)
	return key, Hash(key), nil
}

// Hash returns the hex SHA-256 of a key, the form used in configuration files.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
