package configsync

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastictray/mastictray/internal/wire"
)

const (
	// MaxSnapshots is the versions that a receiver's version may be compared with,
	// and that a transfer under way may go on with: more than come within the time
	// of one transfer.
	MaxSnapshots = 4
	// keptEncodings is the encodings that are kept for the next parts of them.
	keptEncodings = 4
	// burstTime is how long a sender's link may be used whole after a pause.
	burstTime = 50 * time.Millisecond
)

// Sender answers calls for parts of the configurations that an instance has. It is
// not safe for concurrent use.
type Sender struct {
	// rate is the bytes a second that transfers may take of the link.
	rate float64
	// budget is the bytes that may be sent now; below zero while the link is in use.
	budget    float64
	at        time.Duration
	snapshots []*Snapshot // oldest first
	encodings []encoding  // used last at the end
}

// encoding is what a target differs by from a base.
type encoding struct {
	base, target wire.ConfigRef
	hash         uint64
	raw          []byte
}

// NewSender makes a sender that takes at most so many bytes a second of its link.
func NewSender(bytesPerSecond float64) *Sender { return &Sender{rate: bytesPerSecond} }

// AddSnapshot takes in a newer configuration.
func (s *Sender) AddSnapshot(next *Snapshot) {
	s.snapshots = append(s.snapshots, next)
	if len(s.snapshots) > MaxSnapshots {
		s.snapshots = s.snapshots[1:]
	}
}

// newest is the configuration that was put last; nil for none.
func (s *Sender) newest() *Snapshot {
	if len(s.snapshots) == 0 {
		return nil
	}
	return s.snapshots[len(s.snapshots)-1]
}

// find finds a configuration that is still kept; nil for none.
func (s *Sender) find(ref wire.ConfigRef) *Snapshot {
	for _, x := range s.snapshots {
		if x.Ref == ref {
			return x
		}
	}
	return nil
}

// Part answers a call.
func (s *Sender) Part(now time.Duration, c wire.ConfigPartRequest) (wire.ConfigPart, error) {
	target := s.target(c)
	if target == nil {
		return wire.ConfigPart{}, nil
	}
	if wait := s.busy(now); wait > 0 {
		return wire.ConfigPart{Target: target.Ref, RetryAfterMillis: wait.Milliseconds() + 1}, nil
	}
	e, err := s.encoding(c.Base, target)
	if err != nil {
		return wire.ConfigPart{}, err
	}
	offset := c.Offset
	if offset < 0 || offset > len(e.raw) {
		offset = 0 // the caller has parts of another encoding
	}
	data := e.raw[offset:min(len(e.raw), offset+max(1, c.Limit))]
	s.budget -= float64(len(data))
	return wire.ConfigPart{Base: e.base, Target: e.target, EncodingHash: e.hash, EncodingSize: len(e.raw), Offset: offset, Data: data}, nil
}

// target is the configuration of a transfer under way, while it is kept and newer
// than what the caller has, or else the newest.
func (s *Sender) target(c wire.ConfigPartRequest) *Snapshot {
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

// busy is how long the link's share is used up by what was sent before.
func (s *Sender) busy(now time.Duration) time.Duration {
	s.budget = min(s.budget+s.rate*(now-s.at).Seconds(), s.rate*burstTime.Seconds())
	s.at = now
	if s.budget > 0 {
		return 0
	}
	return time.Duration(-s.budget / s.rate * float64(time.Second))
}

// encoding finds or makes what a target differs by from what the caller has. Where
// that is not kept here, the encoding is whole.
func (s *Sender) encoding(have wire.ConfigRef, target *Snapshot) (*encoding, error) {
	base := s.find(have)
	if base == nil {
		base = empty
	}
	for i, e := range s.encodings {
		if e.base == base.Ref && e.target == target.Ref {
			s.encodings = append(append(s.encodings[:i:i], s.encodings[i+1:]...), e)
			return &s.encodings[len(s.encodings)-1], nil
		}
	}
	raw, err := encode(base, target)
	if err != nil {
		return nil, err
	}
	if len(s.encodings) >= keptEncodings {
		s.encodings = s.encodings[1:]
	}
	s.encodings = append(s.encodings, encoding{base: base.Ref, target: target.Ref, hash: xxhash.Sum64(raw), raw: raw})
	return &s.encodings[len(s.encodings)-1], nil
}
