package callerlimit

import (
	"io"

	"github.com/mastictray/mastictray/internal/membudget"
)

// Response is the body of a response that is kept until its caller has taken it, as far as there is
// memory. The zero Response is empty.
type Response struct {
	memory *Memory
	member *Member
	parts  [][]byte
	// bytes is the size of the parts, charged what they are charged.
	bytes, charged int64
}

// NewResponse returns an empty Response to a caller whose connection is member, which may be nil.
func NewResponse(memory *Memory, member *Member) *Response {
	return &Response{memory: memory, member: member}
}

// ResponseOf returns a Response of a body that is in memory anyway.
func ResponseOf(body []byte) *Response {
	return &Response{parts: [][]byte{body}, bytes: int64(len(body))}
}

// Keep reads a body of at most limit bytes until its end. It returns false if there is no memory for
// the rest, which the caller of Keep is to relay as it arrives.
func (r *Response) Keep(body io.Reader, limit int64) (whole bool, err error) {
	for {
		part := r.newPart()
		if part == nil {
			return false, nil
		}
		n, err := fill(body, part)
		r.parts = append(r.parts, part[:n])
		r.bytes += int64(n)
		switch {
		case r.bytes > limit:
			return false, ErrBodyTooLarge
		case err == io.EOF:
			return true, nil
		case err != nil:
			return false, err
		}
	}
}

// newPart returns room for the next part of a body; nil if there is none. The first one is in the
// memory of its request.
func (r *Response) newPart() []byte {
	size := nextPartBytes(r.bytes, -1)
	if r.bytes > 0 {
		if !r.memory.Take(membudget.Responses, size) {
			r.member.evictUnread()
			return nil
		}
		r.charged += size
	}
	return make([]byte, size)
}

// fill reads until the part is full or the body ends.
func fill(body io.Reader, part []byte) (n int, err error) {
	for n < len(part) && err == nil {
		var k int
		k, err = body.Read(part[n:])
		n += k
	}
	return n, err
}

// Len returns the number of bytes that are kept.
func (r *Response) Len() int64 { return r.bytes }

// Bytes returns what is kept.
func (r *Response) Bytes() []byte { return join(r.parts, r.bytes) }

// WriteTo implements io.WriterTo. It ends the charge.
func (r *Response) WriteTo(w io.Writer) (written int64, err error) {
	defer r.Release()
	for _, part := range r.parts {
		n, err := w.Write(part)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Release ends the charge. What is kept can't be used any more.
func (r *Response) Release() {
	r.memory.Return(membudget.Responses, r.charged)
	r.parts, r.bytes, r.charged = nil, 0, 0
}

// evictUnread closes the connection of a caller that takes nothing of its response, if there is one:
// its response takes memory, or a place at its target.
func (m *Member) evictUnread() {
	if m == nil {
		return
	}
	l := m.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if victim := l.leastLocked(nil, 0, (*Member).isBusy); victim != nil {
		l.abortLocked(victim, "memory")
	}
}
