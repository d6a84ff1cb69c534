package entry

import (
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/callerlimit"
	"github.com/mastictray/mastictray/internal/claim"
	"github.com/mastictray/mastictray/internal/config"
	"github.com/mastictray/mastictray/internal/logline"
)

// forwardedResponseHeaders are the response headers that are forwarded to the
// caller.
var forwardedResponseHeaders = []string{"Content-Type", "Content-Language", "Location", "Retry-After"}

// serviceResponse is the response of a plain service.
type serviceResponse struct {
	status int
	header http.Header
	body   *callerlimit.Response
	// relayed is set if the response has been sent to the caller, as there was no memory to keep it.
	relayed bool
}

// claimResult returns what is stored of the response for a repeat of the request.
func (r serviceResponse) claimResult() claim.Result {
	result := claim.Result{Status: r.status, ContentType: r.header.Get("Content-Type")}
	if r.relayed || r.body.Len() > claim.DefaultMaxBodyBytes {
		result.BodyDropped = true
		return result
	}
	result.Body = r.body.Bytes()
	return result
}

// readServiceResponse reads a response. If there is no memory to keep it, it is sent to the caller as it
// arrives.
func (s *server) readServiceResponse(c *call, resp *http.Response) (serviceResponse, error) {
	kept := callerlimit.NewResponse(s.memory, callerlimit.FromContext(c.r.Context()))
	response := serviceResponse{status: resp.StatusCode, header: resp.Header, body: kept}
	whole, err := kept.Keep(resp.Body, maxResponseBodyBytes)
	if err == nil && !whole {
		response.relayed = true
		err = s.relayServiceResponse(c, response, resp)
	}
	if err != nil {
		kept.Release()
	}
	return response, err
}

// relayServiceResponse sends a response, of which the beginning is kept, as it arrives. A caller that
// has disconnected is no error: the request has run.
func (s *server) relayServiceResponse(c *call, response serviceResponse, resp *http.Response) error {
	logline.InfoSampled("response_relayed", "request", c.id, "kept_bytes", response.body.Len(), "announced", resp.ContentLength)
	if resp.ContentLength >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	left := maxResponseBodyBytes - response.body.Len()
	s.writeServiceHead(c, response)
	if _, err := response.body.WriteTo(c.w); err != nil {
		return nil
	}
	rest := &io.LimitedReader{R: resp.Body, N: left + 1}
	source := &readError{Reader: rest}
	_, _ = io.Copy(c.w, source)
	err := source.err
	if err == nil && rest.N == 0 {
		err = errors.Wrapf(errBodyTooLarge, "limit=%d", maxResponseBodyBytes)
	}
	c.cutShort = err != nil
	return err
}

// readError keeps the error of a reader, to tell it from that of the writer to which it is copied.
type readError struct {
	io.Reader
	err error
}

func (r *readError) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if err != nil && err != io.EOF {
		r.err = err
	}
	return n, err
}

// writeServiceHead sends the head of a response.
func (s *server) writeServiceHead(c *call, resp serviceResponse) {
	for _, name := range forwardedResponseHeaders {
		if v := resp.header.Get(name); v != "" {
			c.w.Header().Set(name, v)
		}
	}
	s.announceDrain(c.w)
	c.headSent = true
	c.w.WriteHeader(resp.status)
}

func (s *server) writeServiceResponse(c *call, pool config.Pool, resp serviceResponse) {
	if !resp.relayed {
		s.writeServiceHead(c, resp)
		_, _ = resp.body.WriteTo(c.w)
	}
	s.metrics.countAnswer(c.account.Name, pool.Name)
	logline.Info("request_done", "request", c.id, "account", c.account.Name, "key", c.keyID, "route", c.route.Name,
		"attempts", c.attempts, "status", resp.status, "ms", (s.clock.now() - c.startedAt).Milliseconds())
}
