package entry

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/mastictray/mastictray/internal/openai"
	"github.com/mastictray/mastictray/internal/platform"
)

// Headers between the router and its targets; see docs/PROTOCOLS.md.
const (
	headerRequestID      = "X-Request-Id"
	headerAccount        = "X-Client-Account"
	headerVersion        = "X-Weights-Version"
	headerPriority       = "X-Priority"
	headerIncarnation    = "X-Engine-Incarnation"
	headerLastEventID    = "Last-Event-ID"
	headerIdempotencyKey = "Idempotency-Key"
)

const (
	targetDialTimeout     = 500 * time.Millisecond
	maxIdleConnsPerTarget = 256
	targetIdleConnTimeout = 60 * time.Second
	maxErrorBodyBytes     = 16 << 10
	maxResponseBodyBytes  = 64 << 20
)

// sendError is a failed exchange with a target, with what is known of whether
// the request ran there.
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

// attemptRequest is one try of a request at one target.
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
	// once forbids every second sending of the request's bytes.
	sendOnce bool
}

// targetClient sends requests to targets.
type targetClient struct {
	pooled   *http.Client
	unpooled *http.Client
}

// newTargetClient returns a client with two transports. Requests that may run
// only once go through the one without kept connections: on a kept
// connection that turns out closed, net/http sends some requests a second
// time by itself (an Idempotency-Key header is enough), which would book
// twice. On a fresh connection it never does.
func newTargetClient() *targetClient {
	dialer := &net.Dialer{Timeout: targetDialTimeout}
	return &targetClient{
		pooled: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: maxIdleConnsPerTarget,
			IdleConnTimeout:     targetIdleConnTimeout,
			DisableCompression:  true,
		}},
		unpooled: &http.Client{Transport: &http.Transport{
			DialContext:        dialer.DialContext,
			DisableKeepAlives:  true,
			DisableCompression: true,
		}},
	}
}

// send makes one attempt and returns the answer with its body open. A status
// of 4xx or 5xx is returned as an answer too; only a failed exchange is an
// error.
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

// outcomeOfSend says not_run only when the connection was never made: any
// later failure may have come after the target read the request.
func outcomeOfSendError(err error) openai.Outcome {
	if platform.NotConnected(err) {
		return openai.NotRun
	}
	return openai.MayHaveRun
}

// resume asks the same process for the rest of a stream it has begun.
func (c *targetClient) resume(ctx context.Context, r attemptRequest, lastSeq int64) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.address+"/v1/streams/"+r.attemptID, nil)
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

// cancel tells the target that nobody waits for the stream any more.
func (c *targetClient) cancel(ctx context.Context, address, attempt string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+address+"/v1/streams/"+attempt, nil)
	if err != nil {
		return
	}
	if resp, err := c.pooled.Do(req); err == nil {
		drainBody(resp)
	}
}

// drainBody reads a little of the rest so that the connection can be kept,
// and closes.
func drainBody(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, maxErrorBodyBytes)
	resp.Body.Close()
}
