// Package readretry sends reads over HTTP again on a new connection if the first connection
// carries nothing.
package readretry

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/logline"
	"github.com/mastictray/mastictray/internal/silentconn"
)

// Base sends requests and holds connections, as a http.Transport does.
type Base interface {
	http.RoundTripper
	CloseIdleConnections()
}

// Transport is a http.RoundTripper for one server. Only GET requests are sent again.
type Transport struct {
	Base Base
	// WaitParam is the query parameter with the milliseconds for which the server may wait
	// before it responds (long polling). A request that is sent again does not wait.
	WaitParam string

	mu      sync.Mutex
	latency silentconn.Latency
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	if req.Method != http.MethodGet {
		resp, err := t.Base.RoundTrip(req)
		if err != nil && req.Context().Err() != nil {
			t.Base.CloseIdleConnections() // they may be silent too
		}
		return resp, err
	}
	return t.read(req)
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.Base.CloseIdleConnections() }

// read sends a request, and again on a new connection if the first one seems silent. It
// returns the first response.
func (t *Transport) read(req *http.Request) (*http.Response, error) {
	wait := t.waitOf(req)
	results := make(chan result, 2)
	first, second := newAttempt(req), (*attempt)(nil)
	go first.run(t.Base, results)
	timer := time.NewTimer(wait + t.timeout())
	defer timer.Stop()
	pending := 1
	for {
		select {
		case <-timer.C:
			t.Base.CloseIdleConnections() // so that a new connection is used
			second = newAttempt(t.withoutWait(req))
			pending++
			go second.run(t.Base, results)
		case r := <-results:
			pending--
			if r.err != nil && pending > 0 {
				r.attempt.cancel()
				continue
			}
			switch {
			case r.attempt == first && second != nil:
				second.cancel()
			case r.attempt == second:
				first.cancel()
				if r.err == nil {
					logline.Info("store_conn_silent", "path", req.URL.Path, "after", time.Since(first.sentAt)-wait, "again_took", time.Since(second.sentAt))
				}
			}
			if r.attempt == first {
				return t.finish(r, wait)
			}
			return t.finish(r, 0)
		}
	}
}

// finish records the latency of a response. Its context ends when its body is closed.
func (t *Transport) finish(r result, wait time.Duration) (*http.Response, error) {
	if r.err != nil {
		r.attempt.cancel()
		return nil, errors.Wrap(r.err, "send read")
	}
	t.mu.Lock()
	t.latency.Observe(time.Since(r.attempt.sentAt) - wait)
	t.mu.Unlock()
	r.resp.Body = &cancellingBody{ReadCloser: r.resp.Body, cancel: r.attempt.cancel}
	return r.resp, nil
}

// timeout returns the time without an answer after which a connection seems silent.
func (t *Transport) timeout() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latency.Timeout()
}

// waitOf returns the time for which the server may wait before it responds.
func (t *Transport) waitOf(req *http.Request) time.Duration {
	ms, err := strconv.Atoi(req.URL.Query().Get(t.WaitParam))
	if err != nil {
		return 0 // the parameter is not set
	}
	return time.Duration(ms) * time.Millisecond
}

// withoutWait returns a request to which the server responds at once.
func (t *Transport) withoutWait(req *http.Request) *http.Request {
	again := req.Clone(req.Context())
	query := again.URL.Query()
	query.Del(t.WaitParam)
	again.URL.RawQuery = query.Encode()
	return again
}

// attempt is one of the two sends of a request.
type attempt struct {
	req    *http.Request
	sentAt time.Time
	cancel context.CancelFunc
}

// result is the end of an attempt.
type result struct {
	attempt *attempt
	resp    *http.Response
	err     error
}

func newAttempt(req *http.Request) *attempt {
	ctx, cancel := context.WithCancel(req.Context())
	return &attempt{req: req.WithContext(ctx), sentAt: time.Now(), cancel: cancel}
}

func (a *attempt) run(base Base, results chan<- result) {
	resp, err := base.RoundTrip(a.req) //nolint:bodyclose // closed by its reader, or with the context
	results <- result{attempt: a, resp: resp, err: err}
}

// cancellingBody ends the context of its request when it is closed.
type cancellingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancellingBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}
