package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// Guards against a request that the client sends a second time by itself: to the address in a
// redirect, which may be a target that takes no requests or no target at all.
func TestRedirectOfATargetIsNotFollowed(t *testing.T) {
	for name, sendOnce := range map[string]bool{"idempotent": false, "non-idempotent": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var requests atomic.Int64
			target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				requests.Add(1)
				http.Redirect(w, r, "/other", http.StatusSeeOther)
			}))
			defer target.Close()
			resp, err := newTargetClient(nil).send(t.Context(), attemptRequest{
				attemptID: "a", target: "t", address: strings.TrimPrefix(target.URL, "http://"), method: http.MethodPost, path: "/x", sendOnce: sendOnce,
			})
			is.NoErr(err)
			resp.Body.Close()
			is.Equal(resp.StatusCode, http.StatusSeeOther)
			is.Equal(requests.Load(), int64(1))
		})
	}
}
