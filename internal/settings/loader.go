package settings

import (
	"io"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// Loader is a kong.ConfigurationLoader for INI files. Keys are the names of
// flags. Sections have no effect; they only structure the file.
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

// flatten returns the values of all sections by key.
func flatten(f *ini.File) map[string]string {
	values := make(map[string]string)
	for _, s := range f.Sections() {
		for _, k := range s.Keys() {
			values[k.Name()] = k.Value()
		}
	}
	return values
}

// Validate implements kong.Resolver. A key without a flag is an error: a
// misspelt key would otherwise silently leave its default in force.
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
