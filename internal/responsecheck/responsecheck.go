// Package responsecheck refuses responses that violate HTTP although net/http accepts them.
package responsecheck

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
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
	case resp.ProtoMajor != 1 && resp.TLS == nil: // TLS agrees on the version
		return errors.Wrapf(ErrMalformed, "version %q", resp.Proto)
	case resp.StatusCode < minStatus || resp.StatusCode > maxStatus:
		return errors.Wrapf(ErrMalformed, "status %q", resp.Status)
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return errors.Wrap(ErrMalformed, "a switch of protocols that was not asked for")
	}
	return checkNames(resp.Header)
}

// checkNames checks the names of fields. net/http accepts blanks in them, and does not recognize a length
// or an encoding whose name ends with one.
func checkNames(fields http.Header) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrMalformed, "field name %q", name)
		}
	}
	return nil
}

// Body returns a body of a response that also checks the fields of its trailer.
func Body(resp *http.Response) io.ReadCloser {
	if len(resp.TransferEncoding) == 0 {
		return resp.Body // only chunked bodies have a trailer
	}
	return &chunkedBody{ReadCloser: resp.Body, resp: resp}
}

type chunkedBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if nameErr := checkNames(b.resp.Trailer); nameErr != nil {
			err = nameErr
		}
	}
	return n, err
}
