package attempt

import (
	"strconv"
	"time"

	"github.com/mastictray/mastictray/internal/sse"
)

// Event takes one event of an engine's stream.
func (s *Stream) Event(now time.Duration, leg int, e sse.Event) Action {
	if !s.current(leg) {
		return Action{}
	}
	s.last = now
	seq, err := strconv.ParseInt(e.ID, 10, 64)
	if !e.HasID || err != nil || seq < 0 {
		return s.breakUp(CauseMalformed)
	}
	switch {
	case seq < s.next:
		// A duplicate, such as a resume that starts too early.
		return Action{}
	case seq > s.next:
		// Relaying past a gap would cut a piece out of the answer.
		return s.breakUp(CauseGap)
	case string(e.Data) == doneData:
		return s.done()
	}
	return s.chunk(e.Data)
}

func (s *Stream) chunk(data []byte) Action {
	c, err := parseChunk(s.attempt, data)
	if err != nil {
		return s.breakUp(CauseCrossed)
	}
	s.next++
	s.seen++
	s.hash = chain(s.hash, c.Choices)
	if s.seen <= s.relayed {
		return s.skip()
	}
	s.buf, err = rename(s.buf, data, s.attempt, s.p.RequestID)
	if err != nil {
		return s.breakUp(CauseMalformed)
	}
	s.relayed, s.relayedHash = s.seen, s.hash
	return Action{Kind: Relay, Seq: s.relayed - 1, Data: s.buf}
}

// skip drops a replayed chunk that the caller has already. Nothing new is
// relayed before the hash over all of them has matched: a target that answers
// differently would otherwise continue another text.
func (s *Stream) skip() Action {
	if s.seen == s.relayed && s.hash != s.relayedHash {
		return s.breakUp(CauseDiverged)
	}
	return Action{}
}

func (s *Stream) done() Action {
	if s.seen < s.relayed {
		return s.breakUp(CauseDiverged)
	}
	s.next++
	s.open, s.over = false, true
	return Action{Kind: Relay, Seq: s.relayed, Data: []byte(doneData), Done: true}
}

// FullResponse takes the whole body of an engine's answer without a stream.
func (s *Stream) FullResponse(leg int, body []byte) Action {
	if !s.current(leg) {
		return Action{}
	}
	if _, err := parseChunk(s.attempt, body); err != nil {
		return s.breakUp(CauseCrossed)
	}
	renamed, err := rename(nil, body, s.attempt, s.p.RequestID)
	if err != nil {
		return s.breakUp(CauseMalformed)
	}
	s.open, s.over = false, true
	return Action{Kind: EndOK, Data: renamed}
}

// Complete tells that a plain service's answer has arrived as a whole.
func (s *Stream) Complete(leg int) Action {
	if !s.current(leg) {
		return Action{}
	}
	s.open, s.over = false, true
	return Action{Kind: EndOK}
}
