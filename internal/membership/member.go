package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastictray/mastictray/internal/wire"
)

// member is what is known of one entry instance.
type member struct {
	fact wire.MemberRecord
	// place is its position on the ring.
	place uint64
	// changed is when the fact last changed here.
	changed time.Duration
	// asked is when the first unanswered ping went out; 0 for none.
	asked time.Duration
}

func ringPlace(instance string) uint64 { return xxhash.Sum64String(instance) }

// newer says whether fact a replaces fact b about the same instance name. The
// process itself raises its version to refute that it is silent; only a later
// process under the name has a higher order.
func newer(a, b wire.MemberRecord) bool {
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

// digest is the member's part of its bucket's digest. One that is silent counts
// like one that was forgotten.
func (m *member) digest() uint32 {
	if m.fact.State == wire.MemberSilent {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(m.fact.Identity.Instance)
	_, _ = d.WriteString("\x00" + m.fact.Identity.Incarnation)
	_, _ = d.Write([]byte{
		byte(m.fact.State), byte(m.fact.Version), byte(m.fact.Version >> 8),
		byte(m.fact.Generation), byte(m.fact.Generation >> 8), byte(m.fact.Generation >> 16),
	})
	return uint32(d.Sum64())
}

func bucketOf(name string) int {
	return int(xxhash.Sum64String(name) % wire.DigestBuckets)
}
