package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/prefix"
	"github.com/mastictray/mastictray/internal/standin"
)

// startEngine starts an engine whose prefill and decoding take almost no time.
func startEngine(t *testing.T, configure func(*Config)) (*Engine, string) {
	t.Helper()
	cfg := Config{Model: "m", Version: "1", PieceBytes: 64, CachePieces: 8, PrefillTPS: 1e9, DecodeTPS: 1e6}
	if configure != nil {
		configure(&cfg)
	}
	e := New(cfg)
	srv := httptest.NewServer(e.Handler())
	t.Cleanup(func() { srv.Close(); e.Close() })
	return e, srv.URL
}

func sendRequest(t *testing.T, method, url string, header map[string]string, body any) (int, []byte) {
	t.Helper()
	resp := openResponse(t, method, url, header, body)
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	is.New(t).NoErr(err)
	return resp.StatusCode, raw
}

func openResponse(t *testing.T, method, url string, header map[string]string, body any) *http.Response {
	t.Helper()
	is := is.New(t)
	raw, err := json.Marshal(body)
	is.NoErr(err)
	req, err := http.NewRequestWithContext(t.Context(), method, url, bytes.NewReader(raw))
	is.NoErr(err)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	return resp
}

func complete(t *testing.T, url, account, prompt string) Completion {
	t.Helper()
	is := is.New(t)
	status, raw := sendRequest(t, "POST", url+"/v1/completions", map[string]string{"X-Client-Account": account}, Request{Prompt: prompt, MaxTokens: 2})
	is.Equal(status, http.StatusOK)
	var c Completion
	is.NoErr(json.Unmarshal(raw, &c))
	return c
}

func TestCachedPiecesAreNotSharedBetweenAccounts(t *testing.T) {
	is := is.New(t)
	_, url := startEngine(t, nil)
	prompt := strings.Repeat("x", 130)
	is.Equal(complete(t, url, "a", prompt).Usage.PromptTokensDetails.CachedTokens, 0)
	is.Equal(complete(t, url, "a", prompt).Usage.PromptTokensDetails.CachedTokens, 32) // two pieces of 64 bytes
	is.Equal(complete(t, url, "b", prompt).Usage.PromptTokensDetails.CachedTokens, 0)
}

func TestTextDependsOnlyOnPrompt(t *testing.T) {
	is := is.New(t)
	_, one := startEngine(t, nil)
	_, two := startEngine(t, nil)
	want := NewTextGenerator([]byte("hello")).FirstTokens(2)
	is.Equal(complete(t, one, "a", "hello").Content(), want)
	is.Equal(complete(t, two, "a", "hello").Content(), want)
}

// The connection to an engine breaks during a stream. A caller that resumes after
// its last event gets every later event, with the same IDs and text as without the
// interruption.
func TestResumedStreamHasNoGap(t *testing.T) {
	is := is.New(t)
	_, url := startEngine(t, func(c *Config) { c.MinTokenInterval = 5 * time.Millisecond })
	ctx, cancel := context.WithCancel(t.Context())
	body := `{"prompt":"hello","max_tokens":4,"stream":true}`
	req, err := http.NewRequestWithContext(ctx, "POST", url+"/v1/completions", strings.NewReader(body))
	is.NoErr(err)
	req.Header.Set("X-Request-Id", "r1")
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	_, err = io.ReadFull(resp.Body, make([]byte, len("id: 0\n")))
	is.NoErr(err)
	cancel()
	_ = resp.Body.Close()

	status, raw := sendRequest(t, "GET", url+"/v1/streams/r1", map[string]string{"Last-Event-ID": "0"}, nil)
	is.Equal(status, http.StatusOK)
	events := strings.Split(strings.TrimSpace(string(raw)), "\n\n")
	is.Equal(len(events), 5) // tokens 1 to 3, the usage, [DONE]
	for i, e := range events {
		is.True(strings.HasPrefix(e, fmt.Sprintf("id: %d\n", i+1)))
	}
	for i := 1; i < 4; i++ {
		is.True(strings.Contains(events[i-1], NewTextGenerator([]byte("hello")).TokenText(i)))
	}
	is.True(strings.HasSuffix(events[4], "data: [DONE]"))
}

func TestUnknownStreamAndWrongVersionAreRejected(t *testing.T) {
	is := is.New(t)
	_, url := startEngine(t, nil)
	status, _ := sendRequest(t, "GET", url+"/v1/streams/none", nil, nil)
	is.Equal(status, http.StatusNotFound)
	status, raw := sendRequest(t, "POST", url+"/v1/completions", map[string]string{"X-Weights-Version": "2"}, Request{Prompt: "x"})
	is.Equal(status, http.StatusConflict)
	is.True(strings.Contains(string(raw), codeWrongVersion))
}

// The weights change while a request is queued. It must not run on weights that the
// router did not require, and is rejected in the same way as on arrival.
func TestQueuedRequestIsRejectedAfterWeightsChange(t *testing.T) {
	is := is.New(t)
	e, _ := startEngine(t, nil)
	s := newStream("r1", "a", Request{MaxTokens: 1}, false)
	e.mu.Lock()
	e.model.version = "2"
	e.mu.Unlock()
	e.submit(&job{stream: s, prompt: []byte("x"), tokens: 1, requiredVersion: "1"})
	state, err := s.wait(t.Context(), 0)
	is.NoErr(err)
	is.Equal(state.rejectCode, codeWrongVersion)
}

func TestOrders(t *testing.T) {
	for name, tc := range map[string]struct {
		checksFencing bool
		orders        []Order
		wantStatus    []int
	}{
		"stale fence refused":       {true, []Order{{Op: OrderRole, Role: "x", Fence: 5}, {Op: OrderRole, Role: "y", Fence: 4}}, []int{202, 409}},
		"stale fence ignored":       {false, []Order{{Op: OrderRole, Role: "x", Fence: 5}, {Op: OrderRole, Role: "y", Fence: 4}}, []int{202, 202}},
		"equal state is a no-op":    {true, []Order{{Op: OrderLoad, Model: "m", Version: "1", Fence: 1}, {Op: OrderAdapter, Adapter: "a", Fence: 1}, {Op: OrderAdapter, Adapter: "a", Fence: 1}}, []int{200, 202, 200}},
		"another model, unknown op": {true, []Order{{Op: OrderLoad, Model: "n"}, {Op: "x"}}, []int{400, 400}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, url := startEngine(t, func(c *Config) { c.ChecksFencing = tc.checksFencing })
			for i, o := range tc.orders {
				status, _ := sendRequest(t, "POST", url+"/orders", nil, o)
				is.Equal(status, tc.wantStatus[i])
			}
		})
	}
}

func TestLoadChangesVersionAndClearsCache(t *testing.T) {
	is := is.New(t)
	e, url := startEngine(t, nil)
	complete(t, url, "a", strings.Repeat("x", 64))
	status, _ := e.applyOrder(Order{Op: OrderLoad, Model: "m", Version: "2"})
	is.Equal(status, orderAccepted)
	events, _ := e.feed.longPoll(t.Context(), 1, time.Minute) // event 0 is the stored piece
	is.Equal(events[0].Op, OpCleared)
	is.Equal(e.State().Version, "2")
	e.mu.Lock()
	is.Equal(e.cache.recency.Len(), 0)
	e.mu.Unlock()
	is.Equal(complete(t, url, "a", strings.Repeat("x", 64)).Usage.PromptTokensDetails.CachedTokens, 0)
}

// A router imports exported pieces into an engine that has restarted or serves other
// weights, or for another account. Only an import whose whole scope matches may make
// the pieces count as cached.
func TestImportChecksScope(t *testing.T) {
	is := is.New(t)
	e, url := startEngine(t, nil)
	prompt := []byte(strings.Repeat("x", 64))
	chain := prefix.Chain(nil, prefix.Scope{Account: "a", Model: "m", Version: "1"}.Seed(), prompt, 64)
	valid := CacheTransfer{Account: "a", Model: "m", Version: "1", Incarnation: e.incarnation, Pieces: []string{fmt.Sprintf("%016x", uint64(chain[0]))}}
	for _, corrupt := range []func(*CacheTransfer){
		func(transfer *CacheTransfer) { transfer.Account = "" },
		func(transfer *CacheTransfer) { transfer.Model = "n" },
		func(transfer *CacheTransfer) { transfer.Version = "0" },
		func(transfer *CacheTransfer) { transfer.Incarnation = "old" },
		func(transfer *CacheTransfer) { transfer.Pieces = []string{"zz"} },
	} {
		transfer := valid
		corrupt(&transfer)
		status, _ := sendRequest(t, "POST", url+"/kv/import", nil, transfer)
		is.Equal(status, http.StatusConflict)
	}
	other := valid
	other.Account = "b" // the hashes are those of account a, and match no prompt of b
	_, _ = sendRequest(t, "POST", url+"/kv/import", nil, other)
	is.Equal(complete(t, url, "b", string(prompt)).Usage.PromptTokensDetails.CachedTokens, 0)
	status, _ := sendRequest(t, "POST", url+"/kv/import", nil, valid)
	is.Equal(status, http.StatusNoContent)
	is.Equal(complete(t, url, "a", string(prompt)).Usage.PromptTokensDetails.CachedTokens, 16)
}

func TestCrashMarkerExitsProcess(t *testing.T) {
	is := is.New(t)
	exited := make(chan int, 1)
	e, url := startEngine(t, func(c *Config) { c.Exit = func(status int) { exited <- status } })
	is.True(e.Faults().Set(standin.Fault{Kind: FaultCrashOn, Marker: "boom"}))
	complete(t, url, "a", "harmless")
	is.Equal(len(exited), 0)
	complete(t, url, "a", "goes boom now")
	is.Equal(<-exited, crashExitStatus)
}

func TestEventsAreDelayedAndSomeAreLost(t *testing.T) {
	is := is.New(t)
	f := newEventFeed(time.Second, 0.5, 1)
	now := time.Unix(0, 0)
	for range 100 {
		f.add(now, OpStored, []prefix.Hash{1})
	}
	early, next := f.read(now, 0)
	is.Equal(len(early), 0)
	is.Equal(next, int64(0))
	late, _ := f.read(now.Add(time.Second), 0)
	is.True(len(late) > 20 && len(late) < 80)
}

func TestReportedLoadIsDelayedByLag(t *testing.T) {
	is := is.New(t)
	var history loadHistory
	for ms := range int64(10) {
		history.add(Load{AsOfMS: ms * 100}, 300*time.Millisecond)
	}
	is.Equal(history.samples[0].AsOfMS, int64(600))
}

func TestQueueOrdersByPriorityThenArrival(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	for _, p := range []int{1, 5, 1, 9} {
		q.push(&job{priority: p, tokens: 1})
	}
	var got []int
	var arrivals []uint64
	for range 4 {
		j := q.pop()
		got, arrivals = append(got, j.priority), append(arrivals, j.arrival)
	}
	is.Equal(got, []int{9, 5, 1, 1})
	is.Equal(arrivals, []uint64{4, 2, 1, 3})
}

// A shed request must say how long the pause is and which incarnation asks for it, and must
// not run. Load queries are not shed.
func TestShedRequestAsksForAPause(t *testing.T) {
	is := is.New(t)
	e, url := startEngine(t, nil)
	is.True(e.Faults().Set(standin.Fault{Kind: FaultShed, DelayMillis: 2500, Count: 2}))
	for method, path := range map[string]string{http.MethodPost: "/v1/completions", http.MethodGet: "/v1/streams/x"} {
		resp := openResponse(t, method, url+path, nil, map[string]any{"prompt": "p"})
		resp.Body.Close()
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		is.Equal(resp.Header.Get("Retry-After"), "2.5")
		is.Equal(resp.Header.Get("X-Engine-Incarnation"), e.Load().Incarnation)
	}
	status, _ := sendRequest(t, http.MethodGet, url+"/load", nil, nil)
	is.Equal(status, http.StatusOK)
	is.Equal(len(complete(t, url, "a", "p").Choices), 1) // the fault's count is used up
}

// A leaving engine must say so in all its responses with its incarnation, also in those to
// load queries and in streams, and serve on.
func TestLeavingEngineAnnouncesIt(t *testing.T) {
	is := is.New(t)
	e, url := startEngine(t, nil)
	for _, want := range []string{"", "1"} {
		for path, method := range map[string]string{"/load": http.MethodGet, "/state": http.MethodGet, "/v1/streams/x": http.MethodGet, "/v1/completions": http.MethodPost} {
			for _, stream := range []bool{false, true} {
				resp := openResponse(t, method, url+path, nil, map[string]any{"prompt": "p", "stream": stream})
				_, err := io.Copy(io.Discard, resp.Body)
				is.NoErr(err)
				resp.Body.Close()
				is.Equal(resp.Header.Get("X-Target-Leaving"), want)
				is.Equal(resp.Header.Get("X-Engine-Incarnation"), e.Load().Incarnation)
			}
		}
		is.True(e.Faults().Set(standin.Fault{Kind: standin.FaultLeaving}))
	}
}
