package callerlimit

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

const (
	// refusedBodyTimeout and maxRefusedBytes bound the time for which, and the size up to which, the
	// rest of a refused body is discarded. A caller that sends all of its body before it reads the
	// response would lose that to a reset of the connection.
	refusedBodyTimeout = 500 * time.Millisecond
	maxRefusedBytes    = 8 << 20
	// discardBytesPerSecond bounds what is read of all refused bodies of a server. Callers that go on
	// sending would otherwise take all processors, most of all with chunks of one byte.
	discardBytesPerSecond = 64 << 20
	// shortBodyBytes is the size of a body that has usually arrived with the head of its request,
	// and shortBodyTimeout bounds the wait for it.
	shortBodyBytes   = 4 << 10
	shortBodyTimeout = 50 * time.Millisecond
)

// PrepareRefusal is called before a response is written. If the body of the request has not arrived
// whole, the connection ends with the response: net/http would otherwise wait for the rest before it
// sends the response.
func PrepareRefusal(w http.ResponseWriter, r *http.Request) {
	m := FromContext(r.Context())
	if m.hasUnreadBody() && !skipShortBody(m, w, r) {
		w.Header().Set("Connection", "close")
	}
}

// skipShortBody reads a short body, so that the connection can be kept, and reports whether it did.
func skipShortBody(m *Member, w http.ResponseWriter, r *http.Request) bool {
	if r.ContentLength < 0 || r.ContentLength > shortBodyBytes || r.Header.Get("Expect") != "" {
		return false
	}
	control := http.NewResponseController(w)
	if control.SetReadDeadline(time.Now().Add(shortBodyTimeout)) != nil {
		return false // the caller has disconnected
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	return control.SetReadDeadline(time.Time{}) == nil && m.finishBody()
}

// discardBody sends the response and reads what its caller still sends for a while. It returns false
// if the caller has disconnected.
func (l *Limiter) discardBody(m *Member, w http.ResponseWriter, r *http.Request) bool {
	control := http.NewResponseController(w)
	end := time.Now().Add(refusedBodyTimeout)
	// The deadline comes first: net/http may read the rest of the body before it sends a response.
	if control.SetReadDeadline(end) != nil || control.Flush() != nil {
		return false
	}
	if r.Header.Get("Expect") != "" {
		return true // its caller waits for leave to send the body
	}
	ctx, cancel := context.WithDeadline(r.Context(), end)
	defer cancel()
	m.callOnAbort(cancel)
	defer m.callOnAbort(nil)
	_, err := io.CopyN(io.Discard, &pacedReader{r.Body, ctx, l.discarded, m}, maxRefusedBytes)
	var netErr net.Error
	disconnected := errors.As(err, &netErr) && !netErr.Timeout()
	return !disconnected && !(r.ContentLength > 0 && errors.Is(err, io.ErrUnexpectedEOF))
}

// pacedReader reads a body no faster than a rate that it shares with others. What counts are the bytes
// that arrive: chunks of one byte are six times as large.
type pacedReader struct {
	body   io.Reader
	ctx    context.Context
	rate   *rate.Limiter
	member *Member
}

// Read implements io.Reader.
func (p *pacedReader) Read(b []byte) (int, error) {
	before := p.member.bytesReceived()
	n, err := p.body.Read(b)
	if err != nil || p.rate.WaitN(p.ctx, int(p.member.bytesReceived()-before)) == nil {
		return n, err
	}
	<-p.ctx.Done() // what is left stays unread
	return n, p.ctx.Err()
}
