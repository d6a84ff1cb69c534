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

// testUploads verifies whether the responses to large requests through a peer are whole, for a way in which
// the target ends its connection.
func testUploads(t *testing.T, end brokentarget.End, whole bool) {
	const exchanges = 200
	a, _ := newPair(t)
	a.setDirect(refuse)
	target := brokentarget.Start(t, brokentarget.Always(brokentarget.Response{Bytes: "HTTP/1.1 200 OK\r\n\r\npart", End: end}))
	slots := make(chan struct{}, 16)
	var ended sync.WaitGroup
	for range exchanges {
		slots <- struct{}{}
		ended.Go(func() {
			defer func() { <-slots }()
			if got, err := relayExchange(t, a, target.Address); (err == nil) != whole {
				t.Errorf("%q ended with %v", got, err)
			}
		})
	}
	ended.Wait()
}

// Guards against a reset of a target that an instance gets from its peer as a regular end, as the peer
// was still sending the request.
func TestResetDuringUploadIsNoRegularEndBehindAPeer(t *testing.T) {
	t.Run("reset", func(t *testing.T) { testUploads(t, brokentarget.Reset, false) })
	t.Run("end", func(t *testing.T) { testUploads(t, brokentarget.CloseSending, true) })
}

// Guards against a whole response that counts as broken, as its target resets the connection after the
// regular end.
func TestEndBeforeResetIsRegularBehindAPeer(t *testing.T) {
	testUploads(t, brokentarget.CloseThenReset, true)
}
