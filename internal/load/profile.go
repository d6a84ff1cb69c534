package load

import (
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// Account is a client account that sends part of the traffic.
type Account struct {
	Name string `ini:"-"`
	Key  string `ini:"key"`
	// Weight is the account's share of the requests relative to the other
	// accounts; default 1.
	Weight float64 `ini:"times"`
	// TokensPerSecond and BurstTokens are the account's published limits. If
	// TokensPerSecond is 0, the rate isn't checked.
	TokensPerSecond float64 `ini:"tokens-per-second"`
	BurstTokens     float64 `ini:"burst-tokens"`
}

// Profile describes the traffic of a run.
type Profile struct {
	Model string `ini:"model"`
	// Path is the URL path that requests are posted to.
	Path string `ini:"path"`
	// RequestsPerSecond is the mean rate of all accounts together.
	RequestsPerSecond float64 `ini:"requests-per-second"`
	// PieceBytes is the number of prompt bytes in one piece, the unit of the
	// engines' prefix cache.
	PieceBytes int `ini:"piece-bytes"`
	// OpeningPieces is the length of the opening, the prefix that all requests
	// of an account share. DossierPieces is the maximum length of a dossier.
	OpeningPieces int `ini:"opening-pieces"`
	DossierPieces int `ini:"dossier-pieces"`
	// Dossiers is the number of dossiers of each account; Zipf is the exponent
	// of their popularity and must be greater than 1.
	Dossiers int     `ini:"dossiers"`
	Zipf     float64 `ini:"zipf"`
	// ShiftEvery is the interval after which other dossiers become the popular
	// ones; 0 disables it.
	ShiftEvery    time.Duration `ini:"shift-every"`
	QuestionBytes int           `ini:"question-bytes"`
	MaxTokens     int           `ini:"max-tokens"`
	Accounts      []Account     `ini:"-"`
}

const (
	loadSection   = "load"
	accountPrefix = `account "`
)

// ErrInvalidProfile is wrapped by all errors about a profile.
var ErrInvalidProfile = errors.New("invalid load profile")

// DefaultProfile returns the defaults for keys that a file doesn't set.
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
		return Profile{}, errors.Mark(errors.Wrapf(err, "read profile file=%s", path), ErrInvalidProfile)
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
		a := Account{Name: strings.TrimSuffix(name, `"`), Weight: 1}
		if err := mapSection(sec, &a); err != nil {
			return p, err
		}
		p.Accounts = append(p.Accounts, a)
	}
	return p, nil
}

// mapSection reads a section into the struct that dst points to. A key that the
// struct doesn't have is an error; otherwise a mistyped key would silently leave
// the default in force.
func mapSection(sec *ini.Section, dst any) error {
	if err := sec.StrictMapTo(dst); err != nil {
		return errors.Wrapf(err, "section=%q", sec.Name())
	}
	known := map[string]bool{}
	t := reflect.TypeOf(dst).Elem()
	for i := range t.NumField() {
		known[t.Field(i).Tag.Get("ini")] = true
	}
	for _, key := range sec.KeyStrings() {
		if !known[key] {
			return errors.Newf("section=%q key=%q: unknown key", sec.Name(), key)
		}
	}
	return nil
}

// Validate returns an error if the profile can't be used.
func (p Profile) Validate() error {
	switch {
	case len(p.Accounts) == 0:
		return errors.Wrap(ErrInvalidProfile, `no [account "NAME"] section`)
	case p.RequestsPerSecond <= 0:
		return errors.Wrap(ErrInvalidProfile, "requests-per-second must be greater than 0")
	case p.Zipf <= 1:
		return errors.Wrap(ErrInvalidProfile, "zipf must be greater than 1")
	case p.OpeningPieces < 1 || p.DossierPieces < 1 || p.Dossiers < 1 || p.PieceBytes < minPieceBytes:
		return errors.Wrapf(ErrInvalidProfile, "opening-pieces, dossier-pieces and dossiers must be at least 1, piece-bytes at least %d", minPieceBytes)
	}
	for _, a := range p.Accounts {
		if a.Key == "" || a.Weight < 0 {
			return errors.Wrapf(ErrInvalidProfile, "account=%s: key must be set and times must not be negative", a.Name)
		}
	}
	return nil
}

// SelectAccounts returns the accounts with the given names, or all accounts if no
// name is given.
func (p Profile) SelectAccounts(names []string) ([]Account, error) {
	if len(names) == 0 {
		return p.Accounts, nil
	}
	var out []Account
	for _, name := range names {
		i := slices.IndexFunc(p.Accounts, func(a Account) bool { return a.Name == name })
		if i < 0 {
			return nil, errors.Wrapf(ErrInvalidProfile, "account=%s: unknown account", name)
		}
		out = append(out, p.Accounts[i])
	}
	return out, nil
}
