package callerlimit

import (
	"math"
	"time"
)

const (
	// progressHalfLife is the time after which what a caller has sent counts half.
	progressHalfLife = 2 * time.Second
	// startBytes is what a caller counts as having sent when its connection or its next request
	// begins, so that it has time to send it.
	startBytes = 16 << 10
)

const (
	// maxProgressBytes bounds what counts as sent lately, so that a caller that stops soon ranks below
	// others however much it has sent.
	maxProgressBytes = 64 << 10
	// stallTimeout is the time without a byte after which a caller has stalled, and stalledBytes what
	// it must have sent lately else.
	stallTimeout = time.Second
	stalledBytes = 4 << 10
)

// progress is how much a caller has sent lately.
type progress struct {
	bytes float64
	at    time.Duration
}

func newProgress(now time.Duration) progress { return progress{startBytes, now} }

func (p progress) value(now time.Duration) float64 {
	return p.bytes * math.Exp2(-float64(now-p.at)/float64(progressHalfLife))
}

func (p *progress) add(now time.Duration, bytes int) {
	*p = progress{min(p.value(now)+float64(bytes), maxProgressBytes), now}
}

// stalled reports whether the caller sends next to nothing.
func (p progress) stalled(now time.Duration) bool {
	return now-p.at > stallTimeout || p.value(now) < stalledBytes
}

// stage is what a connection does.
type stage int

const (
	// stageHead: the head of a request is awaited or arrives.
	stageHead stage = iota
	// stageBody: the body of a request arrives.
	stageBody
	// stageBusy: the request has arrived whole and is served.
	stageBusy
	// stageIdle: the connection is kept open between two requests.
	stageIdle
	// stageClosing: the request was refused and what its caller still sends is discarded.
	stageClosing
)

func (s stage) String() string { return [...]string{"head", "body", "busy", "idle", "closing"}[s] }

// sendStallTimeout is the time after which a caller that takes nothing of its response may give
// way.
const sendStallTimeout = 5 * time.Second

// rank orders connections by who is evicted first, lowest first. ok is false for one that isn't
// evicted. stalled is the time for which the caller has taken nothing of a response.
func rank(s stage, sent float64, held int64, stalled time.Duration) (r float64, ok bool) {
	switch {
	case s == stageClosing:
		return -1, true
	case s == stageBusy:
		return 0, stalled > sendStallTimeout
	}
	return score(sent, held), true
}

// score is what a caller has sent lately for each byte of memory that it holds.
func score(sent float64, held int64) float64 { return sent / float64(max(1, held)) }
