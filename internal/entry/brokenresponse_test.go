package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/brokentarget"
	"github.com/mastictray/mastictray/internal/openai"
	"github.com/mastictray/mastictray/internal/platform"
)

// uploadBytes is more than what the sockets of a connection hold.
const uploadBytes = 8 << 20

// exchange sends a request to a target and reads the response to its end.
func exchange(ctx context.Context, client *targetClient, address, path string, sendOnce bool, upload []byte) (*http.Response, []byte, error) {
	resp, err := client.send(ctx, attemptRequest{
		attemptID: "a", target: "t", address: address, method: http.MethodPost, path: path, sendOnce: sendOnce, body: upload,
	})
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	body, err := readWholeBody(resp)
	return resp, body, err
}

// Guards against a part of a response that counts as a whole one when the target resets the connection
// while the request is still being sent.
func TestResponseResetDuringUploadIsNotWhole(t *testing.T) {
	const exchanges = 40
	upload := bytes.Repeat([]byte("u"), uploadBytes)
	client := newTargetClient(new(net.Dialer).DialContext)
	for name, response := range map[string]string{
		"body":         "HTTP/1.1 200 OK\r\n\r\npart",
		"none":         "HTTP/1.1 200 OK\r\n\r\n",
		"large":        "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 200<<10),
		"event stream": "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n",
		"close":        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart",
	} {
		for pool, sendOnce := range map[string]bool{"pooled": false, "unpooled": true} {
			t.Run(name+", "+pool, func(t *testing.T) {
				target := brokentarget.Start(t, brokentarget.Always(brokentarget.Response{Bytes: response, End: brokentarget.Reset}))
				var mu sync.Mutex
				whole := 0
				var ended sync.WaitGroup
				for range exchanges {
					ended.Go(func() {
						if _, _, err := exchange(t.Context(), client, target.Address, "/x", sendOnce, upload); err == nil {
							mu.Lock()
							whole++
							mu.Unlock()
						}
					})
				}
				ended.Wait()
				if whole > 0 {
					t.Errorf("%d of %d responses count as whole", whole, exchanges)
				}
			})
		}
	}
}

// testMalformedHeads verifies that no response of a group of brokentarget.Heads counts as one, and that
// none on an open connection is waited for.
func testMalformedHeads(t *testing.T, group string) {
	client := newTargetClient(new(net.Dialer).DialContext)
	for name, response := range brokentarget.Malformed(group, "") {
		target := brokentarget.Start(t, brokentarget.Always(response))
		for pool, sendOnce := range map[string]bool{"pooled": false, "unpooled": true} {
			t.Run(name+", "+pool, func(t *testing.T) {
				failed := make(chan error, 1)
				go func() {
					_, body, err := exchange(t.Context(), client, target.Address, "/x", sendOnce, []byte("body"))
					if err == nil {
						t.Errorf("response with body %q", body)
					}
					failed <- err
				}()
				select {
				case <-failed:
				case <-time.After(malformedTimeout):
					t.Error("no result in time")
				}
			})
		}
	}
}

// malformedTimeout is far above the time of an exchange.
const malformedTimeout = 5 * time.Second

// Guards against responses without a valid status.
func TestResponseWithInvalidStatusIsNoResponse(t *testing.T) { testMalformedHeads(t, "status") }

// Guards against responses with a field whose name holds a blank or a control byte.
func TestResponseWithInvalidFieldNameIsNoResponse(t *testing.T) { testMalformedHeads(t, "name") }

// Guards against responses of another version of HTTP than the connection's.
func TestResponseOfAnotherVersionIsNoResponse(t *testing.T) { testMalformedHeads(t, "version") }

// Guards against broken responses of the platform and of targets to reads that count.
func TestBrokenResponseToAReadIsAnError(t *testing.T) {
	for reader, c := range map[string]struct {
		body string
		read func(ctx context.Context, e *Entry, address string) error
	}{
		"load": {`{"incarnation":"i"}`, func(ctx context.Context, e *Entry, address string) error {
			_, err := e.pools.poller.fetchLoad(ctx, address)
			return err
		}},
		"cache events": {`{"incarnation":"i"}`, func(ctx context.Context, e *Entry, address string) error {
			_, err := (&cacheEventReader{client: e.pools.poller.eventsClient, address: address}).fetch(ctx, 0)
			return err
		}},
		"log": {`{"next":7}`, func(ctx context.Context, e *Entry, address string) error {
			_, err := platform.NewHTTPLog("http://"+address, e.platform).Read(ctx, platform.StreamConfig, 0, 1, 0)
			return err
		}},
		"instances": {`{"as_of_ms":7,"instances":[]}`, func(ctx context.Context, e *Entry, address string) error {
			_, err := platform.NewHTTPInstances("http://"+address, e.platform).Instances(ctx)
			return err
		}},
		"appended": {`{"first_offset":7}`, func(ctx context.Context, e *Entry, address string) error {
			_, err := platform.NewHTTPLog("http://"+address, e.platform).Append(ctx, platform.StreamConfig, [][]byte{{1}})
			return err
		}},
		"order": {`{}`, func(_ context.Context, e *Entry, address string) error {
			resp, err := e.rollouts.httpClient.Get("http://" + address)
			if err == nil {
				_, err = readWholeBody(resp)
				resp.Body.Close()
			}
			return err
		}},
	} {
		e := newTestEntry(t, "http://"+freeAddress(t))
		for name, response := range brokentarget.BrokenWith(c.body) {
			target := brokentarget.Start(t, brokentarget.Always(response))
			if err := c.read(t.Context(), e, target.Address); err == nil {
				t.Errorf("%s, %s: no error", reader, name)
			}
		}
	}
}

// Guards against a part of a model server's reason for a refusal that a caller gets as the whole one.
func TestRefusalCutShortIsAFailure(t *testing.T) {
	is := is.New(t)
	for text, code := range map[string]openai.Code{
		"HTTP/1.1 400 Bad Request\r\nContent-Length: 4\r\n\r\npart":   openai.CodeBadRequest,
		"HTTP/1.1 400 Bad Request\r\nContent-Length: 100\r\n\r\npart": openai.CodeTargetFailed,
	} {
		target := brokentarget.Start(t, brokentarget.Always(brokentarget.Response{Bytes: text, End: brokentarget.CloseSending}))
		resp, err := newTargetClient(nil).send(t.Context(), attemptRequest{attemptID: "a", target: "t", address: target.Address, method: http.MethodPost, path: "/x"})
		is.NoErr(err)
		defer resp.Body.Close()
		var refused *openai.Error
		is.True(errors.As(rejectionError(resp), &refused))
		is.Equal(refused.Code, code)
	}
}

// brokenService is an entry with one plain service whose responses are broken.
type brokenService struct {
	targets []*brokentarget.Target
	caller  string
}

// answered returns the number of requests that were responded to.
func (s *brokenService) answered() (n int) {
	for _, target := range s.targets {
		n += target.Answered()
	}
	return n
}

// startBrokenService starts a brokenService with a target for each request.
func startBrokenService(t *testing.T, r brokentarget.Response, targets int) *brokenService {
	t.Helper()
	s := &brokenService{}
	files := testConfigOf("[pool \"s\"]\nkind = service\nmax-concurrent = 64\n[route \"book\"]\npath = /book\npool = s\nidempotent = no\n")
	for n := range targets {
		s.targets = append(s.targets, brokentarget.Start(t, brokentarget.Always(r)))
		files += fmt.Sprintf("[target \"s%d\"]\naddress = %s\ndomain = d\npool = s\n", n, s.targets[n].Address)
	}
	e := newFleetEntryWithBody(t, startTestLog(t, files), "i0", freeAddress(t), nil, 2*uploadBytes)
	s.caller = e.settings.CallerListen
	t.Cleanup(runEntry(t, e))
	return s
}

// book sends a booking. It reports the status and whether the whole response arrived; the status is 0
// before the entry serves.
func (s *brokenService) book(t *testing.T, key string, upload []byte) (status int, whole bool) {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.caller+"/book", bytes.NewReader(upload))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set(headerIdempotencyKey, key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err == nil
}

// Guards against a part of a response that is stored as the result of a booking and sent to its repeats.
func TestResponseResetDuringUploadIsNoResultOfABooking(t *testing.T) {
	const bookings = 8
	is := is.New(t)
	s := startBrokenService(t, brokentarget.Response{Bytes: "HTTP/1.1 200 OK\r\n\r\npart", End: brokentarget.Reset}, bookings)
	upload := bytes.Repeat([]byte("u"), uploadBytes)
	for n := 0; s.answered() < bookings; n++ {
		key := fmt.Sprint("key", n)
		before := s.answered()
		waitFor(t, "a status", func() bool { // also of a refusal, while the entry does not serve yet
			status, whole := s.book(t, key, upload)
			if whole && status == http.StatusOK {
				t.Errorf("booking %d got a whole 200", n)
			}
			return status != 0
		})
		if status, whole := s.book(t, key, upload); whole && status == http.StatusOK {
			t.Errorf("the repeat of booking %d got a whole 200", n)
		}
		is.True(s.answered() <= before+1) // a booking runs at most once
		time.Sleep(10 * time.Millisecond)
	}
}
