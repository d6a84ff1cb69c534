// Package responsecheck refuses responses that violate HTTP although net/http accepts them.
package responsecheck

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrMalformed marks a response that violates HTTP.
var ErrMalformed = errors.New("malformed response")

const (
	minStatus = 100
	maxStatus = 599
)

// Head checks the head of a response, interim or final, to a request that asked for no other protocol.
func Head(resp *http.Response) error {
	switch {
	case resp.StatusCode < minStatus || resp.StatusCode > maxStatus:
		return errors.Wrapf(ErrMalformed, "status %q", resp.Status)
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return errors.Wrap(ErrMalformed, "a switch of protocols that was not asked for")
	}
	return nil
}
