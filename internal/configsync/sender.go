package configsync

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastictray/mastictray/internal/wire"
)

const (
	// MaxSnapshots is the number of latest versions that a Sender keeps as the base of
	// a delta and as the target of a transfer in progress. It exceeds the number of
	// versions published during one transfer.
	MaxSnapshots = 4
	// maxEncodings is the number of encodings that are cached for further parts.
	maxEncodings = 4
	// burstDuration bounds the unused rate that a Sender accumulates.
	burstDuration = 50 * time.Millisecond
)

// Sender answers requests for parts of an instance's configurations. It is not safe for
// concurrent use.
type Sender struct {
	// rate is the bandwidth limit of transfers in bytes per second.
	rate float64
	// budget is the number of bytes that may be sent as of budgetAt; negative after a
	// part that exceeded it.
	budget    float64
	budgetAt  time.Duration
	snapshots []*Snapshot // oldest first
	encodings []encoding  // least recently used first
}

// encoding is an encoded delta from base to target.
type encoding struct {
	base, target wire.ConfigRef
	hash         uint64
	raw          []byte
}

// NewSender returns a sender that sends at most bytesPerSecond.
func NewSender(bytesPerSecond float64) *Sender { return &Sender{rate: bytesPerSecond} }

// AddSnapshot adds a newer configuration.
func (s *Sender) AddSnapshot(next *Snapshot) {
	s.snapshots = append(s.snapshots, next)
	if len(s.snapshots) > MaxSnapshots {
		s.snapshots = s.snapshots[1:]
	}
}

// newest returns the configuration that was added last; nil for none.
func (s *Sender) newest() *Snapshot {
	if len(s.snapshots) == 0 {
		return nil
	}
	return s.snapshots[len(s.snapshots)-1]
}

// findSnapshot returns the configuration with this reference; nil if it is not kept.
func (s *Sender) findSnapshot(ref wire.ConfigRef) *Snapshot {
	for _, x := range s.snapshots {
		if x.Ref == ref {
			return x
		}
	}
	return nil
}

// Part answers a request.
func (s *Sender) Part(now time.Duration, c wire.ConfigPartRequest) (wire.ConfigPart, error) {
	target := s.chooseTarget(c)
	if target == nil {
		return wire.ConfigPart{}, nil
	}
	if wait := s.budgetWait(now); wait > 0 {
		return wire.ConfigPart{Target: target.Ref, RetryAfterMillis: wait.Milliseconds() + 1}, nil
	}
	e, err := s.encodingFor(c.Base, target)
	if err != nil {
		return wire.ConfigPart{}, err
	}
	offset := c.Offset
	if offset < 0 || offset > len(e.raw) {
		offset = 0 // the receiver has parts of another encoding
	}
	data := e.raw[offset:min(len(e.raw), offset+max(1, c.Limit))]
	s.budget -= float64(len(data))
	return wire.ConfigPart{Base: e.base, Target: e.target, EncodingHash: e.hash, EncodingSize: len(e.raw), Offset: offset, Data: data}, nil
}

// chooseTarget returns the version that is being transferred while that is kept and newer
// than the receiver's, and otherwise the newest; nil if that is not newer either.
func (s *Sender) chooseTarget(c wire.ConfigPartRequest) *Snapshot {
	for _, x := range s.snapshots {
		if x.Ref.Version == c.Target && c.Target > c.Base.Version {
			return x
		}
	}
	if n := s.newest(); n != nil && n.Ref.Version > c.Base.Version {
		return n
	}
	return nil
}

// budgetWait refills the budget and returns the time until it is positive again.
func (s *Sender) budgetWait(now time.Duration) time.Duration {
	s.budget = min(s.budget+s.rate*(now-s.budgetAt).Seconds(), s.rate*burstDuration.Seconds())
	s.budgetAt = now
	if s.budget > 0 {
		return 0
	}
	return time.Duration(-s.budget / s.rate * float64(time.Second))
}

// encodingFor returns the cached or a new encoding of target as a delta from the
// receiver's configuration, or a complete one if that configuration is not kept.
func (s *Sender) encodingFor(baseRef wire.ConfigRef, target *Snapshot) (*encoding, error) {
	base := s.findSnapshot(baseRef)
	if base == nil {
		base = emptySnapshot
	}
	for i, e := range s.encodings {
		if e.base == base.Ref && e.target == target.Ref {
			s.encodings = append(append(s.encodings[:i:i], s.encodings[i+1:]...), e)
			return &s.encodings[len(s.encodings)-1], nil
		}
	}
	raw, err := encodeDelta(base, target)
	if err != nil {
		return nil, err
	}
	if len(s.encodings) >= maxEncodings {
		s.encodings = s.encodings[1:]
	}
	s.encodings = append(s.encodings, encoding{base: base.Ref, target: target.Ref, hash: xxhash.Sum64(raw), raw: raw})
	return &s.encodings[len(s.encodings)-1], nil
}
