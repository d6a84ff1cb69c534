package callerlimit

import (
	"context"
	"net/http"

	"golang.org/x/time/rate"

	"github.com/mastictray/mastictray/internal/logline"
)

const (
	// framingBytesPerSecond bounds what is received of all bodies beyond their own bytes, and
	// framingBurstBytes is how much of that is received at once. Chunks of one byte are six times as
	// large, and reading them takes the processor time of as many large ones.
	framingBytesPerSecond = 8 << 20
	framingBurstBytes     = 8 << 20
	// bufferedBytes is what the HTTP server may have received of a body before it is read.
	bufferedBytes = 8 << 10
	// framingTimeout bounds the wait for what others have received before; a body that would have to
	// wait longer is refused.
	framingTimeout = roomTimeout
)

func newFramingRate() *rate.Limiter {
	return rate.NewLimiter(framingBytesPerSecond, framingBurstBytes)
}

// framing paces the reading of one body by what is received beyond its own bytes.
type framing struct {
	member *Member
	ctx    context.Context
	// start is what the connection had received before the body was read, paid what has been
	// accounted for.
	start, paid int64
}

func newFraming(m *Member, r *http.Request) framing {
	if m == nil {
		return framing{}
	}
	return framing{member: m, ctx: r.Context(), start: m.bytesReceived()}
}

// pace is called when body bytes have been read. It returns false if the body is to be refused.
func (f *framing) pace(body int64) bool {
	if f.member == nil {
		return true
	}
	beyond := f.member.bytesReceived() - f.start - body
	if beyond <= f.paid+bufferedBytes {
		return true
	}
	n := min(beyond-f.paid, framingBurstBytes)
	f.paid = beyond
	ctx, cancel := context.WithTimeout(f.ctx, framingTimeout)
	defer cancel()
	if err := f.member.limiter.framing.WaitN(ctx, int(n)); err != nil {
		logline.InfoSampled("chunks_refused", "caller", f.member.socket.RemoteAddr(), "body_bytes", body, "framing_bytes", beyond)
		return false
	}
	return true
}
