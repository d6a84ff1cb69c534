package gatewaycmd

import (
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"github.com/matryer/is"
)

func parseSettings(t *testing.T, args ...string) (*Settings, error) {
	t.Helper()
	var s Settings
	parser, err := kong.New(&s, kong.Vars{"version": "test"})
	if err != nil {
		t.Fatal(err)
	}
	_, err = parser.Parse(append([]string{
		"--instance-id=a", "--domain=d", "--caller-listen=127.0.0.1:1", "--ready-listen=127.0.0.1:2",
		"--peer-listen=127.0.0.1:3", "--store-address=127.0.0.1:4",
	}, args...))
	return &s, err
}

// The load balancer needs up to three seconds to notice that an instance is not
// ready. A request accepted after that, on a keep-alive connection, could still be
// running when the process has to exit and would be aborted. The gateway therefore
// stops accepting requests before the three seconds are over, and most of the grace
// period is left for requests in progress.
func TestShutdownTimesFitTheGrace(t *testing.T) {
	is := is.New(t)
	s, err := parseSettings(t)
	is.NoErr(err)
	gw := s.gatewaySettings()
	is.True(gw.BalancerLag < 3*time.Second)
	is.True(gw.BalancerLag >= 2*time.Second)
	is.Equal(gw.BalancerLag+gw.DrainTimeout+exitMargin, s.Grace)
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	for _, arg := range []string{"--grace=3s", "--key-bound=400ms"} {
		t.Run(arg, func(t *testing.T) {
			is := is.New(t)
			_, err := parseSettings(t, arg)
			is.True(err != nil)
		})
	}
}

func TestSafetyMarginsAreApplied(t *testing.T) {
	is := is.New(t)
	s, err := parseSettings(t, "--key-bound=5s", "--lease-gap=3s", "--retry-ratio=0.2", "--retry-reserve=50")
	is.NoErr(err)
	gw := s.gatewaySettings()
	is.Equal(gw.KeyCutoff, 4500*time.Millisecond)
	is.True(gw.KeyReadyAge < gw.KeyCutoff)
	is.True(gw.LeaseGap > 3*time.Second)
	is.True(gw.RetryRatio < 0.2 && gw.RetryReserve < 50)
}
