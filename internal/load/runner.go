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
)

const maxErrorBytes = 64 << 10

// RunLimits ends a run.
type RunLimits struct {
	// Duration is the time in which requests are sent.
	Duration time.Duration
	// MaxRequests is the most that are sent.
	MaxRequests int
	// Timeout is the longest that one request may take.
	Timeout time.Duration
}

// Runner sends a profile's traffic.
type Runner struct {
	profile Profile
	entries []string
	client  *http.Client
	stats   progress
}

// NewRunner returns a runner that spreads requests over the entries, given as
// base URLs, in turn.
func NewRunner(p Profile, entries []string) *Runner {
	return &Runner{profile: p, entries: entries, client: newClient()}
}

// newClient keeps enough idle connections that an open-loop run measures the
// fleet and not its own connects.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}}
}

// Run sends arrivals at their time until a bound is met, waits for the
// answers, and returns the results in order of arrival.
func (r *Runner) Run(ctx context.Context, seed uint64, b RunLimits) []Result {
	gen := NewGenerator(r.profile, seed)
	start := time.Now()
	var (
		wg      sync.WaitGroup
		results []*Result
	)
	for len(results) < b.MaxRequests {
		a := gen.Next()
		if a.At > b.Duration || waitUntil(ctx, start.Add(a.At)) != nil {
			break
		}
		res := newResult(a, r.profile.PieceBytes)
		results = append(results, &res)
		r.stats.sent.Add(1)
		wg.Go(func() { r.do(ctx, a, start, b.Timeout, &res) })
	}
	wg.Wait()
	out := make([]Result, 0, len(results))
	for _, res := range results {
		out = append(out, *res)
	}
	return out
}

func waitUntil(ctx context.Context, t time.Time) error {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// do sends one request and fills in its result.
func (r *Runner) do(ctx context.Context, a Arrival, start time.Time, timeout time.Duration, res *Result) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := r.send(ctx, a, start, res)
	switch {
	case err == nil:
	case errors.Is(err, ErrViolation):
		res.Outcome, res.Code = OutcomeViolation, err.Error()
	default:
		res.Outcome, res.Code = OutcomeFailed, err.Error()
	}
	r.stats.end(*res)
}

func (r *Runner) send(ctx context.Context, a Arrival, start time.Time, res *Result) error {
	body, err := json.Marshal(a.Request)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	resp, err := r.post(ctx, a.Index, r.profile.Path, body, header(a.Account))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		res.Outcome, res.Code = refusal(resp)
		return nil
	}
	return errors.Wrapf(r.follow(resp.Body, a, start, res), "entry=%s request=%d", resp.Request.Host, a.Index)
}

// header is what every request of an account carries.
func header(a Account) http.Header {
	return http.Header{"Content-Type": {"application/json"}, "Authorization": {"Bearer " + a.Key}}
}

// post sends a request to the i-th entry. Like the balancer it passes over an
// entry that takes no connection: nothing has been sent to it then, so the next
// one does not get a repeat.
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
		if !notConnected(err) {
			break
		}
		r.stats.passedOver.Add(1)
	}
	return nil, err
}

// notConnected reports whether the request found no connection to go out on.
func notConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// ConnectFailures counts the times that an entry took no connection.
func (r *Runner) ConnectFailures() int64 { return r.stats.passedOver.Load() }

// follow reads and checks a stream to its end.
func (r *Runner) follow(body io.Reader, a Arrival, start time.Time, res *Result) error {
	check := newStreamCheck(a.Request)
	events := newEventReader(body)
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) {
			if err := check.eof(); err != nil {
				return err
			}
			res.Outcome, res.Usage = OutcomeOK, *check.usage
			return nil
		}
		if err != nil {
			return err
		}
		if err := check.event(e); err != nil {
			return err
		}
		if res.FirstToken == 0 && check.chunks > 0 {
			res.FirstToken = time.Since(start) - a.At
		}
	}
}

// errorBody is the OpenAI shape of a refusal.
type errorBody struct {
	Error apiError `json:"error"`
}

// refusal reads an answer that is not 200. Only one that says that the
// request was not run counts as a refusal.
func refusal(resp *http.Response) (Outcome, string) {
	var body errorBody
	_ = json.NewDecoder(io.LimitReader(resp.Body, maxErrorBytes)).Decode(&body)
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
