package main

import (
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"github.com/matryer/is"
)

func parse(t *testing.T, args ...string) (*Settings, error) {
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

// The balancer needs up to three seconds to notice that an instance is not
// ready. A request taken after that, on a connection that a caller kept, may
// still run when the process has to end, and is then cut off. So new requests
// end before the three seconds do, and most of the grace is left for answers.
func TestShutdownTimesFitTheGrace(t *testing.T) {
	is := is.New(t)
	s, err := parse(t)
	is.NoErr(err)
	g := s.gateway()
	is.True(g.BalancerLag < 3*time.Second)
	is.True(g.BalancerLag >= 2*time.Second)
	is.Equal(g.BalancerLag+g.DrainTimeout+exitMargin, s.Grace)
}

func TestSettingsThatCannotWork(t *testing.T) {
	for _, arg := range []string{"--grace=3s", "--key-bound=400ms"} {
		t.Run(arg, func(t *testing.T) {
			is := is.New(t)
			_, err := parse(t, arg)
			is.True(err != nil)
		})
	}
}

func TestBoundsKeepTheirMargins(t *testing.T) {
	is := is.New(t)
	s, err := parse(t, "--key-bound=5s", "--lease-gap=3s", "--retry-ratio=0.2", "--retry-reserve=50")
	is.NoErr(err)
	g := s.gateway()
	is.Equal(g.KeyCutoff, 4500*time.Millisecond)
	is.True(g.KeyReadyAge < g.KeyCutoff)
	is.True(g.LeaseGap > 3*time.Second)
	is.True(g.RetryRatio < 0.2 && g.RetryReserve < 50)
}
