package platform

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/responsecheck"
)

// maxResponseBytes limits how much of a response body is read.
const maxResponseBytes = 64 << 20

// WaitParam is the query parameter with the milliseconds for which a read may wait for records.
const WaitParam = "wait_ms"

// HTTPLog is an HTTP client of the log service. It implements Log.
type HTTPLog struct {
	base   string
	client *http.Client
}

// NewHTTPLog returns a client of the log service at baseURL, such as
// "http://127.0.0.1:19000". A nil client means http.DefaultClient.
func NewHTTPLog(baseURL string, client *http.Client) *HTTPLog {
	if client == nil {
		client = http.DefaultClient
	}
	return &HTTPLog{base: strings.TrimSuffix(baseURL, "/"), client: client}
}

type appendRequest struct {
	Records []string `json:"records"`
}

type appendResponse struct {
	FirstOffset Offset `json:"first_offset"`
}

type readResponse struct {
	Start   Offset       `json:"start"`
	Next    Offset       `json:"next"`
	Records []readRecord `json:"records"`
}

type readRecord struct {
	Offset Offset `json:"offset"`
	TimeMS int64  `json:"time_ms"`
	Data   string `json:"data"`
}

// Append implements Log. A call that fails after the connection was established
// may have taken effect. Therefore every failure other than an error status or a
// failed dial is reported as ErrOutcomeUnknown: a writer that treated it as a
// failure and appended again would store its records twice.
func (l *HTTPLog) Append(ctx context.Context, stream string, records [][]byte) (Offset, error) {
	req := appendRequest{Records: make([]string, len(records))}
	for i, r := range records {
		req.Records[i] = base64.StdEncoding.EncodeToString(r)
	}
	body, err := json.Marshal(&req)
	if err != nil {
		return 0, errors.Wrapf(err, "append stream=%s: encode", stream)
	}
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, l.recordsURL(stream), bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrapf(err, "append stream=%s peer=%s", stream, l.base)
	}
	httpReq.Header.Set("Content-Type", "application/json")
	// Without GetBody the transport cannot retry the append on its own when a
	// keep-alive connection breaks.
	httpReq.GetBody = nil
	resp, err := l.client.Do(httpReq)
	if err != nil {
		return 0, errors.Mark(errors.Wrapf(err, "append stream=%s peer=%s", stream, l.base), transportError(err))
	}
	defer resp.Body.Close()
	if err := statusError(resp.StatusCode); err != nil {
		return 0, errors.Wrapf(err, "append stream=%s peer=%s", stream, l.base)
	}
	var result appendResponse
	if err := responsecheck.DecodeJSON(io.LimitReader(resp.Body, maxResponseBytes), &result); err != nil {
		return 0, errors.Mark(errors.Wrapf(err, "append stream=%s peer=%s: decode response", stream, l.base), ErrOutcomeUnknown)
	}
	return result.FirstOffset, nil
}

// Read implements Log.
func (l *HTTPLog) Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) (Batch, error) {
	u := fmt.Sprintf("%s?from=%d&limit=%d&%s=%d", l.recordsURL(stream), from, limit, WaitParam, wait.Milliseconds())
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return Batch{}, errors.Wrapf(err, "read stream=%s peer=%s", stream, l.base)
	}
	resp, err := l.client.Do(httpReq)
	if err != nil {
		return Batch{}, errors.Mark(errors.Wrapf(err, "read stream=%s peer=%s", stream, l.base), ErrOutage)
	}
	defer resp.Body.Close()
	statusErr := statusError(resp.StatusCode)
	if statusErr != nil && !errors.Is(statusErr, ErrTrimmed) {
		return Batch{}, errors.Wrapf(statusErr, "read stream=%s peer=%s", stream, l.base)
	}
	var result readResponse
	if err := responsecheck.DecodeJSON(io.LimitReader(resp.Body, maxResponseBytes), &result); err != nil {
		return Batch{}, errors.Mark(errors.Wrapf(err, "read stream=%s peer=%s: decode response", stream, l.base), ErrOutage)
	}
	if statusErr != nil {
		return Batch{Start: result.Start}, errors.Wrapf(statusErr, "read stream=%s from=%d start=%d", stream, from, result.Start)
	}
	return result.toBatch(stream)
}

func (l *HTTPLog) recordsURL(stream string) string {
	return l.base + "/v1/streams/" + url.PathEscape(stream) + "/records"
}

func (a readResponse) toBatch(stream string) (Batch, error) {
	b := Batch{Start: a.Start, Next: a.Next, Records: make([]Record, len(a.Records))}
	for i, r := range a.Records {
		data, err := base64.StdEncoding.DecodeString(r.Data)
		if err != nil {
			return Batch{}, errors.Mark(errors.Wrapf(err, "read stream=%s offset=%d: decode data", stream, r.Offset), ErrOutage)
		}
		b.Records[i] = Record{Offset: r.Offset, Time: time.UnixMilli(r.TimeMS), Data: data}
	}
	return b, nil
}

// statusError maps an HTTP status to the errors of Log. It returns nil for 200.
func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusTooManyRequests:
		return ErrRateLimited
	case http.StatusServiceUnavailable:
		return ErrOutage
	case http.StatusGone:
		return ErrTrimmed
	default:
		return errors.Mark(errors.Newf("status %d", status), ErrOutcomeUnknown)
	}
}

// transportError returns ErrOutage for a call that was never sent, and
// ErrOutcomeUnknown for one whose response was lost.
func transportError(err error) error {
	if IsDialError(err) {
		return ErrOutage
	}
	return ErrOutcomeUnknown
}

// IsDialError reports whether a call failed while its connection was being
// established. Only then is it certain that the server received no byte of it.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
