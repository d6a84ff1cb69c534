package logrec

import (
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// MaxRecordBytes bounds one encoded record.
const MaxRecordBytes = 256 << 10

// ErrMalformed is returned for bytes that are no envelope.
var ErrMalformed = errors.New("log record: malformed")

// Kind says what a record's body is, such as "claim" or "lease.renew".
type Kind string

// Envelope is one record as stored in the log.
type Envelope struct {
	Kind Kind `msgpack:"k"`
	// Writer is the writer: an instance incarnation or an operator.
	Writer string `msgpack:"b"`
	// AtMillis is the writer's wall clock in Unix milliseconds, for people
	// to read; no decision may depend on it.
	AtMillis int64              `msgpack:"t"`
	Body     msgpack.RawMessage `msgpack:"d"`
}

// Encode builds a record from a typed body.
func Encode(kind Kind, by string, atMillis int64, body any) ([]byte, error) {
	raw, err := msgpack.Marshal(body)
	if err != nil {
		return nil, errors.Wrapf(err, "encode record body kind=%s", kind)
	}
	data, err := msgpack.Marshal(&Envelope{Kind: kind, Writer: by, AtMillis: atMillis, Body: raw})
	if err != nil {
		return nil, errors.Wrapf(err, "encode record kind=%s", kind)
	}
	if len(data) > MaxRecordBytes {
		return nil, errors.Newf("encode record kind=%s: %d bytes, at most %d", kind, len(data), MaxRecordBytes)
	}
	return data, nil
}

// Decode reads the envelope. Bytes that do not decode give ErrMalformed:
// a fold skips such a record, the same way on every instance.
func Decode(data []byte) (Envelope, error) {
	var e Envelope
	if len(data) > MaxRecordBytes {
		return e, errors.Wrapf(ErrMalformed, "%d bytes", len(data))
	}
	if err := msgpack.Unmarshal(data, &e); err != nil {
		return e, errors.Mark(errors.Wrap(err, "decode record"), ErrMalformed)
	}
	return e, nil
}

// DecodeBody decodes the body into a typed value.
func (e Envelope) DecodeBody(body any) error {
	if err := msgpack.Unmarshal(e.Body, body); err != nil {
		return errors.Mark(errors.Wrapf(err, "decode record body kind=%s", e.Kind), ErrMalformed)
	}
	return nil
}
