package membership

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/wire"
)

const (
	// smallBucket is sent whole when it differs.
	smallBucket = 8
	// recentFor is how long a changed fact is offered to peers whose bucket
	// differs. News reaches nearly all within a second.
	recentFor = 5 * time.Second
	// wholeOneIn is how seldom a large bucket without recent facts is sent
	// whole. Two parts of the fleet that were cut apart for long have nothing
	// recent to offer, and one exchange between them is enough.
	wholeOneIn = 64
	// newcomerLacks is how many facts less than here mark a peer that has
	// just started.
	newcomerLacks = 16
)

// answerDigests sends facts of the buckets that differ, up to a bound; the
// rest follows at later beats.
func (v *View) answerDigests(now time.Duration, b wire.MemberPing) {
	if len(b.Digests) != wire.DigestBuckets {
		return
	}
	newcomer := b.RecordCount+newcomerLacks < len(v.members)+len(v.targets)
	body := wire.MemberUpdates{AntiEntropy: true}
	first := v.rng.IntN(wire.DigestBuckets)
	for i := range wire.DigestBuckets {
		k := (first + i) % wire.DigestBuckets
		if b.Digests[k] == v.digests[k] || len(body.Members)+len(body.Targets) >= maxFacts {
			continue
		}
		v.offer(now, &v.buckets[k], newcomer, &body)
	}
	if len(body.Members)+len(body.Targets) > 0 {
		v.send(b.From.Identity.Address, wire.KindMemberUpdates, body)
	}
}

// offer adds the bucket's recent facts, or all of them. Sending all of a
// large bucket to each peer that is a moment behind would cost most of the
// budget while anything changes.
func (v *View) offer(now time.Duration, k *bucket, whole bool, body *wire.MemberUpdates) {
	members, targets := len(body.Members), len(body.Targets)
	whole = whole || len(k.members)+len(k.targets) <= smallBucket
	for _, m := range k.members {
		if whole || now-m.changed < recentFor {
			body.Members = append(body.Members, m.fact)
		}
	}
	for _, t := range k.targets {
		if whole || now-t.changed < recentFor {
			body.Targets = append(body.Targets, t.fact)
		}
	}
	if !whole && len(body.Members) == members && len(body.Targets) == targets && v.rng.IntN(wholeOneIn) == 0 {
		v.offer(now, k, true, body)
	}
}

// Decode reads the body of a membership message for Receive.
func Decode(f wire.Frame) (any, error) {
	switch f.Kind {
	case wire.KindMemberPing, wire.KindMemberPong:
		var b wire.MemberPing
		err := f.DecodeBody(&b)
		return b, errors.Wrap(err, "decode member beat")
	case wire.KindMemberUpdates:
		var b wire.MemberUpdates
		err := f.DecodeBody(&b)
		return b, errors.Wrap(err, "decode member news")
	}
	return nil, errors.Newf("membership: unknown message kind=%s", f.Kind)
}
