package callerlimit

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/mastictray/mastictray/internal/membudget"
)

const (
	// RequestBytes is the memory of a request without its body: the connection to its target and
	// the stacks of their goroutines.
	RequestBytes = 16 << 10
	// smallBodyBytes is the part of a body for which all memory of requests may be used.
	smallBodyBytes = 64 << 10
	// firstPartBytes and maxPartBytes bound the parts in which a body is read; each is as large as all
	// before it.
	firstPartBytes = 4 << 10
	maxPartBytes   = 256 << 10
)

// Charge is what one request is charged. The zero Charge is one of a request that nothing bounds.
type Charge struct {
	memory *Memory
	member *Member
	bytes  int64
}

// NewCharge returns the charge of a request whose connection is member, which may be nil.
func NewCharge(memory *Memory, member *Member) Charge { return Charge{memory: memory, member: member} }

// Take charges the memory of a request without its body. It returns false if there is no room, also
// after others have given way.
func (c *Charge) Take() bool { return c.take(RequestBytes, false) }

// TakeMore charges what a request needs beside the copies of its body.
func (c *Charge) TakeMore(n int64) bool { return c.take(n, n > smallBodyBytes) }

func (c *Charge) take(n int64, large bool) bool {
	from := c.memory.Take
	if large {
		from = c.memory.takeLarge
	}
	try := func() bool { return from(membudget.Requests, n) }
	if c.member == nil && !try() || c.member != nil && !c.member.limiter.takeBody(c.member, n, large, try) {
		return false
	}
	c.bytes += n
	if c.member != nil {
		c.member.chargeBody(n)
	}
	return true
}

// Release ends the charge.
func (c *Charge) Release() {
	c.memory.Return(membudget.Requests, c.bytes)
	if c.member != nil {
		c.member.chargeBody(-c.bytes)
	}
	c.bytes = 0
}

// ReadBody reads the body of a request of at most limit bytes. What arrives is charged copies times,
// for what the request needs of it until it is answered. Once more than a small part of a body has
// arrived, all that is announced is charged: bodies that have a part of their memory each would
// wait for each other.
func (c *Charge) ReadBody(r *http.Request, limit, copies int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, ErrBodyTooLarge
	}
	b := bodyReader{charge: c, body: r.Body, announced: r.ContentLength, limit: limit, copies: copies}
	body, err := b.readAll()
	if !c.member.finishBodyUnless(err) {
		return nil, ErrMemoryFull
	}
	return body, err
}

// bodyReader reads one body.
type bodyReader struct {
	charge *Charge
	body   io.Reader
	// announced is the length of the body, negative if it isn't known; limit the most that is read.
	announced, limit int64
	// copies is how often the body is charged, charged the number of its bytes that are.
	copies, charged int64
	total           int64
}

func (b *bodyReader) readAll() ([]byte, error) {
	var parts [][]byte
	for {
		part := make([]byte, nextPartBytes(b.total, b.announced))
		n, err := b.fill(part)
		parts = append(parts, part[:n])
		switch {
		case err == io.EOF:
			return join(parts, b.total), nil
		case err != nil:
			return nil, err
		}
	}
}

// fill reads until the part is full or the body ends.
func (b *bodyReader) fill(part []byte) (n int, err error) {
	for n < len(part) && err == nil {
		var k int
		k, err = b.body.Read(part[n:])
		n += k
		b.total += int64(k)
		if chargeErr := b.chargeArrived(); chargeErr != nil {
			return n, chargeErr
		}
	}
	return n, err
}

func (b *bodyReader) chargeArrived() error {
	if b.total > b.limit {
		return ErrBodyTooLarge
	}
	large, needed := b.total > smallBodyBytes, b.total
	if large {
		needed = max(needed, b.announced)
	}
	if needed <= b.charged {
		return nil
	}
	if !b.charge.take((needed-b.charged)*b.copies, large) {
		return ErrMemoryFull
	}
	b.charged = needed
	if large {
		b.charge.member.widen()
	}
	return nil
}

// nextPartBytes returns the size of the next part of a body of which total bytes have arrived. It
// doesn't depend on what is announced but for the end, where the part has one byte more, which is
// never filled.
func nextPartBytes(total, announced int64) int64 {
	size := min(max(firstPartBytes, total), maxPartBytes)
	if announced < 0 {
		return size
	}
	return min(size, announced-total+1)
}

func join(parts [][]byte, total int64) []byte {
	if len(parts) == 1 {
		return parts[0]
	}
	all := make([]byte, 0, total)
	for _, p := range parts {
		all = append(all, p...)
	}
	return all
}

// finishBodyUnless is finishBody for a body that was read without an error. It returns false if the
// request was evicted.
func (m *Member) finishBodyUnless(err error) bool {
	if err == nil {
		return m.finishBody()
	}
	return m == nil || !m.isEvicted()
}

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
