package settings

import (
	"io"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// Loader is a kong.ConfigurationLoader for INI files. A flag's key stands in
// any section; sections only order the file for its readers.
func Loader(r io.Reader) (kong.Resolver, error) {
	raw, err := io.ReadAll(r)
	if err != nil {
		return nil, errors.Wrap(err, "read settings file")
	}
	file, err := ini.LoadSources(ini.LoadOptions{}, raw)
	if err != nil {
		return nil, errors.Wrap(err, "parse settings file")
	}
	return &resolver{values: flatten(file)}, nil
}

type resolver struct{ values map[string]string }

func flatten(f *ini.File) map[string]string {
	values := make(map[string]string)
	for _, s := range f.Sections() {
		for _, k := range s.Keys() {
			values[k.Name()] = k.Value()
		}
	}
	return values
}

// Validate implements kong.Resolver: a key that no flag knows is an error,
// for a mistyped limit would otherwise leave the default in force unseen.
func (r *resolver) Validate(app *kong.Application) error {
	known := make(map[string]bool)
	for _, flag := range app.Flags {
		known[flag.Name] = true
	}
	var err error
	for key := range r.values {
		if !known[key] {
			err = errors.CombineErrors(err, errors.Newf("settings file: unknown key %q", key))
		}
	}
	return err
}

// Resolve implements kong.Resolver.
func (r *resolver) Resolve(_ *kong.Context, _ *kong.Path, flag *kong.Flag) (any, error) {
	if v, ok := r.values[flag.Name]; ok {
		return v, nil
	}
	return nil, nil
}
