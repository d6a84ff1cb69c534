package readretry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/linkproxy"
)

// server records the requests that arrive and answers them with handle.
type server struct {
	mu       sync.Mutex
	received []url.Values
}

// start returns a client of the server, and the link to it.
func (s *server) start(t *testing.T, handle func(n int, r *http.Request)) (*http.Client, *linkproxy.Proxy) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.received = append(s.received, r.URL.Query())
		n := len(s.received)
		s.mu.Unlock()
		handle(n, r)
		w.WriteHeader(http.StatusNoContent)
	}))
	link := linkproxy.New(t, strings.TrimPrefix(backend.URL, "http://"))
	t.Cleanup(func() { link.Set(linkproxy.Resetting); backend.Close() })
	return &http.Client{Transport: &Transport{Base: &http.Transport{}, WaitParam: "wait"}}, link
}

func (s *server) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.received)
}

const readTimeout = 20 * time.Second // far above the time of any request here

func send(t *testing.T, client *http.Client, method, url string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, http.NoBody)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// Guards against a write that is executed twice because its connection went silent.
func TestWriteIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	s := &server{}
	client, link := s.start(t, func(int, *http.Request) {})
	url := "http://" + link.Address()
	is.NoErr(send(t, client, http.MethodPost, url, readTimeout))
	link.SilenceOpen()
	is.True(send(t, client, http.MethodPost, url, time.Second) != nil)
	is.Equal(s.count(), 1)
	is.NoErr(send(t, client, http.MethodPost, url, readTimeout)) // on a new connection
}

// Guards against a long poll that is sent again while the server may still wait, and against
// waiting once more on the new connection.
func TestLongPollIsSentAgainAfterItsWait(t *testing.T) {
	is := is.New(t)
	s := &server{}
	arrived, done := make(chan struct{}), make(chan struct{})
	client, link := s.start(t, func(n int, r *http.Request) {
		if n == 1 {
			close(arrived)
			select {
			case <-done:
			case <-r.Context().Done():
			}
		}
	})
	ended := make(chan error)
	go func() {
		ended <- send(t, client, http.MethodGet, "http://"+link.Address()+"?from=7&wait=400", readTimeout)
	}()
	<-arrived
	link.SilenceOpen()
	is.NoErr(<-ended)
	close(done)
	is.Equal(s.received, []url.Values{{"from": {"7"}, "wait": {"400"}}, {"from": {"7"}}})
}

// Guards against more than one additional read while the server is only slow.
func TestSlowServerIsAskedTwiceAtMost(t *testing.T) {
	is := is.New(t)
	s := &server{}
	arrived, release := make(chan struct{}, 2), make(chan struct{})
	client, link := s.start(t, func(int, *http.Request) {
		arrived <- struct{}{}
		<-release
	})
	ended := make(chan error)
	go func() { ended <- send(t, client, http.MethodGet, "http://"+link.Address(), readTimeout) }()
	<-arrived
	<-arrived
	close(release)
	is.NoErr(<-ended)
	is.Equal(s.count(), 2)
}
