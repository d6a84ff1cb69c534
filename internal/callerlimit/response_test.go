package callerlimit

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/membudget"
)

const responseLimit = 64 * megabyte

// Guards against responses that are kept beyond the memory of the instance.
func TestResponseIsKeptAsFarAsThereIsMemory(t *testing.T) {
	is := is.New(t)
	m := NewMemory(128 * megabyte)
	body := strings.Repeat("0123456789abcdef", 30*megabyte/16)
	r := NewResponse(m, nil)
	rest := iotest.HalfReader(strings.NewReader(body))
	whole, err := r.Keep(rest, responseLimit)
	is.NoErr(err)
	is.True(!whole)
	use := m.Use()
	is.True(use.Used[membudget.Responses] > 0)
	is.True(use.Used[membudget.Responses] <= use.Total)
	is.True(r.Len() <= use.Used[membudget.Responses]+firstPartBytes)
	var sent bytes.Buffer
	_, err = r.WriteTo(&sent)
	is.NoErr(err)
	is.Equal(m.Use().Used[membudget.Responses], int64(0))
	_, err = io.Copy(&sent, rest)
	is.NoErr(err)
	is.True(sent.String() == body)
}

// Guards against a response that is cut, changed or too large and counts as whole.
func TestWholeResponses(t *testing.T) {
	broken := errors.New("broken")
	for name, c := range map[string]struct {
		size, limit int
		end         error
		wantErr     error
	}{
		"empty":           {0, responseLimit, io.EOF, nil},
		"one part":        {firstPartBytes, responseLimit, io.EOF, nil},
		"many parts":      {3 * megabyte, responseLimit, io.EOF, nil},
		"at the limit":    {megabyte, megabyte, io.EOF, nil},
		"above the limit": {megabyte + 1, megabyte, io.EOF, ErrBodyTooLarge},
		"cut":             {1000, responseLimit, io.ErrUnexpectedEOF, io.ErrUnexpectedEOF},
		"broken":          {2 * megabyte, responseLimit, broken, broken},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := NewMemory(256 * megabyte)
			body := strings.Repeat("x", c.size)
			r := NewResponse(m, nil)
			whole, err := r.Keep(io.MultiReader(strings.NewReader(body), iotest.ErrReader(c.end)), int64(c.limit))
			is.True(errors.Is(err, c.wantErr))
			is.Equal(whole, c.wantErr == nil)
			if whole {
				is.True(string(r.Bytes()) == body)
			}
			r.Release()
			is.Equal(m.Use().Used[membudget.Responses], int64(0))
		})
	}
}

// Guards against a caller that takes nothing of its response and keeps what others need.
func TestUnreadResponseGivesWayToAnother(t *testing.T) {
	l := newTestLimiter(t, 0, 2)
	unread, _ := l.connect()
	reader, _ := l.connect()
	l.now = time.Second
	for _, m := range []*Member{unread, reader} {
		l.serve(m)
		m.Sending(true)
	}
	l.now += sendStallTimeout / 2
	reader.Sending(true)
	reader.evictUnread()
	l.is.True(!unread.isAborted()) // it may still take it
	l.now += sendStallTimeout/2 + 1
	reader.evictUnread()
	l.is.True(unread.isAborted())
	l.is.True(!reader.isAborted())
}
