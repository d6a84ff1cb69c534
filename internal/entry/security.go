package entry

import (
	"crypto/tls"
	"time"

	"github.com/mastictray/mastictray/internal/certs"
	"github.com/mastictray/mastictray/internal/settings"
)

// security is the TLS of the process's listeners, nil where none is set, and
// the operators' tokens.
type security struct {
	callers, peers *tls.Config
	admin          adminTokens
}

func newSecurity(s *settings.Settings) (security, error) {
	tokens, err := loadAdminTokens(s.AdminTokenFile)
	if err != nil {
		return security{}, err
	}
	sec := security{admin: tokens}
	if s.CallerTLSCert != "" {
		pair, err := certs.NewPair(s.CallerTLSCert, s.CallerTLSKey, time.Now)
		if err != nil {
			return sec, err
		}
		sec.callers = certs.Server(pair)
	}
	if s.PeerTLSCert != "" {
		pair, err := certs.NewPair(s.PeerTLSCert, s.PeerTLSKey, time.Now)
		if err != nil {
			return sec, err
		}
		if sec.peers, err = certs.Mutual(pair, s.PeerTLSCA); err != nil {
			return sec, err
		}
	}
	return sec, nil
}
