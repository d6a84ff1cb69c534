package main

import (
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/capacity"
	"github.com/mastictray/mastictray/internal/slopes"
)

type slopesCmd struct {
	Out string `help:"File for the measurements and fits." default:"internal/capacity/slopes.json"`
}

// Run measures the slopes and writes them to the file that the capacity page is
// computed from.
func (c *slopesCmd) Run() error {
	data, err := json.MarshalIndent(slopes.Measure(), "", " ")
	if err != nil {
		return errors.Wrap(err, "encode slopes")
	}
	return errors.Wrapf(os.WriteFile(c.Out, append(data, '\n'), 0o644), "write slopes file=%s", c.Out)
}

type capacityCmd struct{}

// Run prints the tables of the capacity page.
func (c *capacityCmd) Run() error {
	text, err := capacity.Tables()
	if err != nil {
		return err
	}
	_, err = os.Stdout.WriteString(text)
	return err
}
