package entry

import (
	"bufio"
	"crypto/sha256"
	"crypto/subtle"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// adminRole is what a token may do.
type adminRole string

// The roles. Operate includes read.
const (
	roleRead    adminRole = "read"
	roleOperate adminRole = "operate"
)

// adminTokens are the operators' tokens, by hash. Without any the admin API
// can be read by everyone who reaches its listener and operated by nobody.
type adminTokens struct {
	anonymousRead bool
	roleByHash    map[[sha256.Size]byte]adminRole
}

// loadAdminTokens reads a file of lines "role token". An empty name opens the
// API for reading.
func loadAdminTokens(file string) (adminTokens, error) {
	if file == "" {
		return adminTokens{anonymousRead: true}, nil
	}
	f, err := os.Open(file)
	if err != nil {
		return adminTokens{}, errors.Wrap(err, "read admin tokens")
	}
	defer f.Close()
	t := adminTokens{roleByHash: make(map[[sha256.Size]byte]adminRole)}
	lines := bufio.NewScanner(f)
	for n := 1; lines.Scan(); n++ {
		fields := strings.Fields(lines.Text())
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		role := adminRole(fields[0])
		if len(fields) != 2 || (role != roleRead && role != roleOperate) {
			return adminTokens{}, errors.Newf("read admin tokens line=%d: expected \"read TOKEN\" or \"operate TOKEN\"", n)
		}
		t.roleByHash[sha256.Sum256([]byte(fields[1]))] = role
	}
	return t, errors.Wrap(lines.Err(), "read admin tokens")
}

// allows compares over all hashes in constant time, so that the time of an
// answer tells nothing about a token.
func (t adminTokens) allows(token string, required adminRole) bool {
	if t.anonymousRead {
		return required == roleRead
	}
	sum := sha256.Sum256([]byte(token))
	allowed := false
	for hash, role := range t.roleByHash {
		match := subtle.ConstantTimeCompare(hash[:], sum[:]) == 1
		allowed = allowed || (match && (role == required || role == roleOperate))
	}
	return allowed
}
