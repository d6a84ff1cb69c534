package connrelay

import (
	"bytes"
	"io"
	"sync"
	"testing"

	"github.com/mastictray/mastictray/internal/brokentarget"
)

// relayExchange sends a large request through the peer and reads what the target sends to the end.
func relayExchange(t *testing.T, a *instance, address string) (string, error) {
	conn, err := a.dialer.Dial(t.Context(), "tcp", address)
	if err != nil {
		t.Error(err)
		return "", err
	}
	defer conn.Close()
	go func() {
		_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 8388608\r\n\r\n")
		if err == nil {
			// It fails once the target has ended the connection.
			_, _ = conn.Write(bytes.Repeat([]byte("u"), 8<<20))
		}
	}()
	got, err := io.ReadAll(conn)
	return string(got), err
}

// Guards against a reset of a target that an instance gets from its peer as a regular end, as the peer
// was still sending the request.
func TestResetDuringUploadIsNoRegularEndBehindAPeer(t *testing.T) {
	const exchanges = 200
	for name, c := range map[string]struct {
		end   brokentarget.End
		whole bool
	}{
		"reset": {end: brokentarget.Reset},
		"end":   {end: brokentarget.CloseSending, whole: true},
	} {
		t.Run(name, func(t *testing.T) {
			a, _ := newPair(t)
			a.setDirect(refuse)
			target := brokentarget.Start(t, brokentarget.Always(brokentarget.Response{Bytes: "HTTP/1.1 200 OK\r\n\r\npart", End: c.end}))
			slots := make(chan struct{}, 16)
			var ended sync.WaitGroup
			for range exchanges {
				slots <- struct{}{}
				ended.Go(func() {
					defer func() { <-slots }()
					if got, err := relayExchange(t, a, target.Address); (err == nil) != c.whole {
						t.Errorf("%q ended with %v", got, err)
					}
				})
			}
			ended.Wait()
		})
	}
}
