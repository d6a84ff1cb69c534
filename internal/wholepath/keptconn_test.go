package wholepath

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// oneConn is a client with a single connection.
func oneConn() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1}}
}

// on sends a request on a client's connection, and reports whether it was one
// that was open already.
func (f *fleet) on(c *http.Client, entry, account string) (status int, kept bool) {
	f.t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+f.addr(entry)+"/v1/chat/completions", strings.NewReader(chatBody("hi", 2)))
	f.must(err)
	req.Header.Set("Authorization", "Bearer "+f.keys[account])
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { kept = info.Reused }}
	resp, err := c.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	f.must(err)
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	f.must(err)
	return resp.StatusCode, kept
}

// A caller keeps one connection open and sends all its requests on it. Its key
// is withdrawn. The same connection is refused then, since each request is
// checked by itself; another account's key still works on it.
func TestWithdrawnKeyStopsOnKeptConnection(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, shape{entries: 3, engines: 1, accounts: map[string][2]int{"office": {1e7, 1e7}, "other": {1e7, 1e7}}})
	clients := make([]*http.Client, len(f.entries))
	for i, e := range f.entries {
		clients[i] = oneConn()
		status, _ := f.on(clients[i], e, "other")
		is.Equal(status, http.StatusOK)
	}
	f.tool("keys", "withdraw", "--as", "tester", "other-key")
	for i, e := range f.entries {
		f.wait(e+" refuses the key", func() bool {
			status, kept := f.on(clients[i], e, "other")
			is.True(kept) // the connection was not the one from before
			return status == http.StatusUnauthorized
		})
		status, kept := f.on(clients[i], e, "office")
		is.True(kept)
		is.Equal(status, http.StatusOK)
		status, _ = f.on(clients[i], e, "other")
		is.Equal(status, http.StatusUnauthorized) // the withdrawn key came back
	}
}
