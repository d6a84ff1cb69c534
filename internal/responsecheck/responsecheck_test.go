package responsecheck

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/brokentarget"
)

// get reads a response to its end.
func get(client *http.Client, address string, upload []byte) (*http.Response, string, error) {
	resp, err := client.Post("http://"+address, "", bytes.NewReader(upload))
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

func newClient(t *testing.T) *http.Client {
	client := &http.Client{Transport: NewTransport(&http.Transport{MaxResponseHeaderBytes: 64 << 10})}
	t.Cleanup(client.CloseIdleConnections)
	return client
}

// Guards against malformed responses that a client gets, and against the use of their connections for
// other requests.
func TestMalformedResponsesAreErrors(t *testing.T) {
	for group := range brokentarget.Heads {
		for name, response := range brokentarget.Malformed(group, "") {
			t.Run(group+"/"+name, func(t *testing.T) {
				client := newClient(t)
				target := brokentarget.Start(t, brokentarget.Always(response))
				for range 2 {
					if resp, body, err := get(client, target.Address, nil); err == nil {
						t.Errorf("status %d, %q", resp.StatusCode, body)
					}
				}
			})
		}
	}
}

// Guards against the framing of chunks as the body of a response of HTTP/1.0, which has no chunks.
func TestOldResponseWithChunksIsAnError(t *testing.T) {
	const chunked = "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nevil\r\n0\r\n\r\n"
	target := brokentarget.Start(t, brokentarget.Always(brokentarget.Response{Bytes: chunked, End: brokentarget.CloseSending}))
	if _, body, err := get(newClient(t), target.Address, nil); err == nil {
		t.Errorf("whole response %q", body)
	}
}

// Guards against valid responses that are refused.
func TestValidResponsesAreReturned(t *testing.T) {
	for name, raw := range map[string]string{
		"length":          "HTTP/1.1 200 OK\r\nX-Odd!#$%&'*+.^_`|~Name: x\r\nContent-Length: 4\r\n\r\nbody",
		"old":             "HTTP/1.0 200 OK\r\n\r\nbody",
		"interim":         "HTTP/1.1 102 Processing\r\nX-Name: x\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"chunked":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"trailer":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n4\r\nbody\r\n0\r\nX-Sum: 1\r\n\r\n",
		"highest status":  "HTTP/1.1 599 X\r\nContent-Length: 4\r\n\r\nbody",
		"no reason":       "HTTP/1.1 200\r\nContent-Length: 4\r\n\r\nbody",
		"folded value":    "HTTP/1.1 200 OK\r\nX-Name: a\r\n b\r\nContent-Length: 4\r\n\r\nbody",
		"ends regularly":  "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody",
		"unknown version": "HTTP/1.2 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			target := brokentarget.Start(t, brokentarget.Always(brokentarget.Response{Bytes: raw, End: brokentarget.CloseSending}))
			_, body, err := get(newClient(t), target.Address, nil)
			is.NoErr(err)
			is.Equal(body, "body")
		})
	}
}

// Guards against a part of a response that counts as a whole one after a reset.
func TestResetDuringUploadIsAnError(t *testing.T) {
	upload := bytes.Repeat([]byte("u"), 8<<20)
	target := brokentarget.Start(t, brokentarget.Always(brokentarget.Response{Bytes: "HTTP/1.1 200 OK\r\n\r\npart", End: brokentarget.Reset}))
	client := newClient(t)
	for range 20 {
		if _, body, err := get(client, target.Address, upload); err == nil {
			t.Errorf("whole response %q", body)
		}
	}
}

// Guards against connections over TLS that lose HTTP/2 or are refused for its version.
func TestHTTP2OverTLS(t *testing.T) {
	is := is.New(t)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusEarlyHints)
		_, _ = io.WriteString(w, "body")
	}))
	server.EnableHTTP2 = true
	server.StartTLS()
	defer server.Close()
	base := &http.Transport{TLSClientConfig: server.Client().Transport.(*http.Transport).TLSClientConfig.Clone(), ForceAttemptHTTP2: true}
	client := &http.Client{Transport: NewTransport(base)}
	defer client.CloseIdleConnections()
	resp, err := client.Get(server.URL)
	is.NoErr(err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(body), "body")
	is.Equal(resp.ProtoMajor, 2)
}

// Guards against errors that can't be told from those of a connection.
func TestErrorsAreMarked(t *testing.T) {
	is := is.New(t)
	for group, name := range map[string]string{"status": "000", "name": "blank", "version": "2.0"} {
		target := brokentarget.Start(t, brokentarget.Always(brokentarget.Malformed(group, "")[name]))
		_, _, err := get(newClient(t), target.Address, nil)
		is.True(errors.Is(err, ErrMalformed))
	}
}
