package keys

import (
	"bytes"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/config"
)

const cutoff = 10 * time.Minute

func intentWithKey(key string, withdrawn bool) *config.Intent {
	h := Hash(key)
	return &config.Intent{
		Accounts: map[string]config.Account{"a": {Name: "a", KeyCutoff: cutoff}},
		Keys:     map[string]config.Key{h: {ID: "k1", Account: "a", SHA256: h, Withdrawn: withdrawn}},
	}
}

func TestNewGeneratesValidKeys(t *testing.T) {
	is := is.New(t)
	key, hash, err := New(bytes.NewReader(make([]byte, secretBytes)))
	is.NoErr(err)
	is.Equal(hash, Hash(key))
	account, id, err := Authorize(intentWithKey(key, false), key, Contact{})
	is.NoErr(err)
	is.Equal(account.Name, "a")
	is.Equal(id, "k1")
	_, _, err = New(bytes.NewReader(make([]byte, secretBytes-1)))
	is.True(err != nil)
}

func TestAuthorizeRefuses(t *testing.T) {
	cases := map[string]struct {
		intent  *config.Intent
		key     string
		contact Contact
		want    error
	}{
		"no key":          {intentWithKey("k", false), "", Contact{}, ErrUnknown},
		"another key":     {intentWithKey("k", false), "l", Contact{}, ErrUnknown},
		"a long key":      {intentWithKey("k", false), string(make([]byte, 1+maxKeyBytes)), Contact{}, ErrUnknown},
		"the hash":        {intentWithKey("k", false), Hash("k"), Contact{}, ErrUnknown},
		"withdrawn":       {intentWithKey("k", true), "k", Contact{}, ErrWithdrawn},
		"contact too old": {intentWithKey("k", false), "k", Contact{Now: cutoff + 1}, ErrContactTooOld},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, _, err := Authorize(c.intent, c.key, c.contact)
			is.True(errors.Is(err, c.want))
		})
	}
}

// A domain is partitioned from the platform and from the other domains. After the
// account's key-cutoff its instances refuse requests as not run, although they still
// reach each other. Otherwise a withdrawn key would work there for as long as the
// partition lasts.
func TestPartitionedDomainRefusesAfterCutoff(t *testing.T) {
	is := is.New(t)
	intent := intentWithKey("k", false)
	c := NewContactTracker("nord")
	c.LogRead(0)
	for now := time.Duration(0); now <= 2*cutoff; now += time.Minute {
		c.PeerAnswered("nord", now, now)
		_, _, err := Authorize(intent, "k", c.ContactAt(now, true))
		is.Equal(errors.Is(err, ErrContactTooOld), now > cutoff)
	}
	c.PeerAnswered("sud", 2*cutoff, 2*cutoff)
	_, _, err := Authorize(intent, "k", c.ContactAt(2*cutoff, true))
	is.NoErr(err)
}

// The log is down for 6 hours while the domains reach each other. Keys stay valid:
// no withdrawal can be published meanwhile, and refusing requests would turn an
// outage of the platform into an outage of the service.
func TestLogOutageAloneRefusesNoRequests(t *testing.T) {
	is := is.New(t)
	c := NewContactTracker("nord")
	for now := time.Duration(0); now <= 6*time.Hour; now += time.Minute {
		c.PeerAnswered("sud", now, UnknownLogAge)
		_, _, err := Authorize(intentWithKey("k", false), "k", c.ContactAt(now, true))
		is.NoErr(err)
	}
}

// An instance is suspended for longer than the key-cutoff and resumes with an
// outdated configuration. It refuses requests until it has had contact with the log
// or a peer again.
func TestResumedInstanceRefusesUntilContact(t *testing.T) {
	is := is.New(t)
	c := NewContactTracker("nord")
	c.LogRead(0)
	resumed := cutoff + time.Hour
	_, _, err := Authorize(intentWithKey("k", false), "k", c.ContactAt(resumed, true))
	is.True(errors.Is(err, ErrContactTooOld))
	c.LogRead(resumed)
	_, _, err = Authorize(intentWithKey("k", false), "k", c.ContactAt(resumed, true))
	is.NoErr(err)
}

// An instance can't reach the log, but a peer of its domain can and passes on what
// it reads. That counts as contact with the log.
func TestPeerLogReadCountsAsContact(t *testing.T) {
	is := is.New(t)
	c := NewContactTracker("nord")
	now := 3 * cutoff
	c.PeerAnswered("nord", now, time.Second)
	is.Equal(c.ContactAt(now, true).Age(), time.Second)
}

// A domain is partitioned for longer than the key-cutoff and one of its instances
// is replaced. The new one gets the configuration from a peer of the domain together
// with that peer's log age, so a withdrawn key does not become valid for another
// key-cutoff.
func TestRestartInACutOffDomainIsNoContact(t *testing.T) {
	is := is.New(t)
	peer := NewContactTracker("nord")
	peer.LogRead(0)
	now := cutoff + time.Minute
	replacement := NewContactTracker("nord")
	_, _, err := Authorize(intentWithKey("k", false), "k", replacement.ContactAt(now, true))
	is.True(errors.Is(err, ErrContactTooOld))
	replacement.PeerAnswered("nord", now, UnknownLogAge)
	_, _, err = Authorize(intentWithKey("k", false), "k", replacement.ContactAt(now, true))
	is.True(errors.Is(err, ErrContactTooOld))
	replacement.PeerAnswered("nord", now, peer.LogAge(now))
	_, _, err = Authorize(intentWithKey("k", false), "k", replacement.ContactAt(now, true))
	is.True(errors.Is(err, ErrContactTooOld))
	is.Equal(replacement.LogAge(now), now)
	is.Equal(NewContactTracker("nord").LogAge(now), UnknownLogAge)
}
