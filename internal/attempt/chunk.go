package attempt

import (
	"bytes"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// idPrefix goes before the attempt id in the JSON id of each chunk.
const idPrefix = "cmpl-"

// doneData is the data of the event that ends a stream.
const doneData = "[DONE]"

// ErrForeign is returned for an answer that belongs to another attempt.
var ErrForeign = errors.New("attempt: answer of another attempt")

// chunk is what has to be known of one event of an answer.
type chunk struct {
	ID      string          `json:"id"`
	Choices json.RawMessage `json:"choices"`
}

// parseChunk checks that the chunk belongs to the attempt. A crossed answer
// on a reused connection would otherwise reach the wrong caller.
func parseChunk(attempt string, data []byte) (chunk, error) {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return c, errors.Wrap(err, "decode chunk")
	}
	if c.ID != idPrefix+attempt {
		return c, errors.Wrapf(ErrForeign, "attempt=%s", attempt)
	}
	return c, nil
}

// rename puts the request's id in place of the attempt's, so that an answer
// that two targets gave parts of reads as one.
func rename(dst, data []byte, attempt, request string) ([]byte, error) {
	old := []byte(`"` + idPrefix + attempt + `"`)
	at := bytes.Index(data, old)
	if at >= 0 && bytes.LastIndex(data, old) == at {
		dst = append(dst[:0], data[:at]...)
		dst = append(append(append(dst, '"'), idPrefix+request...), '"')
		return append(dst, data[at+len(old):]...), nil
	}
	return renameField(data, request)
}

// renameField is the slow way, for a chunk whose text repeats the id.
func renameField(data []byte, request string) ([]byte, error) {
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

// chain adds one chunk's choices to the running hash of an answer.
func chain(prev uint64, choices []byte) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(prev)
	_, _ = d.Write(choices)
	return d.Sum64()
}

// ErrorBody is the data of the error event, or the body of the error answer,
// that a caller gets for an EndError.
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
