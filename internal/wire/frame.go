package wire

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// MaxFrameBytes is the maximum size of a frame. A larger announced length ends
// the connection before anything is allocated for the frame.
const MaxFrameBytes = 4 << 20

const headerBytes = 4

// Errors of reading and writing frames.
var (
	// ErrFrameTooLarge: the frame is longer than MaxFrameBytes.
	ErrFrameTooLarge = errors.New("wire: frame too large")
	// ErrFrameMalformed: a frame or its body cannot be decoded.
	ErrFrameMalformed = errors.New("wire: frame malformed")
)

// Kind identifies the type of a message, such as "hello" or "rate.ask".
type Kind string

// Frame is one message on a peer connection.
type Frame struct {
	// ID matches a response to its call; 0 for a one-way message.
	ID uint64 `msgpack:"i"`
	// IsResponse is set on the response to the call with the same ID.
	IsResponse bool `msgpack:"a,omitempty"`
	Kind       Kind `msgpack:"k"`
	// Err is set on a response if the peer's handler failed.
	Err  string             `msgpack:"e,omitempty"`
	Body msgpack.RawMessage `msgpack:"b,omitempty"`
}

// NewFrame encodes body and returns a frame with it.
func NewFrame(id uint64, kind Kind, body any) (Frame, error) {
	var buf bytes.Buffer
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&buf)
	enc.UseCompactInts(true)
	if err := enc.Encode(body); err != nil {
		return Frame{}, errors.Wrapf(err, "encode body kind=%s", kind)
	}
	return Frame{ID: id, Kind: kind, Body: buf.Bytes()}, nil
}

// DecodeBody decodes the frame's body into a pointer. The error is marked with
// ErrFrameMalformed.
func (f Frame) DecodeBody(body any) error {
	if err := msgpack.Unmarshal(f.Body, body); err != nil {
		return errors.Mark(errors.Wrapf(err, "decode body kind=%s", f.Kind), ErrFrameMalformed)
	}
	return nil
}

// Append appends the frame to dst, preceded by its 4-byte big-endian length.
func Append(dst []byte, f Frame) ([]byte, error) {
	raw, err := msgpack.Marshal(&f)
	if err != nil {
		return dst, errors.Wrapf(err, "encode frame kind=%s", f.Kind)
	}
	if len(raw) > MaxFrameBytes {
		return dst, errors.Wrapf(ErrFrameTooLarge, "kind=%s bytes=%d", f.Kind, len(raw))
	}
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(raw)))
	return append(dst, raw...), nil
}

// Read reads one frame. It returns io.EOF if the stream ended between frames.
func Read(r io.Reader) (Frame, error) { return ReadAtMost(r, MaxFrameBytes) }

// ReadAtMost is Read for a frame of at most limit bytes.
func ReadAtMost(r io.Reader, limit uint32) (Frame, error) {
	var f Frame
	var head [headerBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return f, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > limit {
		return f, errors.Wrapf(ErrFrameTooLarge, "bytes=%d", n)
	}
	raw := make([]byte, n)
	if _, err := io.ReadFull(r, raw); err != nil {
		return f, errors.Wrap(err, "read frame body")
	}
	if err := msgpack.Unmarshal(raw, &f); err != nil {
		return f, errors.Mark(errors.Wrap(err, "decode frame"), ErrFrameMalformed)
	}
	return f, nil
}
