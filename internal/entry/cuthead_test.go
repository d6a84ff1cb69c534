package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/openai"
)

// Guards against an answer whose head is cut short and that is taken for a whole one with an empty or
// short body.
func TestHeadCutShortIsNoAnswer(t *testing.T) {
	for name, head := range map[string]string{
		"with a length":            "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\n",
		"chunked":                  "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n",
		"ends with the connection": "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n",
		"after an interim one":     "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
		"a stream":                 "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for n := range len(head) {
				for _, reset := range []bool{false, true} {
					l, err := net.Listen("tcp", "127.0.0.1:0")
					if err != nil {
						t.Fatal(err)
					}
					go func() {
						conn, err := l.Accept()
						if err != nil {
							return
						}
						defer conn.Close()
						_, _ = http.ReadRequest(bufio.NewReader(conn))
						_, _ = io.WriteString(conn, head[:n])
						if reset {
							_ = conn.(*net.TCPConn).SetLinger(0)
						}
					}()
					resp, err := newTargetClient(new(net.Dialer).DialContext).send(t.Context(), attemptRequest{
						attemptID: "a", target: "t", address: l.Addr().String(), method: http.MethodPost, path: "/x", sendOnce: true,
					})
					if err == nil {
						_, err = readWholeBody(resp)
						resp.Body.Close()
					}
					var sendErr *sendError
					if err == nil || errors.As(err, &sendErr) && sendErr.outcome == openai.NotRun {
						t.Errorf("the first %d of %d bytes are a whole answer, or tell that the request did not run (reset %v): %v", n, len(head), reset, err)
					}
					l.Close()
				}
			}
		})
	}
}
