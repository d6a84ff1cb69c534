package callerlimit

import (
	"io"
	"net/http"

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
	b := bodyReader{charge: c, body: r.Body, announced: r.ContentLength, limit: limit, copies: copies, framing: newFraming(c.member, r)}
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
	framing         framing
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
		if !b.framing.pace(b.total) {
			return n, ErrMemoryFull
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
