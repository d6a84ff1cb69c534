package claim

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/logrec"
	"github.com/mastictray/mastictray/internal/platform"
)

// ErrGap is returned for a record whose offset is not the next one.
var ErrGap = errors.New("claim: gap in the offsets of the claims stream")

// Holder is the claim that holds a key, with the result of its request.
type Holder struct {
	Key         KeyHash         `msgpack:"k"`
	RequestHash RequestHash     `msgpack:"r"`
	Attempt     string          `msgpack:"a"`
	Incarnation string          `msgpack:"i"`
	Address     string          `msgpack:"p"`
	Offset      platform.Offset `msgpack:"o"`
	Result      *Result         `msgpack:"s"`
}

// claimedKey is a key with the offset of its claim.
type claimedKey struct {
	offset platform.Offset
	key    KeyHash
}

// table is the state that results from the records of the claims stream at the offsets
// from start up to, but not including, next.
type table struct {
	cfg     Config
	start   platform.Offset
	next    platform.Offset
	holders map[KeyHash]*Holder
	// claimOrder and bodyOrder list the keys with a holder and with a stored response
	// body, oldest first.
	claimOrder    []claimedKey
	bodyOrder     []KeyHash
	heldBodyBytes int
	timeIndex     timeIndex
	// interned holds one copy of each incarnation, address and content type string.
	interned map[string]string
}

// maxInterned bounds the interned strings. The map is cleared when it is full.
const maxInterned = 8192

func (t *table) intern(s string) string {
	if known, ok := t.interned[s]; ok {
		return known
	}
	if len(t.interned) >= maxInterned {
		clear(t.interned)
	}
	t.interned[s] = s
	return s
}

func newTable(cfg Config) *table {
	return &table{cfg: cfg, holders: map[KeyHash]*Holder{}, interned: map[string]string{}}
}

// change describes the effect of one record.
type change struct {
	key     KeyHash
	attempt string
	kind    logrec.Kind
}

// apply applies one record. Malformed records are skipped, in the same way on every
// instance.
func (t *table) apply(r platform.Record) (change, error) {
	if r.Offset != t.next {
		return change{}, errors.Wrapf(ErrGap, "offset %d, want %d", r.Offset, t.next)
	}
	t.next++
	env, err := logrec.Decode(r.Data)
	if err != nil {
		return change{}, nil
	}
	switch env.Kind {
	case KindClaim:
		return t.applyClaim(env, r.Offset), nil
	case KindResult:
		return t.applyResult(env, r.Offset), nil
	case KindAbandon:
		return t.applyAbandon(env), nil
	}
	return change{}, nil
}

// applyClaim makes the claim the holder of its key if the key is free. A claim on a held
// key never takes effect, even if the key is released later, because its request may
// have been answered by then.
func (t *table) applyClaim(env logrec.Envelope, at platform.Offset) change {
	var c Claim
	if env.DecodeBody(&c) != nil {
		return change{}
	}
	if c.Head <= at {
		t.addTimeEntry(TimeIndexEntry{Head: c.Head, Millis: c.HeadMillis})
	}
	if t.holders[c.Key] == nil {
		t.setHolder(&Holder{
			Key: c.Key, RequestHash: c.RequestHash, Attempt: c.Attempt,
			Incarnation: c.Incarnation, Address: c.Address, Offset: at,
		})
	}
	return change{key: c.Key, attempt: c.Attempt, kind: KindClaim}
}

func (t *table) applyResult(env logrec.Envelope, at platform.Offset) change {
	var r ResultRecord
	if env.DecodeBody(&r) != nil {
		return change{}
	}
	if t.holders[r.Key] == nil {
		t.setHolder(&Holder{Key: r.Key, RequestHash: r.RequestHash, Attempt: r.Attempt, Incarnation: env.Writer, Offset: at})
	}
	h := t.holders[r.Key]
	if h.Attempt == r.Attempt {
		t.setResult(h, &r.Result)
	}
	return change{key: r.Key, attempt: r.Attempt, kind: KindResult}
}

func (t *table) applyAbandon(env logrec.Envelope) change {
	var a Abandon
	if env.DecodeBody(&a) != nil {
		return change{}
	}
	if h := t.holders[a.Key]; h != nil && h.Attempt == a.Attempt && h.Result == nil {
		delete(t.holders, a.Key)
	}
	return change{key: a.Key, attempt: a.Attempt, kind: KindAbandon}
}

func (t *table) setHolder(h *Holder) {
	h.Incarnation, h.Address = t.intern(h.Incarnation), t.intern(h.Address)
	t.holders[h.Key] = h
	t.claimOrder = append(t.claimOrder, claimedKey{offset: h.Offset, key: h.Key})
	for len(t.claimOrder) > t.cfg.MaxKeys {
		t.dropOldest()
	}
}

// dropOldest drops the oldest claim and advances start past it, so that a retry with its
// key is too old and can't be taken for a new request.
func (t *table) dropOldest() {
	c := t.claimOrder[0]
	t.claimOrder = t.claimOrder[1:]
	t.start = max(t.start, c.offset+1)
	if h := t.holders[c.key]; h != nil && h.Offset == c.offset {
		t.releaseBody(h)
		delete(t.holders, c.key)
	}
}

// setResult sets the result if there is none yet. A repeated record has no effect.
func (t *table) setResult(h *Holder, r *Result) {
	if h.Result == nil {
		r.ContentType = t.intern(r.ContentType)
		h.Result = r
		t.keepBody(h)
	}
}

// keepBody accounts for a new response body and drops the oldest ones above
// MaxHeldBytes.
func (t *table) keepBody(h *Holder) {
	if len(h.Result.Body) == 0 {
		return
	}
	t.bodyOrder = append(t.bodyOrder, h.Key)
	t.heldBodyBytes += len(h.Result.Body)
	for t.heldBodyBytes > t.cfg.MaxHeldBytes || len(t.bodyOrder) > t.cfg.MaxKeys {
		k := t.bodyOrder[0]
		t.bodyOrder = t.bodyOrder[1:]
		if old := t.holders[k]; old != nil && old.Result != nil {
			t.releaseBody(old)
		}
	}
}

func (t *table) releaseBody(h *Holder) {
	if h.Result == nil || len(h.Result.Body) == 0 {
		return
	}
	t.heldBodyBytes -= len(h.Result.Body)
	r := *h.Result
	r.Body, r.BodyDropped = nil, true
	h.Result = &r
}

// trimTo restarts the table at the oldest retained offset; the records before it are
// lost. Known keys are kept: at worst they make a request be refused needlessly.
func (t *table) trimTo(start platform.Offset) {
	if start > t.next {
		t.start, t.next = start, start
	}
}

// expire drops claims that are older than the window.
func (t *table) expire(wallMillis int64) {
	oldest := t.timeIndex.offsetBefore(wallMillis - t.cfg.Window.Milliseconds())
	for len(t.claimOrder) > 0 && t.claimOrder[0].offset < oldest {
		t.dropOldest()
	}
	t.start = max(t.start, min(oldest, t.next))
}

// addTimeEntry adds an entry to the time index, unless it is too close to the last one.
func (t *table) addTimeEntry(e TimeIndexEntry) {
	if n := len(t.timeIndex); n > 0 && e.Millis < t.timeIndex[n-1].Millis+minEntrySpacingMillis && e.Millis >= t.timeIndex[n-1].Millis {
		return
	}
	t.timeIndex = t.timeIndex.add(e)
}

// covers reports whether the table has every record about a key that was first used at
// the given time. An older key may have run before: its holder may have been dropped, so
// a new claim would take the key and run the request twice.
func (t *table) covers(firstUse, wallMillis int64) bool {
	if t.start == 0 {
		return true
	}
	before, ok := t.timeIndex.timeBefore(t.start)
	if !ok {
		before = wallMillis
	}
	return firstUse >= before+t.cfg.MaxClockSkew.Milliseconds()
}

// coverage returns how far back the table certainly has all records.
func (t *table) coverage(wallMillis int64) time.Duration {
	before, ok := t.timeIndex.timeBefore(t.start)
	if !ok {
		return 0
	}
	return time.Duration(wallMillis-before) * time.Millisecond
}
