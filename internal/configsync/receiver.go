package configsync

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastictray/mastictray/internal/wire"
)

const (
	// partTime is how long a part takes on the receiver's link: the wait that it
	// adds to a small message behind it.
	partTime = 20 * time.Millisecond
	// minPart and maxPart bound a part in bytes: a call costs more than its bytes on
	// a fast link.
	minPart = 4 << 10
	maxPart = 64 << 10
	// avoidFor is how long a sender that failed is left for others.
	avoidFor = 2 * time.Second
	// activeFor is how long after its last part a transfer counts as making progress.
	activeFor = 500 * time.Millisecond
	// never is the time of what has not happened yet.
	never = -time.Hour
)

// Source is an instance that has a newer configuration.
type Source struct {
	Name    string
	Version int64
	// SameDomain says that it is in the receiver's failure domain.
	SameDomain bool
}

// Receiver fetches the newest configuration that others have, one part at a time. It
// is not safe for concurrent use.
type Receiver struct {
	name string
	// limit is the bytes of a part, rate the bytes a second that transfers may take.
	limit int
	rate  float64

	// transfer is the encoding under way; the zero value for none.
	transfer wire.ConfigPart
	got      []byte
	// source is the sender of the last part, asked the one of the call under way.
	source, asked string
	avoided       map[string]time.Duration
	notBefore     time.Duration
	progressAt    time.Duration
	// whole is set while the next transfer must not build on what is here.
	whole bool
}

// NewReceiver makes the receiver of an instance whose link carries so many bytes a
// second; transfers take a share of that.
func NewReceiver(name string, link, share float64) *Receiver {
	limit := int(min(max(link*partTime.Seconds(), minPart), maxPart))
	return &Receiver{name: name, limit: limit, rate: link * share, avoided: map[string]time.Duration{}, progressAt: never}
}

// NextRequest chooses the next call, if one is to be made now; else it says when to look
// again, 0 for when there is a new source.
func (r *Receiver) NextRequest(now time.Duration, have wire.ConfigRef, sources []Source) (source string, c wire.ConfigPartRequest, wait time.Duration) {
	if r.transfer.Target.Version <= have.Version || r.transfer.Base != (wire.ConfigRef{}) && r.transfer.Base != have {
		r.reset()
	}
	if r.asked != "" {
		return "", c, 0
	}
	if now < r.notBefore {
		return "", c, r.notBefore - now
	}
	from, wait := r.choose(now, have, sources)
	if from == "" {
		return "", c, wait
	}
	r.asked = from
	if r.whole {
		have.Digest = 0 // nobody has that one
	}
	return from, wire.ConfigPartRequest{Base: have, Target: r.transfer.Target.Version, Offset: len(r.got), Limit: r.limit}, 0
}

// choose stays with the sender of the last part while it has what is fetched. Else
// it takes one of those that have the newest, near ones first, and receivers begin
// at different ones.
func (r *Receiver) choose(now time.Duration, have wire.ConfigRef, sources []Source) (name string, wait time.Duration) {
	var usable []Source
	for _, s := range sources {
		if s.Version <= have.Version {
			continue
		}
		if until, ok := r.avoided[s.Name]; ok && now < until {
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
		return cmp.Or(cmp.Compare(b.Version, a.Version), cmp.Compare(distance(a), distance(b)), cmp.Compare(r.order(a), r.order(b)))
	})
	return best.Name, 0
}

func distance(s Source) int {
	if s.SameDomain {
		return 0
	}
	return 1
}

// order is this receiver's own order of the sources.
func (r *Receiver) order(s Source) uint64 { return xxhash.Sum64String(r.name + "/" + s.Name) }

// HandlePart takes in an answer. Once the last part is there it gives the encoding.
func (r *Receiver) HandlePart(now time.Duration, p wire.ConfigPart) (raw []byte, done bool) {
	from := r.asked
	r.asked = ""
	switch {
	case p.RetryAfterMillis > 0:
		// Another one may have the configuration and a free link.
		r.avoided[from] = now + time.Duration(p.RetryAfterMillis)*time.Millisecond
		return nil, false
	case p.Target.Version == 0 || len(p.Data) == 0:
		r.avoid(now, from)
		return nil, false
	}
	if p.EncodingHash != r.transfer.EncodingHash {
		r.reset()
		r.transfer = p
	}
	r.source = from
	delete(r.avoided, from)
	if p.Offset != len(r.got) {
		return nil, false // of another encoding; the next call asks from the start
	}
	r.got = append(r.got, p.Data...)
	r.progressAt = now
	r.notBefore = now + time.Duration(float64(len(p.Data))/r.rate*float64(time.Second))
	if len(r.got) < r.transfer.EncodingSize {
		return nil, false
	}
	raw = r.got
	r.reset()
	r.whole = false
	return raw, true
}

// RejectEncoding takes in that the encoding whose last part came from a source could not be
// applied. The next one is asked for whole, and of another one.
func (r *Receiver) RejectEncoding(now time.Duration, source string) {
	r.whole = true
	r.avoid(now, source)
}

// HandleFailure takes in a call without an answer. What has arrived is kept.
func (r *Receiver) HandleFailure(now time.Duration) {
	r.avoid(now, r.asked)
	r.asked = ""
}

func (r *Receiver) avoid(now time.Duration, source string) {
	r.avoided[source] = now + avoidFor
	for name, until := range r.avoided {
		if until < now {
			delete(r.avoided, name)
		}
	}
}

// reset drops the transfer under way.
func (r *Receiver) reset() { r.transfer, r.got, r.source = wire.ConfigPart{}, nil, "" }

// Active says that parts are coming in.
func (r *Receiver) Active(now time.Duration) bool { return now-r.progressAt <= activeFor }
