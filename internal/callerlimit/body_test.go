package callerlimit

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/mastictray/mastictray/internal/membudget"
)

const megabyte = 1 << 20

func request(body io.Reader, announced int64) *http.Request {
	return &http.Request{Body: io.NopCloser(body), ContentLength: announced}
}

// Guards against bodies that are put together wrongly, or charged other than for what has arrived:
// whatever their size, announced or not, and however they arrive.
func TestBodyIsReadWhole(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.IntRange(0, 3*maxPartBytes).Draw(rt, "size")
		copies := int64(rapid.IntRange(1, 6).Draw(rt, "copies"))
		want := bytes.Repeat([]byte("0123456789"), size/10+1)[:size]
		var r io.Reader = bytes.NewReader(want)
		if rapid.Bool().Draw(rt, "halves") {
			r = iotest.HalfReader(r)
		}
		if rapid.Bool().Draw(rt, "early_end") {
			r = iotest.DataErrReader(r)
		}
		announced := int64(size)
		if rapid.Bool().Draw(rt, "chunked") {
			announced = -1
		}
		memory := NewMemory(1 << 30)
		charge := NewCharge(memory)
		got, err := charge.ReadBody(request(r, announced), int64(size), copies)
		if err != nil || !bytes.Equal(got, want) {
			rt.Fatalf("read %d bytes of %d: %v", len(got), size, err)
		}
		if used := memory.Use().Used[membudget.Requests]; used != copies*int64(size) {
			rt.Fatalf("charged %d", used)
		}
		charge.Release()
		if used := memory.Use().Used[membudget.Requests]; used != 0 {
			rt.Fatalf("left %d", used)
		}
	})
}

// Guards against bodies above the limit that are read to their end.
func TestBodyAboveLimitIsNotRead(t *testing.T) {
	is := is.New(t)
	const limit = 100_000
	for _, announced := range []int64{limit + 1, -1} {
		body := &countingReader{}
		charge := NewCharge(nil)
		_, err := charge.ReadBody(request(body, announced), limit, 1)
		is.True(errors.Is(err, ErrBodyTooLarge))
		is.True(body.read <= 2*limit)
	}
}

// countingReader is a body without end.
type countingReader struct{ read int }

func (r *countingReader) Read(b []byte) (int, error) {
	r.read += len(b)
	return len(b), nil
}

// Guards against announcements that take the memory: nothing is charged for a body that has not
// arrived.
func TestAnnouncedBodiesTakeNoMemory(t *testing.T) {
	is := is.New(t)
	memory := NewMemory(96 * megabyte)
	for range 300 {
		charge := NewCharge(memory)
		is.True(charge.Take())
		_, err := charge.ReadBody(request(iotest.ErrReader(io.ErrUnexpectedEOF), megabyte), megabyte, 2)
		is.Equal(err, io.ErrUnexpectedEOF)
	}
	is.Equal(memory.Use().Used[membudget.Requests], int64(300*RequestBytes))
}

// Guards against announcements for which memory is taken though it is not charged.
func TestPartsGrowWithWhatHasArrived(t *testing.T) {
	is := is.New(t)
	for _, announced := range []int64{-1, 1, smallBodyBytes, megabyte} {
		is.True(nextPartBytes(0, announced) <= firstPartBytes)
		is.True(nextPartBytes(10_000, announced) <= 10_000)
	}
	is.Equal(nextPartBytes(90, 100), int64(11)) // the last byte makes the end of the body known
}
