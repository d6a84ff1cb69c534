package callerlimit

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/mastictray/mastictray/internal/membudget"
	"github.com/mastictray/mastictray/internal/socketbuffer"
)

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
		charge := NewCharge(memory, nil)
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
		charge := NewCharge(nil, nil)
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
	l := newTestLimiter(t, 96, 0)
	for range 300 {
		m, _ := l.connect()
		charge := NewCharge(l.Memory, m)
		l.is.True(charge.Take())
		_, err := charge.ReadBody(request(iotest.ErrReader(io.ErrUnexpectedEOF), megabyte), megabyte, 2)
		l.is.Equal(err, io.ErrUnexpectedEOF)
	}
	l.is.Equal(l.Memory.Use().Used[membudget.Requests], int64(300*RequestBytes))
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

// arriving is a large body that arrives on a connection.
type arriving struct {
	member *Member
	socket *fakeSocket
	charge Charge
}

// stall fills the memory for large bodies with such that have stopped just short of their end.
func (l *testLimiter) stall() (all []*arriving) {
	for {
		m, s := l.connect()
		m.StateChanged(http.StateActive)
		m.beginRequest(&http.Request{ContentLength: megabyte})
		a := &arriving{m, s, NewCharge(l.Memory, m)}
		l.is.NoErr(m.Received(make([]byte, megabyte-1)))
		if !l.Memory.takeLarge(membudget.Requests, 2*megabyte) {
			return all
		}
		a.charge.bytes = 2 * megabyte
		m.chargeBody(2 * megabyte)
		all = append(all, a)
	}
}

// Guards against large bodies that stop just short of their end and keep others out: one is evicted
// for another that arrives, and its request is told so.
func TestStalledBodyGivesWay(t *testing.T) {
	l := newTestLimiter(t, 96, 0)
	stalled := l.stall()
	l.is.True(len(stalled) > 1)
	l.now = 30 * time.Second
	m, _ := l.connect()
	m.StateChanged(http.StateActive)
	m.beginRequest(&http.Request{ContentLength: megabyte})
	charge := NewCharge(l.Memory, m)
	go func() { // the evicted request ends
		for {
			for _, a := range stalled {
				if a.member.isEvicted() {
					a.charge.Release()
					return
				}
			}
			time.Sleep(time.Millisecond)
		}
	}()
	body, err := charge.ReadBody(request(progressing{strings.NewReader(strings.Repeat("x", megabyte)), m}, megabyte), megabyte, 2)
	l.is.NoErr(err)
	l.is.Equal(len(body), megabyte)
	interrupted := 0
	for _, a := range stalled {
		if a.socket.interrupted {
			interrupted++
			l.is.True(!a.member.finishBody())
		}
	}
	l.is.Equal(interrupted, 1)
}

// progressing is a body whose bytes come from a connection.
type progressing struct {
	io.Reader
	member *Member
}

func (r progressing) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 && r.member.Received(b[:n]) != nil {
		return 0, ErrMemoryFull
	}
	return n, err
}

// Guards against small requests that large bodies keep out.
func TestLargeBodiesLeaveRoomForSmallOnes(t *testing.T) {
	l := newTestLimiter(t, 96, 0)
	l.stall()
	m, _ := l.connect()
	charge := NewCharge(l.Memory, m)
	l.is.True(charge.Take())
	_, err := charge.ReadBody(request(strings.NewReader(strings.Repeat("x", 10_000)), 10_000), megabyte, 2)
	l.is.NoErr(err)
}

// Guards against a wide receive buffer that outlasts its body: it could be filled while the request
// is served.
func TestReceiveBufferIsWideForALargeBodyOnly(t *testing.T) {
	l := newTestLimiter(t, 96, 0)
	m, s := l.connect()
	m.beginRequest(&http.Request{ContentLength: megabyte})
	m.widen()
	l.is.Equal(s.readBuffer, bodyBufferBytes)
	l.is.True(m.finishBody())
	l.is.Equal(s.readBuffer, socketbuffer.Callers.Receive)
}
