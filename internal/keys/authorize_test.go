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

func intentWith(key string, withdrawn bool) *config.Intent {
	h := Hash(key)
	return &config.Intent{
		Accounts: map[string]config.Account{"a": {Name: "a", KeyCutoff: cutoff}},
		Keys:     map[string]config.Key{h: {ID: "k1", Account: "a", SHA256: h, Withdrawn: withdrawn}},
	}
}

func TestNewMakesKeysThatAuthorize(t *testing.T) {
	is := is.New(t)
	key, hash, err := New(bytes.NewReader(make([]byte, secretBytes)))
	is.NoErr(err)
	is.Equal(hash, Hash(key))
	account, id, err := Authorize(intentWith(key, false), key, Contact{})
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
		"no key":       {intentWith("k", false), "", Contact{}, ErrUnknown},
		"another key":  {intentWith("k", false), "l", Contact{}, ErrUnknown},
		"a long key":   {intentWith("k", false), string(make([]byte, 1+maxKeyBytes)), Contact{}, ErrUnknown},
		"the hash":     {intentWith("k", false), Hash("k"), Contact{}, ErrUnknown},
		"withdrawn":    {intentWith("k", true), "k", Contact{}, ErrWithdrawn},
		"out of touch": {intentWith("k", false), "k", Contact{Now: cutoff + 1}, ErrContactTooOld},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, _, err := Authorize(c.intent, c.key, c.contact)
			is.True(errors.Is(err, c.want))
		})
	}
}

// A domain is cut off from the platform and from the other domains. Its
// callers are refused with "not run" once the account's cut-off time is over,
// although its instances still hear each other: a key withdrawn outside
// would otherwise work there for as long as the cut lasts.
func TestDomainCutOffAsAWholeStopsAfterCutoff(t *testing.T) {
	is := is.New(t)
	intent := intentWith("k", false)
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

// The log is down for hours while all links between domains are up. Callers
// notice nothing: no withdrawal can be published meanwhile, and refusing
// would turn an outage of the platform into one of the service.
func TestLogOutageAloneRefusesNobody(t *testing.T) {
	is := is.New(t)
	c := NewContactTracker("nord")
	for now := time.Duration(0); now <= 6*time.Hour; now += time.Minute {
		c.PeerAnswered("sud", now, UnknownLogAge)
		_, _, err := Authorize(intentWith("k", false), "k", c.ContactAt(now, true))
		is.NoErr(err)
	}
}

// An instance is frozen past the cut-off and thaws with a state that is out
// of date. Its first requests are refused, until the log or a peer has been
// heard again: the clock went on, the contact did not.
func TestThawedInstanceRefusesUntilContact(t *testing.T) {
	is := is.New(t)
	c := NewContactTracker("nord")
	c.LogRead(0)
	thaw := cutoff + time.Hour
	_, _, err := Authorize(intentWith("k", false), "k", c.ContactAt(thaw, true))
	is.True(errors.Is(err, ErrContactTooOld))
	c.LogRead(thaw)
	_, _, err = Authorize(intentWith("k", false), "k", c.ContactAt(thaw, true))
	is.NoErr(err)
}

// An instance has no link to the log, but a peer of its domain has one and
// passes on what it reads. That counts as contact with the log.
func TestPeerThatReadsTheLogCounts(t *testing.T) {
	is := is.New(t)
	c := NewContactTracker("nord")
	now := 3 * cutoff
	c.PeerAnswered("nord", now, time.Second)
	is.Equal(c.ContactAt(now, true).Age(), time.Second)
}

// A domain is cut off for longer than the cut-off time, and one of its
// instances is replaced. It takes the configuration from its neighbour, and
// with it the age of what that one read: a withdrawn key does not work again
// for another cut-off time.
func TestRestartInACutOffDomainIsNoContact(t *testing.T) {
	is := is.New(t)
	old := NewContactTracker("nord")
	old.LogRead(0)
	now := cutoff + time.Minute
	fresh := NewContactTracker("nord")
	_, _, err := Authorize(intentWith("k", false), "k", fresh.ContactAt(now, true))
	is.True(errors.Is(err, ErrContactTooOld))
	fresh.PeerAnswered("nord", now, UnknownLogAge)
	_, _, err = Authorize(intentWith("k", false), "k", fresh.ContactAt(now, true))
	is.True(errors.Is(err, ErrContactTooOld))
	fresh.PeerAnswered("nord", now, old.LogAge(now))
	_, _, err = Authorize(intentWith("k", false), "k", fresh.ContactAt(now, true))
	is.True(errors.Is(err, ErrContactTooOld))
	is.Equal(fresh.LogAge(now), now)
	is.Equal(NewContactTracker("nord").LogAge(now), UnknownLogAge)
}
