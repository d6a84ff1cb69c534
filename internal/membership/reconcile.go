package membership

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/wire"
)

const (
	// smallBucketRecords is the size up to which a differing bucket is sent whole.
	smallBucketRecords = 8
	// recentWindow is how long a changed record is sent to peers whose bucket
	// differs. Gossip reaches nearly all peers within a second.
	recentWindow = 5 * time.Second
	// fullBucketOneIn: a large differing bucket without recent records is sent whole
	// once in this many times. After a long partition neither side has recent
	// records, and one exchange between the two sides is enough.
	fullBucketOneIn = 64
	// newPeerRecordDeficit: a peer that lacks more than this number of records,
	// compared to this instance, has just started and gets all differing buckets
	// whole.
	newPeerRecordDeficit = 16
)

// sendDifferingBuckets sends records of the buckets whose digests differ. It adds
// buckets, from a random one on, until there are maxRecords; the others follow in
// later rounds.
func (v *View) sendDifferingBuckets(now time.Duration, b wire.MemberPing) {
	if len(b.Digests) != wire.DigestBuckets {
		return
	}
	peerIsNew := b.RecordCount+newPeerRecordDeficit < len(v.members)+len(v.targets)
	body := wire.MemberUpdates{AntiEntropy: true}
	first := v.rng.IntN(wire.DigestBuckets)
	for i := range wire.DigestBuckets {
		k := (first + i) % wire.DigestBuckets
		if b.Digests[k] == v.digests[k] || len(body.Members)+len(body.Targets) >= maxRecords {
			continue
		}
		v.appendBucket(now, &v.buckets[k], peerIsNew, &body)
	}
	if len(body.Members)+len(body.Targets) > 0 {
		v.send(b.From.Identity.Address, wire.KindMemberUpdates, body)
	}
}

// appendBucket appends the bucket's recent records, or all of them. While anything
// changes, sending all of a large bucket to each peer that is slightly behind would
// take up most of the bandwidth.
func (v *View) appendBucket(now time.Duration, k *bucket, full bool, body *wire.MemberUpdates) {
	members, targets := len(body.Members), len(body.Targets)
	full = full || len(k.members)+len(k.targets) <= smallBucketRecords
	for _, m := range k.members {
		if full || now-m.changed < recentWindow {
			body.Members = append(body.Members, m.record)
		}
	}
	for _, t := range k.targets {
		if full || now-t.changed < recentWindow {
			body.Targets = append(body.Targets, t.record)
		}
	}
	if !full && len(body.Members) == members && len(body.Targets) == targets && v.rng.IntN(fullBucketOneIn) == 0 {
		v.appendBucket(now, k, true, body)
	}
}

// Decode decodes the body of a membership message for View.Receive.
func Decode(f wire.Frame) (any, error) {
	switch f.Kind {
	case wire.KindMemberPing, wire.KindMemberPong:
		var b wire.MemberPing
		err := f.DecodeBody(&b)
		return b, errors.Wrap(err, "decode member ping")
	case wire.KindMemberUpdates:
		var b wire.MemberUpdates
		err := f.DecodeBody(&b)
		return b, errors.Wrap(err, "decode member updates")
	}
	return nil, errors.Newf("membership: unknown message kind=%s", f.Kind)
}
