package wholepath

import (
	"crypto/tls"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/mastictray/mastictray/internal/crowd"
)

func TestTrialOdd(t *testing.T) {
	for _, path := range []string{chatRoute, bookingRoute} {
		for _, c := range crowd.WithOddRequests(crowdMaxBody) {
			t.Run(path[strings.LastIndexByte(path, '/')+1:]+"/"+c.Name, func(t *testing.T) {
				f := newCrowdFleet(t)
				f.withstand(c.Callers, f.dial, c.Script(f.officeHead(path)))
			})
		}
	}
}

func repeatedly(request func() string) crowd.Script {
	return func(c net.Conn, _ <-chan struct{}) {
		buf := make([]byte, 64<<10)
		for {
			if _, err := io.WriteString(c, request()); err != nil {
				return
			}
			if _, err := c.Read(buf); err != nil {
				return
			}
		}
	}
}

func TestTrialValidPrompts(t *testing.T) {
	t.Run("whole", func(t *testing.T) {
		f := newCrowdFleet(t)
		f.ordinary = "counter"
		f.withstand(300, f.dial, repeatedly(func() string {
			return f.head(chatRoute, f.keys["office"])(fmt.Sprintf("Content-Length: %d\r\n", 900<<10+len(chatBody("", 3)))) +
				chatBody(strings.Repeat(fmt.Sprintf("%016x", rand.Uint64()), 900<<10/16), 3)
		}))
	})
	t.Run("keys", func(t *testing.T) {
		f := newCrowdFleet(t)
		f.withstand(300, f.dial, func(c net.Conn, stop <-chan struct{}) {
			repeatedly(func() string {
				return f.head(bookingRoute, f.keys["office"], fmt.Sprintf("Idempotency-Key: %x\r\n", rand.Uint64()))(fmt.Sprintf("Content-Length: %d\r\n", 900<<10)) +
					strings.Repeat("x", 900<<10)
			})(c, stop)
		})
	})
	t.Run("unread_streams", func(t *testing.T) {
		f := newCrowdFleet(t)
		f.ordinary = "counter"
		body := strings.Replace(chatBody("hello", 20000), "{", `{"stream":true,`, 1)
		f.withstand(300, f.dial, func(c net.Conn, stop <-chan struct{}) {
			io.WriteString(c, f.request(chatRoute, body))
			<-stop
		})
	})
}

func TestTrialTLS(t *testing.T) {
	_, cert, key := writeCertificates(t)
	flags := []string{"--caller-tls-cert", cert, "--caller-tls-key", key}
	config := &tls.Config{InsecureSkipVerify: true}
	start := func(t *testing.T) (*crowdFleet, func() (net.Conn, error)) {
		f := newCrowdFleet(t, flags...)
		plain := f.dial
		f.dial = func() (net.Conn, error) {
			c, err := plain()
			if err != nil {
				return nil, err
			}
			return tls.Client(c, config), nil
		}
		return f, plain
	}
	t.Run("nothing", func(t *testing.T) {
		f, plain := start(t)
		f.withstand(crowd.HeadCallers, plain, crowd.UnendedHead("", 0, 0))
	})
	t.Run("handshake_only", func(t *testing.T) {
		f, _ := start(t)
		f.withstand(crowd.HeadCallers, f.dial, func(c net.Conn, stop <-chan struct{}) {
			c.(*tls.Conn).Handshake()
			buf := make([]byte, 1)
			c.Read(buf)
		})
	})
	t.Run("handshake_storm", func(t *testing.T) {
		f, _ := start(t)
		f.withstand(crowd.HeadCallers, f.dial, func(c net.Conn, stop <-chan struct{}) {
			c.(*tls.Conn).Handshake()
		})
	})
	t.Run("hello_storm", func(t *testing.T) {
		f, plain := start(t)
		f.withstand(crowd.HeadCallers, plain, func(c net.Conn, stop <-chan struct{}) {
			rec := &recorder{Conn: c}
			tls.Client(rec, config).Handshake()
			buf := make([]byte, 1)
			c.Read(buf)
		})
	})
	t.Run("small_body", func(t *testing.T) {
		f, _ := start(t)
		f.withstand(crowd.HeadCallers, f.dial, crowd.Send(f.officeHead(bookingRoute), crowd.Body{Announced: 1000, Sent: 1, Piece: 1}))
	})
}

// recorder fails all reads, so that the handshake ends after the first flight.
type recorder struct{ net.Conn }

func (r *recorder) Read([]byte) (int, error) { return 0, io.EOF }

func TestTrialUnreadLong(t *testing.T) {
	f := newCrowdFleetWith(t, fleetSpec{serviceFlags: []string{"--padding", fmt.Sprint(8 << 20)}})
	f.ordinary = "counter"
	head := f.officeHead(bookingRoute)
	c := crowd.Start(100, f.dial, func(c net.Conn, stop <-chan struct{}) {
		io.WriteString(c, head("Content-Length: 10\r\n")+`{"seat":1}`)
		select {
		case <-stop:
		case <-time.After(7 * time.Second):
		}
	})
	watch := crowd.StartWatch(f.procs["entry0"].cmd.Process.Pid, f.addressOf("entry0"), f.addressOf("entry0.admin"))
	for i := range 25 {
		time.Sleep(time.Second)
		a := f.exchange(f.request(bookingRoute, `{"seat":1}`))
		t.Logf("%d: %.40q", i, a)
	}
	c.Stop()
	crowdLimits.Check(t, watch, c)
}
