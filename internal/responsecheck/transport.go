package responsecheck

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/resetconn"
)

// defaultMaxHeadBytes is the limit of net/http for the head of a response.
const defaultMaxHeadBytes = 10 << 20

// Transport is a http.Transport whose responses are well-formed, and whose bodies end without an error
// only if they are whole.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport that uses base, which it changes.
func NewTransport(base *http.Transport) *Transport {
	if base.DialContext == nil {
		base.ForceAttemptHTTP2 = true // as without a DialContext
	}
	base.DialContext = resetconn.Dialer(base.DialContext)
	return &Transport{base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn net.Conn
	interim := interimHeads{limit: t.MaxResponseHeaderBytes}
	if interim.limit <= 0 {
		interim.limit = defaultMaxHeadBytes
	}
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn:        func(info httptrace.GotConnInfo) { conn = info.Conn },
		Got1xxResponse: interim.check,
	})
	resp, err := t.Transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := Head(resp); err != nil {
		resp.Body.Close()
		conn.Close() // it may be idle already
		return nil, errors.Wrapf(err, "peer=%s", req.URL.Host)
	}
	resp.Body = Body(resp)
	return resp, nil
}

// interimHeads checks the heads before the final one. net/http doesn't limit their size if they are
// looked at.
type interimHeads struct {
	size, limit int64
}

// minHeadBytes is the size of a head without fields.
const minHeadBytes = int64(len("HTTP/1.1 100 \r\n\r\n"))

func (h *interimHeads) check(status int, fields textproto.MIMEHeader) error {
	h.size += minHeadBytes
	for name, values := range fields {
		for _, v := range values {
			h.size += int64(len(name) + len(v) + len(": \r\n"))
		}
	}
	if h.size > h.limit {
		return errors.Wrapf(ErrMalformed, "interim heads exceed %d bytes", h.limit)
	}
	// Its version is not told here; the final head has one too.
	return Head(&http.Response{ProtoMajor: 1, Status: strconv.Itoa(status), StatusCode: status, Header: http.Header(fields)})
}
