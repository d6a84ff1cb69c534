package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/config"
	"github.com/mastictray/mastictray/internal/keys"
	"github.com/mastictray/mastictray/internal/logrec"
	"github.com/mastictray/mastictray/internal/platform"
	"github.com/mastictray/mastictray/internal/settings"
	"github.com/mastictray/mastictray/internal/standin/engine"
	"github.com/mastictray/mastictray/internal/standin/logsvc"
	"github.com/mastictray/mastictray/internal/testaddress"
)

const testKey = "mt-test"

// freeAddress returns an address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	return testaddress.Free(t)
}

// publishConfig appends a configuration with one account and one target.
func publishConfig(t *testing.T, log platform.Log, target string) {
	t.Helper()
	is := is.New(t)
	files := fmt.Sprintf("[account \"a\"]\ntokens-per-second = 1000000\nburst-tokens = 1000000\n"+
		"[key \"k\"]\naccount = a\nsha256 = %s\n[model \"m\"]\nversion = 1\n[pool \"p\"]\nkind = engine\nmodel = m\n"+
		"[target \"t\"]\naddress = %s\ndomain = d\npool = p\n"+
		"[route \"chat\"]\npath = /v1/chat/completions\npool = p\nidempotent = yes\n", keys.Hash(testKey), target)
	body := config.Change{Op: "1", Rules: config.RulesVersion, Files: []config.FileChange{{Name: "all.ini", Base: config.NoRevision, Contents: []byte(files)}}}
	record, err := logrec.Encode(config.KindChange, "tester", 0, body)
	is.NoErr(err)
	_, err = log.Append(context.Background(), platform.StreamConfig, [][]byte{record})
	is.NoErr(err)
}

// startEntry runs an entry in this process. It returns the address for callers and
// a function that shuts the entry down and waits until Run returns.
func startEntry(t *testing.T, logURL string) (caller string, stop func()) {
	t.Helper()
	e := newTestEntry(t, logURL)
	return e.settings.CallerListen, runEntry(t, e)
}

// runEntry runs an entry. It returns a function that shuts it down and waits until Run
// returns.
func runEntry(t *testing.T, e *Entry) (stop func()) {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() { result <- e.Run(ctx) }()
	return func() {
		cancel()
		is.NoErr(<-result)
	}
}

// newTestEntry returns an entry that does not run yet.
func newTestEntry(t *testing.T, logURL string) *Entry {
	t.Helper()
	return newTestFleet(t, logURL, 1)[0]
}

// newTestFleet returns entries that know each other and do not run yet.
func newTestFleet(t *testing.T, logURL string, n int) []*Entry {
	t.Helper()
	var addresses []string
	for range n {
		addresses = append(addresses, freeAddress(t))
	}
	var entries []*Entry
	for i := range n {
		entries = append(entries, newFleetEntry(t, logURL, "i"+strconv.Itoa(i), addresses[i], addresses))
	}
	return entries
}

func newFleetEntry(t *testing.T, logURL, instance, address string, peers []string) *Entry {
	t.Helper()
	return newFleetEntryWithBody(t, logURL, instance, address, peers, 1<<20)
}

// newFleetEntryWithBody is newFleetEntry with another limit for the bodies of callers.
func newFleetEntryWithBody(t *testing.T, logURL, instance, address string, peers []string, maxBodyBytes int64) *Entry {
	t.Helper()
	is := is.New(t)
	secret := filepath.Join(t.TempDir(), "secret")
	is.NoErr(os.WriteFile(secret, []byte("a secret of the fleet"), 0o600))
	s := &settings.Settings{
		InstanceID: instance, Domain: "d", CallerListen: freeAddress(t), PeerListen: address, Peers: peers, AdminListen: freeAddress(t),
		LogURL: logURL, PeerSecretFile: secret, FleetDomains: []string{"d"}, MintSlots: 1,
		MaxBodyBytes: maxBodyBytes, MaxHeaderBytes: 1 << 16, MaxConnections: 1000,
		IdleTimeout: time.Minute, ReadTimeout: time.Minute, DrainTimeout: time.Minute,
	}
	e, err := New(s)
	is.NoErr(err)
	return e
}

// Guards against a shutdown that closes a connection without a response to a request that is
// already arriving on it.
func TestRequestThatArrivesDuringShutdownIsAnswered(t *testing.T) {
	for name, kept := range map[string]bool{"new connection": false, "kept connection": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			log := httptest.NewServer(logsvc.New(logsvc.Config{}).Handler())
			defer log.Close()
			caller, stop := startEntry(t, log.URL)
			var conn net.Conn
			waitFor(t, "connection", func() (ok bool) {
				c, err := net.Dial("tcp", caller)
				conn = c
				return err == nil
			})
			defer conn.Close()
			responses := bufio.NewReader(conn)
			const request = "GET /v1/models HTTP/1.1\r\nHost: entry.example\r\n\r\n"
			if kept {
				_, err := io.WriteString(conn, request)
				is.NoErr(err)
				resp, err := http.ReadResponse(responses, nil)
				is.NoErr(err)
				_, err = io.Copy(io.Discard, resp.Body)
				is.NoErr(err)
			}
			_, err := io.WriteString(conn, request[:20])
			is.NoErr(err)
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				stop()
			}()
			waitForClosedListener(t, caller)
			_, err = io.WriteString(conn, request[20:])
			is.NoErr(err)
			resp, err := http.ReadResponse(responses, nil)
			is.NoErr(err) // an error here means that the connection was closed without a response
			is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
			is.True(resp.Close)
			<-stopped
		})
	}
}

// Guards against callers that send their next request on a connection that is about to close: the
// response to a request that began before the shutdown did not tell them.
func TestResponseDuringShutdownTellsTheCallerToReconnect(t *testing.T) {
	is := is.New(t)
	log := httptest.NewServer(logsvc.New(logsvc.Config{}).Handler())
	defer log.Close()
	publishConfig(t, platform.NewHTTPLog(log.URL, nil), "127.0.0.1:1")
	caller, stop := startEntry(t, log.URL)
	waitFor(t, "configuration", func() bool {
		req, err := http.NewRequest(http.MethodGet, "http://"+caller+modelsPath, nil)
		is.NoErr(err)
		req.Header.Set("Authorization", "Bearer "+testKey)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	http.DefaultClient.CloseIdleConnections()
	conn, err := net.Dial("tcp", caller)
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /nowhere HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer "+testKey+"\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n")
	is.NoErr(err)
	responses := bufio.NewReader(conn)
	interim, err := responses.ReadString('\n')
	is.NoErr(err)
	is.True(strings.Contains(interim, "100")) // the request has begun and waits for its body
	_, err = responses.ReadString('\n')
	is.NoErr(err)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		stop()
	}()
	waitForClosedListener(t, caller)
	_, err = io.WriteString(conn, "body")
	is.NoErr(err)
	resp, err := http.ReadResponse(responses, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusNotFound)
	is.True(resp.Close)
	<-stopped
}

// waitForClosedListener waits until connections to the address are refused.
func waitForClosedListener(t *testing.T, address string) {
	t.Helper()
	waitFor(t, "closed listener", func() bool {
		c, err := net.Dial("tcp", address)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
}

// sendRequest sends one streaming request and reports whether the response was
// complete.
func sendRequest(client *http.Client, address, prompt string) bool {
	body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":4,"messages":[{"role":"user","content":%q}]}`, prompt)
	req, err := http.NewRequest(http.MethodPost, "http://"+address+chatPath, strings.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && strings.Contains(string(raw), "[DONE]")
}

// An instance that served many callers at once must leave no goroutine after its
// shutdown. A leaked goroutine could keep a draining process from ending.
func TestShutdownLeavesNoGoroutines(t *testing.T) {
	is := is.New(t)
	log := httptest.NewServer(logsvc.New(logsvc.Config{}).Handler())
	fake := engine.New(engine.Config{Model: "m", Version: "1", PieceBytes: 1024, CachePieces: 64, PrefillTPS: 1e9, DecodeTPS: 1e9, Exit: func(int) {}})
	target := httptest.NewServer(fake.Handler())
	publishConfig(t, platform.NewHTTPLog(log.URL, nil), strings.TrimPrefix(target.URL, "http://"))
	http.DefaultClient.CloseIdleConnections()
	before := runtime.NumGoroutine()

	caller, stop := startEntry(t, log.URL)
	client := &http.Client{Transport: &http.Transport{}}
	waitFor(t, "first response", func() bool { return sendRequest(client, caller, "hello") })
	var wg sync.WaitGroup
	for i := range 64 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if !sendRequest(client, caller, strings.Repeat("x", 100*i)) {
				t.Errorf("request %d: response failed or incomplete", i)
			}
		}()
	}
	wg.Wait()
	client.CloseIdleConnections()
	stop()
	waitFor(t, "end of the entry's goroutines", func() bool { return runtime.NumGoroutine() <= before })
	target.Close()
	fake.Close()
	log.Close()
	is.True(!t.Failed())
}

// waitFor waits until cond is true. The timeout is far above the expected time.
func waitFor(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if cond() {
			return
		}
	}
	buf := make([]byte, 1<<20)
	t.Fatalf("timed out waiting for %s\n%s", what, buf[:runtime.Stack(buf, true)])
}

// Guards against an instance that never serves a request of a legal size: its memory has no room for
// it.
func TestMemoryMustHoldLargestBody(t *testing.T) {
	is := is.New(t)
	secret := filepath.Join(t.TempDir(), "secret")
	is.NoErr(os.WriteFile(secret, []byte("a secret of the fleet"), 0o600))
	for memoryMB, fits := range map[int]bool{0: true, 683: false, 684: true} {
		_, err := New(&settings.Settings{
			InstanceID: "i", Domain: "d", PeerSecretFile: secret, FleetDomains: []string{"d"}, MintSlots: 1,
			MaxBodyBytes: 32 << 20, MaxHeaderBytes: 1 << 16, MaxConnections: 1000, MemoryMB: memoryMB,
		})
		is.Equal(err == nil, fits)
	}
}
