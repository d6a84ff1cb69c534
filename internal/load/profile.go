package load

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// Account is one client account's part of the traffic.
type Account struct {
	Name string
	Key  string
	// Times multiplies the account's part of the requests.
	Times float64
	// TokensPerSecond and BurstTokens are what the account is allowed, as
	// published; 0 means that it is not checked.
	TokensPerSecond float64
	BurstTokens     float64
}

// Profile is the shape of the traffic.
type Profile struct {
	Model string
	// Path is the route of the requests.
	Path string
	// RequestsPerSecond is over all accounts.
	RequestsPerSecond float64
	// PieceBytes is the prompt bytes in one cached piece.
	PieceBytes int
	// OpeningPieces is the length of the opening an account's requests
	// share, DossierPieces the most a dossier has.
	OpeningPieces int
	DossierPieces int
	// Dossiers is how many each account has; Zipf is the exponent of their
	// heat, over 1.
	Dossiers int
	Zipf     float64
	// ShiftEvery moves the heat to other dossiers; 0 never.
	ShiftEvery    time.Duration
	QuestionBytes int
	MaxTokens     int
	Accounts      []Account
}

const accountSection = "account "

// ErrProfile is wrapped by all faults of a profile.
var ErrProfile = errors.New("load profile")

// ReadProfile reads a profile from an INI file: a [load] section, and one
// [account NAME] section for each client account.
func ReadProfile(path string) (Profile, error) {
	file, err := ini.Load(path)
	if err != nil {
		return Profile{}, errors.Mark(errors.Wrapf(err, "read profile file=%s", path), ErrProfile)
	}
	s := file.Section("load")
	p := Profile{
		Model:             s.Key("model").MustString("demo"),
		Path:              s.Key("path").MustString("/v1/chat/completions"),
		RequestsPerSecond: s.Key("requests_per_second").MustFloat64(20),
		PieceBytes:        s.Key("piece_bytes").MustInt(16384),
		OpeningPieces:     s.Key("opening_pieces").MustInt(1),
		DossierPieces:     s.Key("dossier_pieces").MustInt(3),
		Dossiers:          s.Key("dossiers").MustInt(20),
		Zipf:              s.Key("zipf").MustFloat64(1.2),
		ShiftEvery:        s.Key("shift_every").MustDuration(0),
		QuestionBytes:     s.Key("question_bytes").MustInt(400),
		MaxTokens:         s.Key("max_tokens").MustInt(32),
	}
	for _, sec := range file.Sections() {
		if name, ok := strings.CutPrefix(sec.Name(), accountSection); ok {
			p.Accounts = append(p.Accounts, readAccount(name, sec))
		}
	}
	return p, errors.Wrapf(p.Validate(), "file=%s", path)
}

func readAccount(name string, sec *ini.Section) Account {
	return Account{
		Name:            name,
		Key:             sec.Key("key").String(),
		Times:           sec.Key("times").MustFloat64(1),
		TokensPerSecond: sec.Key("tokens_per_second").MustFloat64(0),
		BurstTokens:     sec.Key("burst_tokens").MustFloat64(0),
	}
}

// Validate reports what makes the profile unusable.
func (p Profile) Validate() error {
	switch {
	case len(p.Accounts) == 0:
		return errors.Wrap(ErrProfile, "no [account NAME] section")
	case p.RequestsPerSecond <= 0:
		return errors.Wrap(ErrProfile, "requests_per_second: want over 0")
	case p.Zipf <= 1:
		return errors.Wrap(ErrProfile, "zipf: want over 1")
	case p.OpeningPieces < 1 || p.DossierPieces < 1 || p.Dossiers < 1 || p.PieceBytes < minPieceBytes:
		return errors.Wrapf(ErrProfile, "opening_pieces, dossier_pieces, dossiers: want 1 or more; piece_bytes: %d or more", minPieceBytes)
	}
	for _, a := range p.Accounts {
		if a.Key == "" || a.Times < 0 {
			return errors.Wrapf(ErrProfile, "account=%s: want a key, and times not under 0", a.Name)
		}
	}
	return nil
}
