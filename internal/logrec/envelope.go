package logrec

import (
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// MaxRecordBytes is the greatest size of one encoded record.
const MaxRecordBytes = 256 << 10

// ErrMalformed marks errors about bytes that do not decode as a record.
var ErrMalformed = errors.New("malformed log record")

// Kind identifies the type of a record's body, such as "claim" or
// "lease.renew".
type Kind string

// Envelope is one record as stored in the log.
type Envelope struct {
	Kind Kind `msgpack:"k"`
	// Writer is the instance incarnation or the operator that wrote the record.
	Writer string `msgpack:"b"`
	// AtMillis is the writer's wall clock in Unix milliseconds. It is for
	// people to read; no decision may depend on it.
	AtMillis int64              `msgpack:"t"`
	Body     msgpack.RawMessage `msgpack:"d"`
}

// Encode returns the encoded record for a typed body.
func Encode(kind Kind, writer string, atMillis int64, body any) ([]byte, error) {
	raw, err := msgpack.Marshal(body)
	if err != nil {
		return nil, errors.Wrapf(err, "encode record body kind=%s", kind)
	}
	data, err := msgpack.Marshal(&Envelope{Kind: kind, Writer: writer, AtMillis: atMillis, Body: raw})
	if err != nil {
		return nil, errors.Wrapf(err, "encode record kind=%s", kind)
	}
	if len(data) > MaxRecordBytes {
		return nil, errors.Newf("encode record kind=%s: %d bytes, at most %d", kind, len(data), MaxRecordBytes)
	}
	return data, nil
}

// Decode decodes the envelope of a record. It returns an error marked
// ErrMalformed for bytes that do not decode; every instance skips such a
// record.
func Decode(data []byte) (Envelope, error) {
	var e Envelope
	if len(data) > MaxRecordBytes {
		return e, errors.Wrapf(ErrMalformed, "%d bytes, at most %d", len(data), MaxRecordBytes)
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
