package settings

import (
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
)

// MinPeerSecretBytes is the minimum length of the secret shared by the peers.
const MinPeerSecretBytes = 16

// Settings holds the settings of an entry process. Each can be set by its flag,
// by the key of the same name in the INI file or by its environment variable.
type Settings struct {
	File          kong.ConfigFlag  `name:"settings" help:"INI file with settings." type:"existingfile" placeholder:"FILE"`
	PrintSettings bool             `help:"Print the effective settings with their source, then exit."`
	Version       kong.VersionFlag `help:"Print the version, then exit."`

	InstanceID string `required:"" env:"MASTICTRAY_INSTANCE_ID" help:"Name of this instance." group:"identity"`
	Domain     string `required:"" env:"MASTICTRAY_DOMAIN" help:"Failure domain of this instance." group:"identity"`

	CallerListen string `default:"127.0.0.1:18080" env:"MASTICTRAY_CALLER_LISTEN" help:"ip:port for callers." group:"listeners"`
	PeerListen   string `default:"127.0.0.1:18081" env:"MASTICTRAY_PEER_LISTEN" help:"ip:port for other entry instances." group:"listeners"`
	AdminListen  string `default:"127.0.0.1:18082" env:"MASTICTRAY_ADMIN_LISTEN" help:"ip:port for operators, health and metrics." group:"listeners"`

	LogURL         string   `required:"" name:"log-url" env:"MASTICTRAY_LOG_URL" help:"Base URL of the platform's log service." group:"platform"`
	InstancesURL   string   `name:"instances-url" env:"MASTICTRAY_INSTANCES_URL" help:"Base URL of the platform's instance list." group:"platform"`
	Peers          []string `env:"MASTICTRAY_PEERS" help:"Peer addresses known at start; the instance list adds to them." group:"peers"`
	PeerSecretFile string   `required:"" type:"existingfile" env:"MASTICTRAY_PEER_SECRET_FILE" help:"File with the secret shared by the entry instances, 16 bytes or more." group:"peers"`

	FleetDomains []string `required:"" env:"MASTICTRAY_FLEET_DOMAINS" help:"All failure domains, the same list on every instance: the accounts' rates are split by it." group:"rates"`
	MintSlots    int      `default:"2" env:"MASTICTRAY_MINT_SLOTS" help:"Number of parts that a domain's share of the rates is split into, the same on every instance." group:"rates"`

	AdminTokenFile string `type:"existingfile" env:"MASTICTRAY_ADMIN_TOKEN_FILE" help:"File with operator tokens, one 'role token' a line (roles: read, operate). Without it the admin API is read-only for everyone on its listener." group:"admin"`

	CallerTLSCert string `name:"caller-tls-cert" type:"existingfile" env:"MASTICTRAY_CALLER_TLS_CERT" help:"PEM certificate for callers; reloaded when it changes." group:"tls"`
	CallerTLSKey  string `name:"caller-tls-key" type:"existingfile" env:"MASTICTRAY_CALLER_TLS_KEY" help:"PEM key for callers." group:"tls"`
	PeerTLSCert   string `name:"peer-tls-cert" type:"existingfile" env:"MASTICTRAY_PEER_TLS_CERT" help:"PEM certificate for peers." group:"tls"`
	PeerTLSKey    string `name:"peer-tls-key" type:"existingfile" env:"MASTICTRAY_PEER_TLS_KEY" help:"PEM key for peers." group:"tls"`
	PeerTLSCA     string `name:"peer-tls-ca" type:"existingfile" env:"MASTICTRAY_PEER_TLS_CA" help:"PEM certificate of the CA that must have signed peers' certificates." group:"tls"`

	MaxBodyBytes   int64         `default:"33554432" env:"MASTICTRAY_MAX_BODY_BYTES" help:"Largest request body in bytes." group:"limits"`
	MaxHeaderBytes int           `default:"65536" env:"MASTICTRAY_MAX_HEADER_BYTES" help:"Largest request header in bytes." group:"limits"`
	MaxConnections int           `default:"20000" env:"MASTICTRAY_MAX_CONNECTIONS" help:"Maximum number of caller connections; fewer if the process may open fewer files." group:"limits"`
	MemoryMB       int           `name:"memory-mb" default:"1024" env:"MASTICTRAY_MEMORY_MB" help:"Memory that the process may use in MB; 0 means no limit." group:"limits"`
	IdleTimeout    time.Duration `default:"90s" env:"MASTICTRAY_IDLE_TIMEOUT" help:"Time after which an idle caller connection is closed." group:"limits"`
	ReadTimeout    time.Duration `default:"30s" env:"MASTICTRAY_READ_TIMEOUT" help:"Time limit for reading a whole request." group:"limits"`

	BalancerLag  time.Duration `default:"3s" env:"MASTICTRAY_BALANCER_LAG" help:"How long requests are still accepted after SIGTERM, until the load balancer has noticed." group:"shutdown"`
	DrainTimeout time.Duration `default:"10m" env:"MASTICTRAY_DRAIN_TIMEOUT" help:"Maximum time to wait for responses in progress after balancer-lag has passed." group:"shutdown"`
}

// Validate reports all invalid settings in one error.
func (s *Settings) Validate() error {
	var problems []string
	for _, l := range []struct{ key, value string }{
		{"caller-listen", s.CallerListen},
		{"peer-listen", s.PeerListen},
		{"admin-listen", s.AdminListen},
	} {
		if !isIPPort(l.value) {
			problems = append(problems, fmt.Sprintf("%s=%q: expected ip:port", l.key, l.value))
		}
	}
	for _, p := range s.Peers {
		if !isIPPort(p) {
			problems = append(problems, fmt.Sprintf("peers=%q: expected ip:port", p))
		}
	}
	if (s.CallerTLSCert == "") != (s.CallerTLSKey == "") {
		problems = append(problems, "caller-tls-cert and caller-tls-key: expected both or neither")
	}
	if set := countNonEmpty(s.PeerTLSCert, s.PeerTLSKey, s.PeerTLSCA); set != 0 && set != 3 {
		problems = append(problems, "peer-tls-cert, peer-tls-key and peer-tls-ca: expected all three or none")
	}
	if s.MaxBodyBytes <= 0 || s.MaxHeaderBytes <= 0 || s.MaxConnections <= 0 {
		problems = append(problems, "limits: expected numbers above 0")
	}
	if s.MemoryMB < 0 {
		problems = append(problems, fmt.Sprintf("memory-mb=%d: expected 0 or more", s.MemoryMB))
	}
	if !slices.Contains(s.FleetDomains, s.Domain) {
		problems = append(problems, fmt.Sprintf("fleet-domains: expected %q among them", s.Domain))
	}
	if s.MintSlots <= 0 {
		problems = append(problems, fmt.Sprintf("mint-slots=%d: expected a number above 0", s.MintSlots))
	}
	if len(problems) == 0 {
		return nil
	}
	err := errors.Newf("%d invalid settings", len(problems))
	for _, p := range problems {
		err = errors.Newf("%s\n  %s", err.Error(), p)
	}
	return err
}

// PeerSecret reads the secret shared by the peers.
func (s *Settings) PeerSecret() ([]byte, error) {
	raw, err := os.ReadFile(s.PeerSecretFile)
	if err != nil {
		return nil, errors.Wrap(err, "read peer secret")
	}
	if len(raw) < MinPeerSecretBytes {
		return nil, errors.Newf("peer secret: %d bytes, expected %d or more", len(raw), MinPeerSecretBytes)
	}
	return raw, nil
}

// Print writes the effective settings, each with the source of its value.
func Print(w io.Writer, ctx *kong.Context) {
	for _, flag := range ctx.Model.Node.Flags {
		if flag.Group == nil {
			continue
		}
		fmt.Fprintf(w, "%s = %v ; %s\n", flag.Name, flag.Target.Interface(), source(ctx, flag))
	}
}

// source returns where the value of a flag came from.
func source(ctx *kong.Context, flag *kong.Flag) string {
	for _, p := range ctx.Path {
		if p.Flag == flag && !p.Resolved {
			return "flag"
		}
		if p.Flag == flag {
			return "file"
		}
	}
	for _, env := range flag.Envs {
		if _, ok := os.LookupEnv(env); ok {
			return "environment"
		}
	}
	return "default"
}

func isIPPort(s string) bool {
	host, _, err := net.SplitHostPort(s)
	return err == nil && net.ParseIP(host) != nil
}

func countNonEmpty(values ...string) int {
	n := 0
	for _, v := range values {
		if v != "" {
			n++
		}
	}
	return n
}
