package load

import (
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// Account is one client account's part of the traffic.
type Account struct {
	Name string `ini:"-"`
	Key  string `ini:"key"`
	// Times multiplies the account's part of the requests; default 1.
	Times float64 `ini:"times"`
	// TokensPerSecond and BurstTokens are what the account is allowed, as
	// published; 0 means that it is not checked.
	TokensPerSecond float64 `ini:"tokens-per-second"`
	BurstTokens     float64 `ini:"burst-tokens"`
}

// Profile is the shape of the traffic.
type Profile struct {
	Model string `ini:"model"`
	// Path is the route of the requests.
	Path string `ini:"path"`
	// RequestsPerSecond is over all accounts.
	RequestsPerSecond float64 `ini:"requests-per-second"`
	// PieceBytes is the prompt bytes in one cached piece.
	PieceBytes int `ini:"piece-bytes"`
	// OpeningPieces is the length of the opening an account's requests
	// share, DossierPieces the most a dossier has.
	OpeningPieces int `ini:"opening-pieces"`
	DossierPieces int `ini:"dossier-pieces"`
	// Dossiers is how many each account has; Zipf is the exponent of their
	// heat, over 1.
	Dossiers int     `ini:"dossiers"`
	Zipf     float64 `ini:"zipf"`
	// ShiftEvery moves the heat to other dossiers; 0 never.
	ShiftEvery    time.Duration `ini:"shift-every"`
	QuestionBytes int           `ini:"question-bytes"`
	MaxTokens     int           `ini:"max-tokens"`
	Accounts      []Account     `ini:"-"`
}

const (
	loadSection   = "load"
	accountPrefix = `account "`
)

// ErrProfile is wrapped by all faults of a profile.
var ErrProfile = errors.New("load profile")

// DefaultProfile is what the keys that a file leaves out stand at.
func DefaultProfile() Profile {
	return Profile{
		Model:             "demo",
		Path:              "/v1/chat/completions",
		RequestsPerSecond: 20,
		PieceBytes:        16384,
		OpeningPieces:     1,
		DossierPieces:     3,
		Dossiers:          20,
		Zipf:              1.2,
		QuestionBytes:     400,
		MaxTokens:         32,
	}
}

// ReadProfile reads a profile from an INI file: a [load] section, and one
// [account "NAME"] section for each client account.
func ReadProfile(path string) (Profile, error) {
	p, err := readProfile(path)
	if err != nil {
		return Profile{}, errors.Mark(errors.Wrapf(err, "read profile file=%s", path), ErrProfile)
	}
	return p, errors.Wrapf(p.Validate(), "file=%s", path)
}

func readProfile(path string) (Profile, error) {
	p := DefaultProfile()
	file, err := ini.Load(path)
	if err != nil {
		return p, err
	}
	if err := mapSection(file.Section(loadSection), &p); err != nil {
		return p, err
	}
	for _, sec := range file.Sections() {
		name, ok := strings.CutPrefix(sec.Name(), accountPrefix)
		if !ok {
			continue
		}
		a := Account{Name: strings.TrimSuffix(name, `"`), Times: 1}
		if err := mapSection(sec, &a); err != nil {
			return p, err
		}
		p.Accounts = append(p.Accounts, a)
	}
	return p, nil
}

// mapSection reads a section into a struct. A key that the struct lacks is an
// error: mistyped, it would leave a default in force unseen.
func mapSection(sec *ini.Section, into any) error {
	if err := sec.StrictMapTo(into); err != nil {
		return errors.Wrapf(err, "section=%q", sec.Name())
	}
	known := map[string]bool{}
	t := reflect.TypeOf(into).Elem()
	for i := range t.NumField() {
		known[t.Field(i).Tag.Get("ini")] = true
	}
	for _, key := range sec.KeyStrings() {
		if !known[key] {
			return errors.Newf("section=%q key=%q: unknown", sec.Name(), key)
		}
	}
	return nil
}

// Validate reports what makes the profile unusable.
func (p Profile) Validate() error {
	switch {
	case len(p.Accounts) == 0:
		return errors.Wrap(ErrProfile, `no [account "NAME"] section`)
	case p.RequestsPerSecond <= 0:
		return errors.Wrap(ErrProfile, "requests-per-second: want over 0")
	case p.Zipf <= 1:
		return errors.Wrap(ErrProfile, "zipf: want over 1")
	case p.OpeningPieces < 1 || p.DossierPieces < 1 || p.Dossiers < 1 || p.PieceBytes < minPieceBytes:
		return errors.Wrapf(ErrProfile, "opening-pieces, dossier-pieces, dossiers: want 1 or more; piece-bytes: %d or more", minPieceBytes)
	}
	for _, a := range p.Accounts {
		if a.Key == "" || a.Times < 0 {
			return errors.Wrapf(ErrProfile, "account=%s: want a key, and times not under 0", a.Name)
		}
	}
	return nil
}

// SelectAccounts returns the accounts with the given names, or all when there are none.
func (p Profile) SelectAccounts(names []string) ([]Account, error) {
	if len(names) == 0 {
		return p.Accounts, nil
	}
	var out []Account
	for _, name := range names {
		i := slices.IndexFunc(p.Accounts, func(a Account) bool { return a.Name == name })
		if i < 0 {
			return nil, errors.Wrapf(ErrProfile, "account=%s: unknown", name)
		}
		out = append(out, p.Accounts[i])
	}
	return out, nil
}
