package configsync

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastictray/mastictray/internal/wire"
)

const (
	// partDuration is the transmission time of a part on the receiver's link, by which
	// it delays a small message behind it.
	partDuration = 20 * time.Millisecond
	// minPartBytes and maxPartBytes bound the size of a part. On a fast link the
	// overhead of a call exceeds the transmission time of a small part.
	minPartBytes = 4 << 10
	maxPartBytes = 64 << 10
	// avoidDuration is how long a source is not used after a failure.
	avoidDuration = 2 * time.Second
	// activeWindow is how long a transfer counts as active after its last part.
	activeWindow = 500 * time.Millisecond
	// never is the time of an event that has not happened.
	never = -time.Hour
)

// Source is an instance that has a newer configuration.
type Source struct {
	Name    string
	Version int64
	// SameDomain is set if it is in the receiver's failure domain.
	SameDomain bool
}

// Receiver fetches the newest configuration that other instances have, one part at a
// time. It is not safe for concurrent use.
type Receiver struct {
	name string
	// partBytes is the maximum size of a part, rate the bandwidth limit of transfers
	// in bytes per second.
	partBytes int
	rate      float64

	// transfer describes the encoding that is being received; zero for none. received
	// are its bytes so far.
	transfer wire.ConfigPart
	received []byte
	// source sent the last part; pendingSource is that of the call in flight.
	source, pendingSource string
	avoidedUntil          map[string]time.Duration
	nextRequestAt         time.Duration
	lastPartAt            time.Duration
	// fullOnly is set while a complete encoding is needed instead of a delta.
	fullOnly bool
}

// NewReceiver returns the receiver of an instance. linkRate is the rate of the
// instance's link in bytes per second, share the fraction of it for transfers.
func NewReceiver(name string, linkRate, share float64) *Receiver {
	partBytes := int(min(max(linkRate*partDuration.Seconds(), minPartBytes), maxPartBytes))
	return &Receiver{name: name, partBytes: partBytes, rate: linkRate * share, avoidedUntil: map[string]time.Duration{}, lastPartAt: never}
}

// NextRequest returns the next request and its source. If no request is due, source is
// empty and wait the time until the next one; 0 if that needs a new source or the
// result of the call in flight. have is the receiver's configuration.
func (r *Receiver) NextRequest(now time.Duration, have wire.ConfigRef, sources []Source) (source string, request wire.ConfigPartRequest, wait time.Duration) {
	if r.transfer.Target.Version <= have.Version || r.transfer.Base != (wire.ConfigRef{}) && r.transfer.Base != have {
		r.resetTransfer()
	}
	if r.pendingSource != "" {
		return "", request, 0
	}
	if now < r.nextRequestAt {
		return "", request, r.nextRequestAt - now
	}
	chosen, wait := r.chooseSource(now, have, sources)
	if chosen == "" {
		return "", request, wait
	}
	r.pendingSource = chosen
	if r.fullOnly {
		have.Digest = 0 // no sender has this base, so the encoding will be complete
	}
	return chosen, wire.ConfigPartRequest{Base: have, Target: r.transfer.Target.Version, Offset: len(r.received), Limit: r.partBytes}, 0
}

// chooseSource keeps the source of the last part while that has the version being
// fetched. Otherwise it chooses among the sources of the newest version, preferring
// those in the own failure domain; each receiver has its own order of equal ones.
// Without a usable source it returns the time until one is no longer avoided.
func (r *Receiver) chooseSource(now time.Duration, have wire.ConfigRef, sources []Source) (name string, wait time.Duration) {
	var usable []Source
	for _, s := range sources {
		if s.Version <= have.Version {
			continue
		}
		if until, ok := r.avoidedUntil[s.Name]; ok && now < until {
			if wait == 0 || until-now < wait {
				wait = until - now
			}
			continue
		}
		if s.Name == r.source && s.Version >= r.transfer.Target.Version {
			return s.Name, 0
		}
		usable = append(usable, s)
	}
	if len(usable) == 0 {
		return "", wait
	}
	best := slices.MinFunc(usable, func(a, b Source) int {
		return cmp.Or(cmp.Compare(b.Version, a.Version), cmp.Compare(domainDistance(a), domainDistance(b)), cmp.Compare(r.sourceOrder(a), r.sourceOrder(b)))
	})
	return best.Name, 0
}

func domainDistance(s Source) int {
	if s.SameDomain {
		return 0
	}
	return 1
}

// sourceOrder returns a sort key that differs between receivers, to spread the load.
func (r *Receiver) sourceOrder(s Source) uint64 { return xxhash.Sum64String(r.name + "/" + s.Name) }

// HandlePart handles the response to a request. With the last part it returns the
// encoding.
func (r *Receiver) HandlePart(now time.Duration, p wire.ConfigPart) (raw []byte, done bool) {
	sender := r.pendingSource
	r.pendingSource = ""
	switch {
	case p.RetryAfterMillis > 0:
		// Another source may have the configuration and a free link.
		r.avoidedUntil[sender] = now + time.Duration(p.RetryAfterMillis)*time.Millisecond
		return nil, false
	case p.Target.Version == 0 || len(p.Data) == 0:
		r.avoidSource(now, sender)
		return nil, false
	}
	if p.EncodingHash != r.transfer.EncodingHash {
		r.resetTransfer()
		r.transfer = p
	}
	r.source = sender
	delete(r.avoidedUntil, sender)
	if p.Offset != len(r.received) {
		return nil, false // part of another encoding; the next request starts at 0
	}
	r.received = append(r.received, p.Data...)
	r.lastPartAt = now
	r.nextRequestAt = now + time.Duration(float64(len(p.Data))/r.rate*float64(time.Second))
	if len(r.received) < r.transfer.EncodingSize {
		return nil, false
	}
	raw = r.received
	r.resetTransfer()
	r.fullOnly = false
	return raw, true
}

// RejectEncoding records that an encoding whose last part came from source could not be
// applied. The next request is for a complete encoding, from another source.
func (r *Receiver) RejectEncoding(now time.Duration, source string) {
	r.fullOnly = true
	r.avoidSource(now, source)
}

// HandleFailure records that the call in flight failed. The parts received so far are
// kept.
func (r *Receiver) HandleFailure(now time.Duration) {
	r.avoidSource(now, r.pendingSource)
	r.pendingSource = ""
}

func (r *Receiver) avoidSource(now time.Duration, source string) {
	r.avoidedUntil[source] = now + avoidDuration
	for name, until := range r.avoidedUntil {
		if until < now {
			delete(r.avoidedUntil, name)
		}
	}
}

// resetTransfer discards the current transfer.
func (r *Receiver) resetTransfer() { r.transfer, r.received, r.source = wire.ConfigPart{}, nil, "" }

// Active reports whether a part has arrived within activeWindow.
func (r *Receiver) Active(now time.Duration) bool { return now-r.lastPartAt <= activeWindow }
