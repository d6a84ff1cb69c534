package wholepath

import (
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/mastictray/mastictray/internal/crowd"
)

// crowdLimits are the limits of an entry instance in these tests, which hold it to them.
var crowdLimits = crowd.Limits{MemoryMB: 128, Descriptors: 1024}

const (
	crowdMaxBody = 1 << 20
	crowdStay    = 3 * time.Second
)

// crowdFleet is a fleet whose instance entry0 meets crowds.
type crowdFleet struct {
	*fleet
	t *testing.T
	// dial connects to the callers' port of entry0.
	dial func() (net.Conn, error)
	// ordinary is the client account of ordinary requests.
	ordinary string
}

func newCrowdFleet(t *testing.T, flags ...string) *crowdFleet {
	t.Helper()
	return newCrowdFleetWith(t, fleetSpec{entryFlags: flags})
}

// newCrowdFleetWith is newCrowdFleet with targets as in a specification.
func newCrowdFleetWith(t *testing.T, s fleetSpec) *crowdFleet {
	t.Helper()
	s.entries, s.engines, s.services, s.alone, s.entryLimits = 3, 1, 1, true, &crowdLimits
	s.accounts = map[string][2]int{"office": {10_000_000, 10_000_000}, "counter": {10_000_000, 10_000_000}}
	s.entryEnv = []string{fmt.Sprintf("MASTICTRAY_MEMORY_MB=%d", crowdLimits.MemoryMB), fmt.Sprintf("MASTICTRAY_MAX_BODY_BYTES=%d", crowdMaxBody)}
	f := newFleet(t, s)
	return &crowdFleet{fleet: f, t: t, dial: crowd.Dial(f.addressOf("entry0")), ordinary: "office"}
}

// Paths of the routes: to engines, and to a plain service whose requests run at most once.
const (
	chatRoute    = "/v1/chat/completions"
	bookingRoute = "/bookings"
)

func (f *crowdFleet) head(path, key string, headers ...string) crowd.Head {
	return func(framing string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\n%s%s\r\n",
			path, key, strings.Join(headers, ""), framing)
	}
}

func (f *crowdFleet) officeHead(path string) crowd.Head { return f.head(path, f.keys["office"]) }

// exchange sends a request on a new connection and returns the response, or the error.
func (f *crowdFleet) exchange(request string) string {
	c, err := f.dial()
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(waitTimeout / 3))
	if _, err := io.WriteString(c, request); err != nil {
		return err.Error()
	}
	answer, err := io.ReadAll(c)
	if err != nil {
		return err.Error()
	}
	return string(answer)
}

func (f *crowdFleet) request(path, body string) string {
	return f.head(path, f.keys[f.ordinary], "Connection: close\r\n")(fmt.Sprintf("Content-Length: %d\r\n", len(body))) + body
}

// servesAll waits until an ordinary request to each route has been answered.
func (f *crowdFleet) servesAll(when string) {
	f.t.Helper()
	for path, body := range map[string]string{chatRoute: chatBody("hello", 3), bookingRoute: `{"seat":1}`} {
		answers := map[string]int{}
		f.t.Cleanup(func() {
			if f.t.Failed() {
				f.t.Logf("answers to ordinary requests to %s %s: %v", path, when, answers)
			}
		})
		f.waitFor("an ordinary request to "+path+" is answered "+when, func() bool {
			answer := f.exchange(f.request(path, body))
			answers[fmt.Sprintf("%.12s", answer)]++
			return strings.HasPrefix(answer, "HTTP/1.1 200")
		})
	}
}

// withstand lets a crowd loose on entry0 for a while. The process must live and stay within its
// limits, and answer ordinary requests while the crowd is there and afterwards.
func (f *crowdFleet) withstand(callers int, dial func() (net.Conn, error), script crowd.Script) {
	f.t.Helper()
	watch := crowd.StartWatch(f.procs["entry0"].cmd.Process.Pid, f.addressOf("entry0"), f.addressOf("entry0.admin"))
	c := crowd.Start(callers, dial, script)
	time.Sleep(crowdStay)
	f.servesAll("beside the crowd")
	c.Stop()
	f.servesAll("afterwards")
	f.waitFor("entry0 is ready afterwards", func() bool { return f.isReady("entry0") })
	crowdLimits.Check(f.t, watch, c)
}

var bodyCrowds = crowd.WithBodies(crowdMaxBody)

// Guards against callers whose bodies end the process, or keep others out.
func TestCrowdsWithBodies(t *testing.T) {
	for _, path := range []string{chatRoute, bookingRoute} {
		for _, c := range bodyCrowds {
			t.Run(path[strings.LastIndexByte(path, '/')+1:]+"/"+c.Name, func(t *testing.T) {
				f := newCrowdFleet(t)
				f.withstand(c.Callers, f.dial, c.Script(f.officeHead(path)))
			})
		}
	}
}

// Guards against the same by requests that are framed oddly, or whose callers leave.
func TestCrowdsWithOddRequests(t *testing.T) {
	for _, path := range []string{chatRoute, bookingRoute} {
		for _, c := range crowd.WithOddRequests(crowdMaxBody) {
			t.Run(path[strings.LastIndexByte(path, '/')+1:]+"/"+c.Name, func(t *testing.T) {
				f := newCrowdFleet(t)
				f.withstand(c.Callers, f.dial, c.Script(f.officeHead(path)))
			})
		}
	}
}

// Guards against a body of a legal size that takes many times its size once it is parsed.
func TestCrowdWithManySmallMessages(t *testing.T) {
	f := newCrowdFleet(t)
	start, end := `{"model":"m","messages":[`, `{"role":"user","content":"x"}]}`
	messages := strings.Repeat(`{},`, (crowdMaxBody-len(start)-len(end))/3)
	f.withstand(crowd.BodyCallers, f.dial, crowd.Whole(f.request(chatRoute, start+messages+end)))
}

// Guards against callers without a valid key whose bodies, which nobody reads, fill the memory or
// whose refused connections take all descriptors.
func TestCrowdsThatAreRefused(t *testing.T) {
	body := crowd.Body{Announced: crowdMaxBody, Sent: crowdMaxBody, Piece: 64 << 10}
	f := newCrowdFleet(t)
	f.withstand(crowd.BodyCallers, f.dial, crowd.Send(f.head(chatRoute, "key-unknown"), body))
}

// Guards against callers that read nothing of long responses, which fill the memory and the buffers of
// the kernel.
func TestCrowdsThatReadNothing(t *testing.T) {
	for name, c := range map[string]struct {
		spec    fleetSpec
		path    string
		request string
	}{
		"streams":  {fleetSpec{engineFlags: []string{"--max-batch", "400", "--itl-ms", "1", "--decode-tps", "10000000"}}, chatRoute, chatBody("hello", 20000)},
		"bookings": {fleetSpec{serviceFlags: []string{"--padding", fmt.Sprint(8 << 20)}}, bookingRoute, `{"seat":1}`},
	} {
		t.Run(name, func(t *testing.T) {
			f := newCrowdFleetWith(t, c.spec)
			f.ordinary = "counter"
			head := f.officeHead(c.path)
			f.withstand(crowd.UnreadCallers, f.dial, crowd.SendOnce(func() string {
				return head(fmt.Sprintf("Content-Length: %d\r\n", len(c.request))) + c.request
			}))
		})
	}
}

// Guards against a response for which there is no memory that reaches its caller cut, or counts as
// whole though its service broke it off.
func TestResponseBeyondTheMemory(t *testing.T) {
	const padding = 60 << 20
	f := newCrowdFleetWith(t, fleetSpec{serviceFlags: []string{"--padding", fmt.Sprint(padding)}})
	book := func() (status int, size int64, err error) {
		req, err := http.NewRequest(http.MethodPost, "http://"+f.addressOf("entry0")+bookingRoute, strings.NewReader(`{"seat":1}`))
		f.must(err)
		req.Header.Set("Authorization", "Bearer "+f.keys["office"])
		resp, err := http.DefaultClient.Do(req)
		f.must(err)
		defer resp.Body.Close()
		size, err = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode, size, err
	}
	if status, size, err := book(); status != http.StatusOK || size < padding || err != nil {
		t.Errorf("status %d, %d bytes of %d: %v", status, size, padding, err)
	}
	f.injectFault("service0", `{"kind":"cut","count":1}`)
	if status, size, err := book(); err == nil && status == http.StatusOK {
		t.Errorf("a response that its service broke off is whole, %d bytes of %d", size, padding)
	}
}

// Guards against heads that don't end and take memory or places, in few long lines or many short
// ones.
func TestCrowdsWithUnendedHeads(t *testing.T) {
	start := "POST /bookings HTTP/1.1\r\nHost: entry\r\n"
	for kind, valueBytes := range map[string]int{"long_lines": 4000, "short_lines": 0} {
		t.Run(kind, func(t *testing.T) {
			f := newCrowdFleet(t)
			f.withstand(800, f.dial, crowd.UnendedHead(start, 60<<10, valueBytes))
		})
	}
	t.Run("nothing", func(t *testing.T) {
		f := newCrowdFleet(t)
		f.withstand(crowd.HeadCallers, f.dial, crowd.UnendedHead("", 0, 0))
	})
}

// Guards against a crowd at the port of operators and health checks, which shares the descriptors
// and the memory of the process.
func TestCrowdsAtAdminPort(t *testing.T) {
	head := func(framing string) string {
		return "POST /admin/v1/explain HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\n" + framing + "\r\n"
	}
	for name, c := range map[string]struct {
		callers int
		script  crowd.Script
	}{
		"unended_heads":  {crowd.HeadCallers, crowd.UnendedHead("GET /metrics HTTP/1.1\r\nHost: a\r\n", 60<<10, 0)},
		"unended_bodies": {crowd.HeadCallers, crowd.Send(head, crowd.Body{Announced: crowdMaxBody, Sent: 1, Piece: 1})},
		// net/http waits before it closes the connections of these.
		"half_closed":  {crowd.HeadCallers, crowd.HalfClosed(head(fmt.Sprintf("Content-Length: %d\r\n", crowdMaxBody)))},
		"large_bodies": {crowd.EndlessCallers, crowd.Send(head, crowd.Body{Announced: -1, Sent: -1, Piece: 64 << 10})},
	} {
		t.Run(name, func(t *testing.T) {
			f := newCrowdFleet(t)
			f.withstand(c.callers, crowd.Dial(f.addressOf("entry0.admin")), c.script)
		})
	}
}

// Guards against crowds over TLS, by HTTP/1.1 and with bodies over HTTP/2, whose buffers are those of
// another server.
func TestCrowdsOverTLS(t *testing.T) {
	_, cert, key := writeCertificates(t)
	flags := []string{"--caller-tls-cert", cert, "--caller-tls-key", key}
	config := &tls.Config{InsecureSkipVerify: true} // the certificate is that of the test
	start := func(t *testing.T) *crowdFleet {
		f := newCrowdFleet(t, flags...)
		plain := f.dial
		f.dial = func() (net.Conn, error) {
			c, err := plain()
			if err != nil {
				return nil, err
			}
			return tls.Client(c, config), nil
		}
		return f
	}
	for _, c := range bodyCrowds[:1] {
		t.Run(c.Name, func(t *testing.T) {
			f := start(t)
			f.withstand(c.Callers, f.dial, c.Script(f.officeHead(bookingRoute)))
		})
	}
	t.Run("unended_heads", func(t *testing.T) {
		f := start(t)
		f.withstand(300, f.dial, crowd.UnendedHead("POST /bookings HTTP/1.1\r\nHost: entry\r\n", 60<<10, 0))
	})
	t.Run("handshake_unfinished", func(t *testing.T) {
		f := start(t)
		f.withstand(crowd.HeadCallers, crowd.Dial(f.addressOf("entry0")), func(c net.Conn, _ <-chan struct{}) {
			_, _ = io.WriteString(c, unfinishedRecord)
			_, _ = io.Copy(io.Discard, c)
		})
	})
	t.Run("handshake_only", func(t *testing.T) {
		f := start(t)
		f.withstand(crowd.BodyCallers, f.dial, func(c net.Conn, _ <-chan struct{}) {
			if c.(*tls.Conn).Handshake() == nil {
				_, _ = io.Copy(io.Discard, c)
			}
		})
	})
	t.Run("http2", func(t *testing.T) {
		f := start(t)
		f.withstand(crowd.BodyCallers/10, f.dial, http2Uploads(f.addressOf("entry0"), f.keys["office"]))
	})
}

// unfinishedRecord is the beginning of a TLS handshake record of 16,000 bytes.
const unfinishedRecord = "\x16\x03\x01\x3e\x80\x01\x00\x3e\x7c\x03\x03"

// http2Uploads returns a script that, on a connection of its own, sends many bodies at once over
// HTTP/2 which stop before their end.
func http2Uploads(address, key string) crowd.Script {
	const streams = 100
	return func(_ net.Conn, stop <-chan struct{}) {
		transport := &http.Transport{ForceAttemptHTTP2: true, TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}
		defer transport.CloseIdleConnections()
		ended := make(chan struct{}, streams)
		for range streams {
			go func() {
				defer func() { ended <- struct{}{} }()
				body, sender := io.Pipe()
				defer sender.Close()
				go func() {
					_, _ = sender.Write([]byte(strings.Repeat("x", crowdMaxBody-1)))
					<-stop
					sender.Close()
				}()
				req, err := http.NewRequest(http.MethodPost, "https://"+address+"/bookings", body)
				if err != nil {
					return
				}
				req.ContentLength = crowdMaxBody
				req.Header.Set("Authorization", "Bearer "+key)
				if resp, err := transport.RoundTrip(req); err == nil {
					resp.Body.Close()
				}
			}()
		}
		for range streams {
			<-ended
		}
	}
}

// Guards against a stop that a crowd holds up for ever.
func TestStopBesideCrowd(t *testing.T) {
	f := newCrowdFleet(t, "--read-timeout", "5s") // within which a stalled body ends
	c := crowd.Start(crowd.BodyCallers, f.dial, bodyCrowds[0].Script(f.officeHead(bookingRoute)))
	defer c.Stop()
	time.Sleep(crowdStay)
	exited := make(chan error, 1)
	f.procs["entry0"].signal(syscall.SIGTERM)
	go func() { exited <- f.procs["entry0"].cmd.Wait() }()
	select {
	case err := <-exited:
		f.must(err)
	case <-time.After(2 * waitTimeout):
		t.Error("entry0 has not exited")
	}
}

// Guards against a refusal that breaks its promise: a large body that is refused, or stalls, gets a
// whole response with a status that says so.
func TestRefusedBodiesGetTheirStatus(t *testing.T) {
	for name, c := range map[string]struct {
		body   crowd.Body
		status string
	}{
		"announced_far_above_limit": {crowd.Body{Announced: crowd.FarAbove, Sent: 1, Piece: 1}, "413"},
		"chunked_above_limit":       {crowd.Body{Announced: -1, Sent: 2 * crowdMaxBody, Piece: 64 << 10}, "413"},
		"stalled":                   {crowd.Body{Announced: 2000, Sent: 1000, Piece: 1000}, "408"},
		"stalled_chunked":           {crowd.Body{Announced: -1, Sent: 1000, Piece: 1000}, "408"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newCrowdFleet(t, "--read-timeout", "2s")
			conn, err := f.dial()
			f.must(err)
			defer conn.Close()
			_ = conn.SetReadDeadline(time.Now().Add(waitTimeout))
			go crowd.Send(f.officeHead(bookingRoute), c.body)(crowd.SendOnly{Conn: conn}, make(chan struct{}))
			line := make([]byte, len("HTTP/1.1 400"))
			if _, err := io.ReadFull(conn, line); err != nil || string(line) != "HTTP/1.1 "+c.status {
				t.Errorf("status line %q, %s wanted: %v", line, c.status, err)
			}
		})
	}
}

// Guards against a large body inside the limits that is refused in calm.
func TestLargestBodyIsServedInCalm(t *testing.T) {
	f := newCrowdFleet(t)
	body := strings.Repeat("x", crowdMaxBody)
	if answer := f.exchange(f.request(bookingRoute, body)); !strings.HasPrefix(answer, "HTTP/1.1 200") {
		t.Errorf("answer %.80q", answer)
	}
	prompt := strings.Repeat("word ", 100_000)
	if answer := f.exchange(f.request(chatRoute, chatBody(prompt, 3))); !strings.HasPrefix(answer, "HTTP/1.1 200") {
		t.Errorf("answer %.80q", answer)
	}
}
