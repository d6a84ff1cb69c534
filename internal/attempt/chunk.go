package attempt

import (
	"bytes"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// idPrefix precedes the attempt id in the "id" field of each chunk.
const idPrefix = "cmpl-"

// doneData is the data of the event that ends a stream.
const doneData = "[DONE]"

// ErrWrongAttempt is returned for a response that belongs to another attempt.
var ErrWrongAttempt = errors.New("attempt: response to another attempt")

// chunk holds the fields of a response chunk that the relay depends on.
type chunk struct {
	ID      string          `json:"id"`
	Choices json.RawMessage `json:"choices"`
}

// parseChunk decodes a chunk and checks that it belongs to the attempt. On a reused
// connection, the response to another request could otherwise reach the caller.
func parseChunk(attempt string, data []byte) (chunk, error) {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return c, errors.Wrap(err, "decode chunk")
	}
	if c.ID != idPrefix+attempt {
		return c, errors.Wrapf(ErrWrongAttempt, "attempt=%s", attempt)
	}
	return c, nil
}

// replaceID replaces the attempt's id by the request's, so that a response with parts from
// two targets has one id.
func replaceID(dst, data []byte, attempt, request string) ([]byte, error) {
	quotedID := []byte(`"` + idPrefix + attempt + `"`)
	at := bytes.Index(data, quotedID)
	if at >= 0 && bytes.LastIndex(data, quotedID) == at {
		dst = append(dst[:0], data[:at]...)
		dst = append(append(append(dst, '"'), idPrefix+request...), '"')
		return append(dst, data[at+len(quotedID):]...), nil
	}
	return replaceIDField(data, request)
}

// replaceIDField is the slow path, for a chunk in which the id occurs more than once.
func replaceIDField(data []byte, request string) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, errors.Wrap(err, "decode chunk")
	}
	id, err := json.Marshal(idPrefix + request)
	if err != nil {
		return nil, errors.Wrap(err, "encode chunk id")
	}
	fields["id"] = id
	out, err := json.Marshal(fields)
	return out, errors.Wrap(err, "encode chunk")
}

// hashChunk extends the running hash of a response by a chunk's choices.
func hashChunk(prev uint64, choices []byte) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(prev)
	_, _ = d.Write(choices)
	return d.Sum64()
}

// ErrorBody returns the data of the error event, or the body of the error response, for
// an EndError.
func ErrorBody(request string, a Action) []byte {
	code := "upstream_failed"
	if a.Partial {
		code = "stream_broken"
	}
	body, err := json.Marshal(errorBody{Error: errorFields{
		Message: "the answer could not be completed: " + string(a.Cause),
		Type:    "server_error", Code: code, Outcome: a.Outcome, Request: request,
	}})
	if err != nil {
		return []byte(`{"error":{"code":"stream_broken"}}`)
	}
	return body
}

type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code"`
	Outcome Outcome `json:"outcome"`
	Request string  `json:"request_id"`
}
