package entry

import (
	"crypto/tls"
	"time"

	"github.com/mastictray/mastictray/internal/certs"
	"github.com/mastictray/mastictray/internal/settings"
)

// listenerSecurity holds the TLS configurations of the process's listeners, nil
// for a listener without TLS, and the operators' tokens.
type listenerSecurity struct {
	callers, peers *tls.Config
	admin          adminTokens
}

func newListenerSecurity(s *settings.Settings) (listenerSecurity, error) {
	tokens, err := loadAdminTokens(s.AdminTokenFile)
	if err != nil {
		return listenerSecurity{}, err
	}
	sec := listenerSecurity{admin: tokens}
	if s.CallerTLSCert != "" {
		pair, err := certs.NewKeyPair(s.CallerTLSCert, s.CallerTLSKey, time.Now)
		if err != nil {
			return sec, err
		}
		sec.callers = certs.ServerConfig(pair)
	}
	if s.PeerTLSCert != "" {
		pair, err := certs.NewKeyPair(s.PeerTLSCert, s.PeerTLSKey, time.Now)
		if err != nil {
			return sec, err
		}
		if sec.peers, err = certs.MutualConfig(pair, s.PeerTLSCA); err != nil {
			return sec, err
		}
	}
	return sec, nil
}
