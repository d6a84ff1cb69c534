package entry

import (
	"bufio"
	"crypto/sha256"
	"crypto/subtle"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// adminRole determines what a token may do.
type adminRole string

// The roles. roleOperate includes roleRead.
const (
	roleRead    adminRole = "read"
	roleOperate adminRole = "operate"
)

// adminTokens holds the hashes of the operators' tokens. If no token file is
// set, everyone who can connect to the admin listener has read access and nobody
// can operate.
type adminTokens struct {
	anonymousRead bool
	roleByHash    map[[sha256.Size]byte]adminRole
}

// loadAdminTokens reads a file with lines of the form "role token". An empty file
// name allows reads without a token.
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

// allows reports whether the token has the required role. It compares with all
// hashes in constant time, so that the response time reveals nothing about the
// tokens.
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
