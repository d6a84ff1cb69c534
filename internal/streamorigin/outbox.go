package streamorigin

import "time"

// maxBroken bounds the broken streams of an Outbox.
const maxBroken = 4096

// Outbox holds the origins of an instance's own streams that its peers don't have. It is not
// safe for concurrent use.
type Outbox struct {
	live map[Key]Origin
	// broken has the streams whose callers didn't get the end, oldest first.
	broken []brokenStream
}

type brokenStream struct {
	key    Key
	origin Origin
	at     time.Duration
}

// NewOutbox returns an empty outbox.
func NewOutbox() *Outbox { return &Outbox{live: map[Key]Origin{}} }

// Begin adds a stream whose first event is passed on.
func (b *Outbox) Begin(key Key, o Origin) { b.live[key] = o }

// End records the end of a stream. Nobody takes up a complete one.
func (b *Outbox) End(now time.Duration, key Key, complete bool) {
	o, ok := b.live[key]
	delete(b.live, key)
	if !ok || complete {
		return
	}
	if len(b.broken) >= maxBroken {
		b.broken = b.broken[1:]
	}
	b.broken = append(b.broken, brokenStream{key: key, origin: o, at: now})
}

// Take removes and returns up to limit streams of the services for which wanted returns true.
// Broken streams come first: their callers may be on their way.
func (b *Outbox) Take(now time.Duration, limit int, wanted func(service string) bool) map[Origin][]Key {
	out := map[Origin][]Key{}
	var kept []brokenStream
	for _, s := range b.broken {
		switch {
		case now-s.at > Retention:
		case limit > 0 && wanted(s.origin.Service):
			out[s.origin] = append(out[s.origin], s.key)
			limit--
		default:
			kept = append(kept, s)
		}
	}
	b.broken = kept
	for key, o := range b.live {
		if limit <= 0 {
			break
		}
		if wanted(o.Service) {
			out[o] = append(out[o], key)
			delete(b.live, key)
			limit--
		}
	}
	return out
}
