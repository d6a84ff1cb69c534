package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastictray/mastictray/internal/wire"
)

// member is the local state of an entry instance.
type member struct {
	record wire.MemberRecord
	// ringPosition is a hash of the instance name.
	ringPosition uint64
	// changed is when the record last changed at this instance.
	changed time.Duration
	// unansweredSince is when the first unanswered ping was sent; 0 for none.
	unansweredSince time.Duration
}

func hashRingPosition(instance string) uint64 { return xxhash.Sum64String(instance) }

// supersedes reports whether record a replaces record b of the same instance name. A
// process raises its version to refute that it is silent; a higher generation belongs
// to a later process under the name.
func supersedes(a, b wire.MemberRecord) bool {
	switch {
	case a.Generation != b.Generation:
		return a.Generation > b.Generation
	case a.Identity.Incarnation != b.Identity.Incarnation:
		return a.Identity.Incarnation > b.Identity.Incarnation
	case a.Version != b.Version:
		return a.Version > b.Version
	}
	return a.State > b.State
}

// digest returns the member's contribution to the digest of its bucket. A silent member
// contributes the same as a forgotten one.
func (m *member) digest() uint32 {
	if m.record.State == wire.MemberSilent {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(m.record.Identity.Instance)
	_, _ = d.WriteString("\x00" + m.record.Identity.Incarnation)
	_, _ = d.Write([]byte{
		byte(m.record.State), byte(m.record.Version), byte(m.record.Version >> 8),
		byte(m.record.Generation), byte(m.record.Generation >> 8), byte(m.record.Generation >> 16),
	})
	return uint32(d.Sum64())
}

func bucketOf(name string) int {
	return int(xxhash.Sum64String(name) % wire.DigestBuckets)
}
