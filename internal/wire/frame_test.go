package wire

import (
	"bytes"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

func TestFrameRoundTrip(t *testing.T) {
	is := is.New(t)
	f, err := NewFrame(7, "hello", map[string]int{"n": 3})
	is.NoErr(err)
	raw, err := Append(nil, f)
	is.NoErr(err)
	got, err := Read(bytes.NewReader(raw))
	is.NoErr(err)
	is.Equal(got, f)
}

// A faulty or hostile peer announces a frame of 4 GB. Read must fail on the
// header: allocating the frame first could exhaust the process's memory.
func TestReadRejectsOversizedFrame(t *testing.T) {
	is := is.New(t)
	_, err := Read(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff}))
	is.True(errors.Is(err, ErrFrameTooLarge))
}

func FuzzRead(f *testing.F) {
	good, _ := NewFrame(1, "hello", "x")
	raw, _ := Append(nil, good)
	f.Add(raw)
	f.Add([]byte{0, 0, 0, 1, 0xc1})
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = Read(bytes.NewReader(data))
	})
}
