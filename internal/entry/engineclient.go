package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/openai"
	"github.com/mastictray/mastictray/internal/platform"
	"github.com/mastictray/mastictray/internal/responsecheck"
	"github.com/mastictray/mastictray/internal/targetconn"
)

// Headers of requests to targets and of their responses; see docs/PROTOCOLS.md.
const (
	headerRequestID      = "X-Request-Id"
	headerAccount        = "X-Client-Account"
	headerVersion        = "X-Weights-Version"
	headerSoftware       = "X-Engine-Software"
	headerPriority       = "X-Priority"
	headerIncarnation    = "X-Engine-Incarnation"
	headerLastEventID    = "Last-Event-ID"
	headerIdempotencyKey = "Idempotency-Key"
)

// streamsPath, followed by the id of an attempt, is the path of its stream at an engine.
const streamsPath = "/v1/streams/"

const (
	targetDialTimeout     = 500 * time.Millisecond
	maxIdleConnsPerTarget = 256
	targetIdleConnTimeout = 60 * time.Second
	maxErrorBodyBytes     = 16 << 10
	maxResponseBodyBytes  = 64 << 20
	// maxResponseHeadBytes limits the head of a target's response.
	maxResponseHeadBytes = 64 << 10
)

// sendError is a failed exchange with a target. outcome states whether the
// request may have run there.
type sendError struct {
	op      string
	target  string
	outcome openai.Outcome
	cause   error
}

func (e *sendError) Error() string {
	return e.op + " target=" + e.target + ": " + e.cause.Error()
}

func (e *sendError) Unwrap() error { return e.cause }

// attemptRequest is the HTTP request of one attempt at one target.
type attemptRequest struct {
	attemptID string
	target    string
	address   string
	method    string
	path      string
	query     string
	account   string
	version   string
	priority  int
	header    http.Header
	body      []byte
	// sendOnce prevents net/http from sending the request again by itself.
	sendOnce bool
}

// targetClient sends requests to targets.
type targetClient struct {
	pooled   *http.Client
	unpooled *http.Client
}

// newTargetClient returns a client with two transports. Requests that may run
// only once use the one without keep-alive connections. When a reused connection
// turns out to be closed, net/http retries some requests by itself, for example
// those with an Idempotency-Key header, and a target could run them twice. It
// never does so on a new connection.
func newTargetClient(dial targetconn.DialFunc) *targetClient {
	return &targetClient{
		pooled: &http.Client{CheckRedirect: keepRedirect, Transport: responsecheck.NewTransport(&http.Transport{
			DialContext:            dial,
			MaxIdleConnsPerHost:    maxIdleConnsPerTarget,
			MaxResponseHeaderBytes: maxResponseHeadBytes,
			IdleConnTimeout:        targetIdleConnTimeout,
			DisableCompression:     true,
		})},
		unpooled: &http.Client{CheckRedirect: keepRedirect, Transport: responsecheck.NewTransport(&http.Transport{
			DialContext:            dial,
			DisableKeepAlives:      true,
			MaxResponseHeaderBytes: maxResponseHeadBytes,
			DisableCompression:     true,
		})},
	}
}

// keepRedirect makes a client return a redirect instead of following it: it is the target's
// response to the caller, and its address was chosen by no pool.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// send makes one attempt and returns the response with its body open. A response
// with a status of 4xx or 5xx is not an error; only a failed exchange is.
func (c *targetClient) send(ctx context.Context, r attemptRequest) (*http.Response, error) {
	url := "http://" + r.address + r.path
	if r.query != "" {
		url += "?" + r.query
	}
	req, err := http.NewRequestWithContext(ctx, r.method, url, bytes.NewReader(r.body))
	if err != nil {
		return nil, &sendError{op: "build request", target: r.target, outcome: openai.NotRun, cause: err}
	}
	req.GetBody = nil
	for k, v := range r.header {
		req.Header[k] = v
	}
	req.Header.Set(headerRequestID, r.attemptID)
	req.Header.Set(headerAccount, r.account)
	req.Header.Set(headerPriority, strconv.Itoa(r.priority))
	if r.version != "" {
		req.Header.Set(headerVersion, r.version)
	}
	client := c.pooled
	if r.sendOnce {
		client = c.unpooled
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, &sendError{op: "send", target: r.target, outcome: outcomeOfSendError(err), cause: err}
	}
	return resp, nil
}

// outcomeOfSendError returns NotRun only if no connection was established. After
// any later failure the target may have read the request.
func outcomeOfSendError(err error) openai.Outcome {
	if platform.IsDialError(err) {
		return openai.NotRun
	}
	return openai.MayHaveRun
}

// resume requests the rest of a stream from the process that began it, after the
// chunk with the sequence number lastSeq.
func (c *targetClient) resume(ctx context.Context, r attemptRequest, lastSeq int64) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.address+streamsPath+r.attemptID, nil)
	if err != nil {
		return nil, &sendError{op: "build resume", target: r.target, outcome: openai.MayHaveRun, cause: err}
	}
	req.Header.Set(headerLastEventID, strconv.FormatInt(lastSeq, 10))
	resp, err := c.pooled.Do(req)
	if err != nil {
		return nil, &sendError{op: "resume", target: r.target, outcome: openai.MayHaveRun, cause: err}
	}
	return resp, nil
}

// cancel requests that the target stop an attempt whose response is no longer
// needed.
func (c *targetClient) cancel(ctx context.Context, address, attempt string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+address+streamsPath+attempt, nil)
	if err != nil {
		return
	}
	if resp, err := c.pooled.Do(req); err == nil {
		drainBody(resp)
	}
}

// errBodyTooLarge means that a target's response exceeds maxResponseBodyBytes, or has no end.
var errBodyTooLarge = errors.New("response body too large")

// readWholeBody reads a body of up to maxResponseBodyBytes.
func readWholeBody(resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBodyBytes+1))
	if err == nil && len(body) > maxResponseBodyBytes {
		return nil, errors.Wrapf(errBodyTooLarge, "limit=%d", maxResponseBodyBytes)
	}
	return body, err
}

// drainBody closes the body after reading up to maxErrorBodyBytes of what is
// left, so that the connection can be reused.
func drainBody(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, maxErrorBodyBytes)
	resp.Body.Close()
}
