package wholepath

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// newSingleConnClient returns a client that uses at most one connection.
func newSingleConnClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1}}
}

// sendOn sends a request with the client and reports whether it reused a connection.
func (f *fleet) sendOn(c *http.Client, entry, account string) (status int, reused bool) {
	f.t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+f.addressOf(entry)+"/v1/chat/completions", strings.NewReader(chatBody("hi", 2)))
	f.must(err)
	req.Header.Set("Authorization", "Bearer "+f.keys[account])
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused }}
	resp, err := c.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	f.must(err)
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	f.must(err)
	return resp.StatusCode, reused
}

// A caller sends all its requests on one connection. After its key is withdrawn,
// requests on that connection are refused, since the key is checked for each request
// and not for each connection. Another account's key still works on it.
func TestWithdrawnKeyIsRefusedOnPersistentConnection(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetSpec{entries: 3, engines: 1, accounts: map[string][2]int{"office": {1e7, 1e7}, "other": {1e7, 1e7}}})
	clients := make([]*http.Client, len(f.entries))
	for i, e := range f.entries {
		clients[i] = newSingleConnClient()
		status, _ := f.sendOn(clients[i], e, "other")
		is.Equal(status, http.StatusOK)
	}
	f.runTool("keys", "withdraw", "--as", "tester", "other-key")
	for i, e := range f.entries {
		f.waitFor(e+" refuses the key", func() bool {
			status, reused := f.sendOn(clients[i], e, "other")
			is.True(reused) // a new connection was opened
			return status == http.StatusUnauthorized
		})
		status, reused := f.sendOn(clients[i], e, "office")
		is.True(reused)
		is.Equal(status, http.StatusOK)
		status, _ = f.sendOn(clients[i], e, "other")
		is.Equal(status, http.StatusUnauthorized) // the withdrawn key was accepted again
	}
}
