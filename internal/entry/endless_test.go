package entry

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// Guards against reading without end what a target sends in place of an answer, and against an answer
// that is cut at the limit and looks complete.
func TestBytesWithoutEndAreNotAnAnswer(t *testing.T) {
	const (
		socketBuffer = 64 << 10
		// inBuffers bounds what the target can send beyond what is read: both buffers, which the
		// kernel doubles, and one write.
		inBuffers = 1 << 20
	)
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return conn, conn.(*net.TCPConn).SetReadBuffer(socketBuffer)
	}
	for name, c := range map[string]struct {
		head    string
		maxSent int64
	}{
		"head without end":                   {head: "HTTP/1.1 200 OK\r\nX-Filler: ", maxSent: maxResponseHeadBytes + inBuffers},
		"body that ends with its connection": {head: "HTTP/1.1 200 OK\r\n\r\n", maxSent: maxResponseBodyBytes + inBuffers},
		"chunk without end":                  {head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n", maxSent: maxResponseBodyBytes + inBuffers},
		"informational responses":            {head: strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1000), maxSent: inBuffers},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			var sent atomic.Int64
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				_ = conn.(*net.TCPConn).SetWriteBuffer(socketBuffer)
				filler := bytes.Repeat([]byte("x"), 64<<10)
				for next := []byte(c.head); ; next = filler {
					n, err := conn.Write(next)
					sent.Add(int64(n))
					if err != nil {
						return
					}
				}
			}()
			resp, err := newTargetClient(dial).send(t.Context(), attemptRequest{
				attemptID: "a", target: "t", address: l.Addr().String(), method: http.MethodPost, path: "/x", sendOnce: true,
			})
			if err == nil {
				_, err = readWholeBody(resp)
				resp.Body.Close()
			}
			is.True(err != nil)
			<-closed
			is.True(sent.Load() <= c.maxSent)
		})
	}
}

// Guards against answers of exactly the allowed size that are refused.
func TestBodyOfTheAllowedSizeIsWhole(t *testing.T) {
	is := is.New(t)
	body, err := readWholeBody(&http.Response{Body: io.NopCloser(io.LimitReader(zeros{}, maxResponseBodyBytes))})
	is.NoErr(err)
	is.Equal(len(body), maxResponseBodyBytes)
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }
