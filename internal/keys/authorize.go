package keys

import (
	"crypto/subtle"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/config"
)

// Errors of Authorize. In each case the request has not run.
var (
	// ErrUnknown is returned for a key that belongs to no account.
	ErrUnknown = errors.New("key: unknown")
	// ErrWithdrawn is returned for a withdrawn key. The caller gets the same
	// response as for ErrUnknown; only the log line tells the two apart.
	ErrWithdrawn = errors.New("key: withdrawn")
	// ErrContactTooOld is returned if this instance has had no contact for longer
	// than the account's key-cutoff. The key may have been withdrawn meanwhile.
	ErrContactTooOld = errors.New("key: can't be checked: no contact within the account's key-cutoff")
)

// maxKeyBytes limits the hashing done for an unauthenticated caller.
const maxKeyBytes = 512

// Authorize returns the account and the id of a presented key. It is called for
// every request on a connection, and again right before the request is sent to a
// target, since the key may be withdrawn while the request is queued.
//
// The error is ErrUnknown, ErrWithdrawn or ErrContactTooOld. With the last two,
// account and id are returned too, for the log line.
func Authorize(intent *config.Intent, presented string, contact Contact) (config.Account, string, error) {
	if presented == "" || len(presented) > maxKeyBytes {
		return config.Account{}, "", ErrUnknown
	}
	hash := Hash(presented)
	// A caller can't choose bytes of the hash, so the duration of the lookup
	// reveals nothing about other keys. The comparison takes constant time.
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
	if contact.Age() > account.KeyCutoff {
		return account, key.ID, ErrContactTooOld
	}
	return account, key.ID, nil
}
