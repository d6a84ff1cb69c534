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
)

// maxAnswerBytes bounds what is read of one answer of the platform.
const maxAnswerBytes = 64 << 20

// HTTPLog speaks to the log service over HTTP.
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

type appendAnswer struct {
	FirstOffset Offset `json:"first_offset"`
}

type readAnswer struct {
	Start   Offset       `json:"start"`
	Next    Offset       `json:"next"`
	Records []readRecord `json:"records"`
}

type readRecord struct {
	Offset Offset `json:"offset"`
	TimeMS int64  `json:"time_ms"`
	Data   string `json:"data"`
}

// Append implements Log. A call that fails after the connection was made may
// have taken effect, so everything but a refusal by status or a failed dial
// comes back as ErrOutcomeUnknown: a writer that took it for a failure and appended
// again would store its record twice.
func (l *HTTPLog) Append(ctx context.Context, stream string, records [][]byte) (Offset, error) {
	req := appendRequest{Records: make([]string, len(records))}
	for i, r := range records {
		req.Records[i] = base64.StdEncoding.EncodeToString(r)
	}
	body, err := json.Marshal(&req)
	if err != nil {
		return 0, errors.Wrapf(err, "append stream=%s: encode", stream)
	}
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, l.recordsURL(stream), bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrapf(err, "append stream=%s peer=%s", stream, l.base)
	}
	hr.Header.Set("Content-Type", "application/json")
	// Without GetBody the transport cannot send the append a second time by
	// itself when a kept connection breaks.
	hr.GetBody = nil
	resp, err := l.client.Do(hr)
	if err != nil {
		return 0, errors.Mark(errors.Wrapf(err, "append stream=%s peer=%s", stream, l.base), lostCallError(err))
	}
	defer resp.Body.Close()
	if err := refusal(resp.StatusCode); err != nil {
		return 0, errors.Wrapf(err, "append stream=%s peer=%s", stream, l.base)
	}
	var ans appendAnswer
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&ans); err != nil {
		return 0, errors.Mark(errors.Wrapf(err, "append stream=%s peer=%s: answer", stream, l.base), ErrOutcomeUnknown)
	}
	return ans.FirstOffset, nil
}

// Read implements Log.
func (l *HTTPLog) Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) (Batch, error) {
	u := fmt.Sprintf("%s?from=%d&limit=%d&wait_ms=%d", l.recordsURL(stream), from, limit, wait.Milliseconds())
	hr, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return Batch{}, errors.Wrapf(err, "read stream=%s peer=%s", stream, l.base)
	}
	resp, err := l.client.Do(hr)
	if err != nil {
		return Batch{}, errors.Mark(errors.Wrapf(err, "read stream=%s peer=%s", stream, l.base), ErrOutage)
	}
	defer resp.Body.Close()
	refused := refusal(resp.StatusCode)
	if refused != nil && !errors.Is(refused, ErrTrimmed) {
		return Batch{}, errors.Wrapf(refused, "read stream=%s peer=%s", stream, l.base)
	}
	var ans readAnswer
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&ans); err != nil {
		return Batch{}, errors.Mark(errors.Wrapf(err, "read stream=%s peer=%s: answer", stream, l.base), ErrOutage)
	}
	if refused != nil {
		return Batch{Start: ans.Start}, errors.Wrapf(refused, "read stream=%s from=%d start=%d", stream, from, ans.Start)
	}
	return ans.batch(stream)
}

func (l *HTTPLog) recordsURL(stream string) string {
	return l.base + "/v1/streams/" + url.PathEscape(stream) + "/records"
}

func (a readAnswer) batch(stream string) (Batch, error) {
	b := Batch{Start: a.Start, Next: a.Next, Records: make([]Record, len(a.Records))}
	for i, r := range a.Records {
		data, err := base64.StdEncoding.DecodeString(r.Data)
		if err != nil {
			return Batch{}, errors.Mark(errors.Wrapf(err, "read stream=%s offset=%d", stream, r.Offset), ErrOutage)
		}
		b.Records[i] = Record{Offset: r.Offset, Time: time.UnixMilli(r.TimeMS), Data: data}
	}
	return b, nil
}

// refusal maps the status of an answer to the log's errors.
func refusal(status int) error {
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

// lostCallError tells a call that never left from one whose answer was lost.
func lostCallError(err error) error {
	if IsDialError(err) {
		return ErrOutage
	}
	return ErrOutcomeUnknown
}

// IsDialError reports that a call failed before its connection was made: only
// then is it sure that no byte of it has reached the other side.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
