package attempt

import (
	"strconv"
	"time"

	"github.com/mastictray/mastictray/internal/sse"
)

// Event handles one event of an engine's stream.
func (s *Stream) Event(now time.Duration, conn int, e sse.Event) Action {
	if !s.current(conn) {
		return Action{}
	}
	s.lastReceived = now
	seq, err := strconv.ParseInt(e.ID, 10, 64)
	if !e.HasID || err != nil || seq < 0 {
		return s.failConnection(CauseMalformed)
	}
	switch {
	case seq < s.nextSeq:
		// A duplicate, for example because a resumed stream starts too early.
		return Action{}
	case seq > s.nextSeq:
		// Events are missing: relaying this one would leave a gap in the response.
		return s.failConnection(CauseSequenceGap)
	case string(e.Data) == doneData:
		return s.relayDone()
	}
	return s.relayChunk(e.Data)
}

// relayChunk relays a chunk, unless the caller has it from an earlier attempt.
func (s *Stream) relayChunk(data []byte) Action {
	c, err := parseChunk(s.attempt, data)
	if err != nil {
		return s.failConnection(CauseCrossed)
	}
	s.nextSeq++
	s.received++
	s.receivedHash = hashChunk(s.receivedHash, c.Choices)
	if s.received <= s.relayed {
		return s.skipReplayed()
	}
	s.buf, err = replaceID(s.buf, data, s.attempt, s.policy.RequestID)
	if err != nil {
		return s.failConnection(CauseMalformed)
	}
	if s.relayed == 0 {
		s.relayedSoftware = s.software
	}
	s.relayed, s.relayedHash = s.received, s.receivedHash
	return Action{Kind: Relay, Seq: s.relayed - 1, Data: s.buf}
}

// skipReplayed drops a replayed chunk that the caller already has. No new chunk is relayed
// before the hash of all replayed ones has matched; otherwise the caller could get the
// continuation of a different response.
func (s *Stream) skipReplayed() Action {
	if s.received == s.relayed && s.receivedHash != s.relayedHash {
		return s.failConnection(CauseReplayDiverged)
	}
	return Action{}
}

// relayDone relays the event that ends the stream.
func (s *Stream) relayDone() Action {
	if s.received < s.relayed {
		return s.failConnection(CauseReplayDiverged)
	}
	s.nextSeq++
	s.connected, s.finished = false, true
	return Action{Kind: Relay, Seq: s.relayed, Data: []byte(doneData), Done: true}
}

// FullResponse handles the body of an engine's response that is not a stream.
func (s *Stream) FullResponse(conn int, body []byte) Action {
	if !s.current(conn) {
		return Action{}
	}
	if _, err := parseChunk(s.attempt, body); err != nil {
		return s.failConnection(CauseCrossed)
	}
	data, err := replaceID(nil, body, s.attempt, s.policy.RequestID)
	if err != nil {
		return s.failConnection(CauseMalformed)
	}
	s.connected, s.finished = false, true
	return Action{Kind: EndOK, Data: data}
}

// Complete handles the end of a response from a service pool, which was received
// completely.
func (s *Stream) Complete(conn int) Action {
	if !s.current(conn) {
		return Action{}
	}
	s.connected, s.finished = false, true
	return Action{Kind: EndOK}
}
