package keys

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"io"

	"github.com/cockroachdb/errors"
)

// Prefix starts every key, so that people and secret scanners recognise one.
const Prefix = "mt-"

// secretBytes is the randomness in a key: 256 bits cannot be guessed, so a
// plain SHA-256 is enough and no slow password hash is needed.
const secretBytes = 32

// New makes a key from random bytes and gives it with its hash. The caller
// prints the key once and keeps only the hash.
func New(random io.Reader) (key, hash string, err error) {
	secret := make([]byte, secretBytes)
	if _, err := io.ReadFull(random, secret); err != nil {
		return "", "", errors.Wrap(err, "make key: read random bytes")
	}
	key = Prefix + base64.RawURLEncoding.EncodeToString(secret)
	return key, Hash(key), nil
}

// Hash is the hex SHA-256 of a key, as configuration files list it.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
