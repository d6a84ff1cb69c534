package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/matryer/is"
)

// parse reads settings from an INI file and flags, as the process does.
func parse(t *testing.T, ini string, args ...string) (Settings, error) {
	t.Helper()
	is := is.New(t)
	dir := t.TempDir()
	file, secret := filepath.Join(dir, "s.ini"), filepath.Join(dir, "secret")
	is.NoErr(os.WriteFile(file, []byte(ini), 0o600))
	is.NoErr(os.WriteFile(secret, []byte("a secret of the fleet"), 0o600))
	var s Settings
	p, err := kong.New(&s, kong.Configuration(Loader), kong.Vars{"version": "test"})
	is.NoErr(err)
	_, err = p.Parse(append([]string{"--settings", file, "--peer-secret-file", secret}, args...))
	return s, err
}

const goodINI = `[identity]
instance-id = e1
domain = a
[platform]
log-url = http://127.0.0.1:1
[rates]
fleet-domains = a,b
mint-slots = 3
`

func TestFlagOverridesFileOverridesDefault(t *testing.T) {
	is := is.New(t)
	s, err := parse(t, goodINI, "--mint-slots", "4")
	is.NoErr(err)
	is.Equal(s.MintSlots, 4)
	is.Equal(s.InstanceID, "e1")
	is.Equal(s.FleetDomains, []string{"a", "b"})
	is.Equal(s.PeerListen, "127.0.0.1:18081")
}

// Several settings are invalid. The error names all of them, and the process
// stops before it listens.
func TestValidateReportsAllInvalidSettings(t *testing.T) {
	is := is.New(t)
	_, err := parse(t, goodINI, "--caller-listen", "host:80", "--peers", "nowhere", "--domain", "c", "--mint-slots", "0",
		"--max-body-bytes", "0", "--peer-tls-cert", os.Args[0])
	is.True(err != nil)
	for _, want := range []string{"caller-listen", "peers", "fleet-domains", "mint-slots", "limits", "peer-tls-cert"} {
		is.True(strings.Contains(err.Error(), want))
	}
}

// A misspelt key in the file must be an error: its default would otherwise
// silently stay in force.
func TestUnknownKeyIsRejected(t *testing.T) {
	is := is.New(t)
	_, err := parse(t, goodINI+"mint-slotz = 9\n")
	is.True(err != nil && strings.Contains(err.Error(), `unknown key "mint-slotz"`))
}

func TestShortPeerSecretIsRejected(t *testing.T) {
	is := is.New(t)
	s, err := parse(t, goodINI)
	is.NoErr(err)
	is.NoErr(os.WriteFile(s.PeerSecretFile, []byte("short"), 0o600))
	_, err = s.PeerSecret()
	is.True(err != nil)
}
