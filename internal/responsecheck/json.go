package responsecheck

import (
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// DecodeJSON decodes a body with one JSON value and reads it to its end. A json.Decoder stops behind the
// value, so that it doesn't notice a body that is cut short there.
func DecodeJSON(body io.Reader, dst any) error {
	d := json.NewDecoder(body)
	if err := d.Decode(dst); err != nil {
		return err
	}
	return EndOfJSON(d)
}

// EndOfJSON reads the rest of a body whose only value was decoded.
func EndOfJSON(d *json.Decoder) error {
	_, err := d.Token()
	switch err {
	case io.EOF:
		return nil
	case nil:
		return errors.Wrap(ErrMalformed, "more than one JSON value")
	}
	return err
}
