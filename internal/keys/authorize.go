package keys

import (
	"crypto/subtle"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/config"
)

// Refusals. In each case the request has not run.
var (
	// ErrUnknown: no account has this key.
	ErrUnknown = errors.New("key: not known")
	// ErrWithdrawn: the key was withdrawn. The caller gets the answer of
	// ErrUnknown; only the log line tells the two apart.
	ErrWithdrawn = errors.New("key: withdrawn")
	// ErrContactTooOld: this instance has been out of contact for longer than
	// the account allows; the key may have been withdrawn meanwhile.
	ErrContactTooOld = errors.New("key: this instance is out of contact for too long to trust it")
)

// maxKeyBytes bounds what is hashed for a caller who is not known yet.
const maxKeyBytes = 512

// Authorize finds the account and the key id of a presented key. It is
// called when a request comes in, on every request of a connection, and
// again right before the request is sent to a target: a key may be withdrawn
// while its request waits in a queue. Errors: ErrUnknown, ErrWithdrawn,
// ErrCutOff; the account and id are set with the last two for the log line.
func Authorize(intent *config.Intent, presented string, c Contact) (config.Account, string, error) {
	if presented == "" || len(presented) > maxKeyBytes {
		return config.Account{}, "", ErrUnknown
	}
	hash := Hash(presented)
	// A caller cannot choose bytes of the hash, so the time of the lookup
	// says nothing about other keys; the match itself is constant time.
	key, ok := intent.Keys[hash]
	if !ok || subtle.ConstantTimeCompare([]byte(key.SHA256), []byte(hash)) != 1 {
		return config.Account{}, "", ErrUnknown
	}
	account, known := intent.Accounts[key.Account]
	if key.Withdrawn {
		return account, key.ID, ErrWithdrawn
	}
	if !known {
		return config.Account{}, key.ID, ErrUnknown
	}
	if c.Age() > account.KeyCutoff {
		return account, key.ID, ErrContactTooOld
	}
	return account, key.ID, nil
}
