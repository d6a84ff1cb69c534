package sse

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

func readAll(raw string) (data []string, err error) {
	r := NewReader(strings.NewReader(raw), 64, 128)
	for {
		e, err := r.Next()
		if err != nil {
			return data, err
		}
		data = append(data, e.ID+"="+string(e.Data))
	}
}

func TestNext(t *testing.T) {
	long := strings.Repeat("x", 70)
	for _, c := range []struct {
		name, raw string
		want      string
		err       error
	}{
		{"two events", "id: 0\ndata: a\n\nid: 1\ndata: b\n\n", "0=a 1=b", io.EOF},
		{"crlf", "id:0\r\ndata:a\r\n\r\n", "0=a", io.EOF},
		{"two data lines", "data: a\ndata: b\n\n", "=a\nb", io.EOF},
		{"comments and empty events", ": hi\n\nid: 7\n\ndata: a\n\n", "=a", io.EOF},
		{"empty data", "data:\n\n", "=", io.EOF},
		{"cut inside a line", "data: a\n\ndata: b", "=a", io.ErrUnexpectedEOF},
		{"cut before the empty line", "data: a\n\ndata: b\n", "=a", io.ErrUnexpectedEOF},
		{"line too long", "data: " + long + "\n\n", "", ErrTooLarge},
		{"event too large", strings.Repeat("data: "+long[:40]+"\n", 4) + "\n", "", ErrTooLarge},
		{"bare carriage return", "data: a\rb\n\n", "", ErrMalformed},
		{"two ids", "id: 1\nid: 2\ndata: a\n\n", "", ErrMalformed},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, err := readAll(c.raw)
			is.Equal(strings.Join(got, " "), c.want)
			is.True(errors.Is(err, c.err))
		})
	}
}

// For any input, the reader does not panic and returns no event above the limit,
// and an accepted event is unchanged by encoding and reading it again.
func FuzzReader(f *testing.F) {
	f.Add([]byte("id: 0\ndata: a\n\n"))
	f.Add([]byte("data: a\r\ndata\r\n\r\n: x\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		r := NewReader(bytes.NewReader(raw), 256, 1024)
		for {
			e, err := r.Next()
			if err != nil {
				return
			}
			if len(e.Data) > 1024 {
				t.Fatal("event exceeds its size limit")
			}
			decoded, err := NewReader(bytes.NewReader(Append(nil, e)), 8192, 1<<20).Next()
			if err != nil || decoded.ID != e.ID || decoded.HasID != e.HasID || decoded.Name != e.Name || !bytes.Equal(decoded.Data, e.Data) {
				t.Fatalf("%+v was read back as %+v: %v", e, decoded, err)
			}
		}
	})
}
