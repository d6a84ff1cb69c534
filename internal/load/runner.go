package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/openai"
	"github.com/mastictray/mastictray/internal/responsecheck"
)

const maxResponseBytes = 64 << 10

// RunLimits limits the length of a run and of its requests.
type RunLimits struct {
	// Duration is the time during which requests are sent.
	Duration time.Duration
	// MaxRequests is the maximum number of requests sent.
	MaxRequests int
	// Timeout limits one request.
	Timeout time.Duration
}

// Runner sends the traffic of a profile.
type Runner struct {
	profile  Profile
	entries  []string
	client   *http.Client
	counters runCounters
}

// NewRunner returns a runner that sends requests to the entries, given as base
// URLs, in round-robin order.
func NewRunner(p Profile, entries []string) *Runner {
	return &Runner{profile: p, entries: entries, client: newClient()}
}

// newClient keeps enough idle connections that latencies of an open-loop run don't
// include connection setup.
func newClient() *http.Client {
	return &http.Client{Transport: responsecheck.NewTransport(&http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true})}
}

// Run sends each request at its scheduled time until a limit is reached, waits for
// the answers and returns the results in order of arrival.
func (r *Runner) Run(ctx context.Context, seed uint64, limits RunLimits) []Result {
	gen := NewGenerator(r.profile, seed)
	start := time.Now()
	var (
		wg      sync.WaitGroup
		results []*Result
	)
	for len(results) < limits.MaxRequests {
		a := gen.Next()
		if a.At > limits.Duration || sleepUntil(ctx, start.Add(a.At)) != nil {
			break
		}
		res := newResult(a, r.profile.PieceBytes)
		results = append(results, &res)
		r.counters.sent.Add(1)
		wg.Go(func() { r.sendAndRecord(ctx, a, start, limits.Timeout, &res) })
	}
	wg.Wait()
	out := make([]Result, 0, len(results))
	for _, res := range results {
		out = append(out, *res)
	}
	return out
}

func sleepUntil(ctx context.Context, t time.Time) error {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// sendAndRecord sends one request and records its result.
func (r *Runner) sendAndRecord(ctx context.Context, a Arrival, start time.Time, timeout time.Duration, res *Result) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := r.sendPrompt(ctx, a, start, res)
	switch {
	case err == nil:
	case errors.Is(err, ErrViolation):
		res.Outcome, res.Code = OutcomeViolation, err.Error()
	default:
		res.Outcome, res.Code = OutcomeFailed, err.Error()
	}
	r.counters.countOutcome(*res)
}

func (r *Runner) sendPrompt(ctx context.Context, a Arrival, start time.Time, res *Result) error {
	body, err := json.Marshal(a.Request)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	resp, err := r.post(ctx, a.Index, r.profile.Path, body, requestHeader(a.Account))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		res.Outcome, res.Code = classifyErrorResponse(resp)
		return nil
	}
	return errors.Wrapf(r.checkStream(resp.Body, a, start, res), "entry=%s request=%d", resp.Request.Host, a.Index)
}

// requestHeader returns the headers of an account's requests.
func requestHeader(a Account) http.Header {
	return http.Header{"Content-Type": {"application/json"}, "Authorization": {"Bearer " + a.Key}}
}

// post sends a request to the i-th entry, modulo their number. Like the load
// balancer it tries the next entry if the connection can't be established. That
// can't run a request twice, since nothing has been sent yet.
func (r *Runner) post(ctx context.Context, i int, path string, body []byte, h http.Header) (*http.Response, error) {
	var err error
	for n := range r.entries {
		entry := r.entries[(i+n)%len(r.entries)]
		var req *http.Request
		if req, err = http.NewRequestWithContext(ctx, http.MethodPost, entry+path, bytes.NewReader(body)); err != nil {
			return nil, errors.Wrapf(err, "build request entry=%s", entry)
		}
		req.Header = h.Clone()
		var resp *http.Response
		if resp, err = r.client.Do(req); err == nil {
			return resp, nil
		}
		err = errors.Wrapf(err, "send request entry=%s", entry)
		if !isDialError(err) {
			break
		}
		r.counters.connectFailures.Add(1)
	}
	return nil, err
}

// isDialError reports whether no connection could be established.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// ConnectFailures returns the number of failed attempts to connect to an entry.
func (r *Runner) ConnectFailures() int64 { return r.counters.connectFailures.Load() }

// checkStream reads a stream to its end and checks it.
func (r *Runner) checkStream(body io.Reader, a Arrival, start time.Time, res *Result) error {
	checker := newStreamChecker(a.Request)
	events := newEventReader(body)
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) {
			if err := checker.checkEOF(); err != nil {
				return err
			}
			res.Outcome, res.Usage = OutcomeOK, *checker.usage
			return nil
		}
		if err != nil {
			return err
		}
		if err := checker.checkEvent(e); err != nil {
			return err
		}
		if res.TimeToFirstToken == 0 && checker.chunks > 0 {
			res.TimeToFirstToken = time.Since(start) - a.At
		}
	}
}

// errorResponse is the error response of the OpenAI API.
type errorResponse struct {
	Error apiError `json:"error"`
}

// classifyErrorResponse returns the outcome and error code of a response whose
// status is not 200. It is a refusal only if the status is 429 or the response is
// marked as not run.
func classifyErrorResponse(resp *http.Response) (Outcome, string) {
	var body errorResponse
	_ = json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&body)
	code := body.Error.Code
	if code == "" {
		code = resp.Status
	}
	switch {
	case resp.StatusCode == http.StatusTooManyRequests:
		return OutcomeRateRefused, code
	case resp.Header.Get(openai.OutcomeHeader) == string(openai.NotRun):
		return OutcomeRefused, code
	}
	return OutcomeFailed, code
}
