package claim

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/logrec"
	"github.com/mastictray/mastictray/internal/platform"
)

// ErrGap is returned for records that do not follow what was folded so far.
var ErrGap = errors.New("claim: records do not follow the fold")

// Holder is the state of one key: who may run it, and what came of it.
type Holder struct {
	Key         KeyHash         `msgpack:"k"`
	Request     BodyHash        `msgpack:"r"`
	Attempt     string          `msgpack:"a"`
	Incarnation string          `msgpack:"i"`
	Address     string          `msgpack:"p"`
	Offset      platform.Offset `msgpack:"o"`
	Result      *Result         `msgpack:"s"`
}

// claimed remembers the order in which keys were taken.
type claimed struct {
	offset platform.Offset
	key    KeyHash
}

// table is the fold of the claims stream over the offsets from start to next.
type table struct {
	cfg     Config
	start   platform.Offset
	next    platform.Offset
	holders map[KeyHash]*Holder
	order   []claimed
	bodies  []KeyHash
	held    int
	marks   marks
	// names holds one copy of each incarnation, address and content type.
	names map[string]string
}

// maxNames bounds the copies held; past it they are collected anew.
const maxNames = 8192

func (t *table) intern(s string) string {
	if known, ok := t.names[s]; ok {
		return known
	}
	if len(t.names) >= maxNames {
		clear(t.names)
	}
	t.names[s] = s
	return s
}

func newTable(cfg Config) *table {
	return &table{cfg: cfg, holders: map[KeyHash]*Holder{}, names: map[string]string{}}
}

// change tells the machine what one record did.
type change struct {
	key     KeyHash
	attempt string
	kind    logrec.Kind
}

// apply folds one record. Malformed records are skipped, the same way on
// every instance.
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

// applyClaim gives a free key to the claim. A claim on a held key loses for
// good, also when the key is freed later: its request may have been answered
// by then.
func (t *table) applyClaim(env logrec.Envelope, at platform.Offset) change {
	var c Claim
	if env.DecodeBody(&c) != nil {
		return change{}
	}
	if c.Head <= at {
		t.mark(Mark{Head: c.Head, Millis: c.HeadMillis})
	}
	if t.holders[c.Key] == nil {
		t.take(&Holder{
			Key: c.Key, Request: c.Request, Attempt: c.Attempt,
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
		t.take(&Holder{Key: r.Key, Request: r.Request, Attempt: r.Attempt, Incarnation: env.Writer, Offset: at})
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

func (t *table) take(h *Holder) {
	h.Incarnation, h.Address = t.intern(h.Incarnation), t.intern(h.Address)
	t.holders[h.Key] = h
	t.order = append(t.order, claimed{offset: h.Offset, key: h.Key})
	for len(t.order) > t.cfg.MaxKeys {
		t.dropFirst()
	}
}

// dropFirst forgets the oldest claim and moves the start of coverage past it,
// so that a repeat of its key is too old and never taken for a new request.
func (t *table) dropFirst() {
	c := t.order[0]
	t.order = t.order[1:]
	t.start = max(t.start, c.offset+1)
	if h := t.holders[c.key]; h != nil && h.Offset == c.offset {
		t.releaseBody(h)
		delete(t.holders, c.key)
	}
}

// setResult keeps the first result; a repeated record changes nothing.
func (t *table) setResult(h *Holder, r *Result) {
	if h.Result == nil {
		r.ContentType = t.intern(r.ContentType)
		h.Result = r
		t.holdBody(h)
	}
}

// holdBody keeps the answers within MaxHeldBytes, the latest first.
func (t *table) holdBody(h *Holder) {
	if len(h.Result.Body) == 0 {
		return
	}
	t.bodies = append(t.bodies, h.Key)
	t.held += len(h.Result.Body)
	for t.held > t.cfg.MaxHeldBytes || len(t.bodies) > t.cfg.MaxKeys {
		k := t.bodies[0]
		t.bodies = t.bodies[1:]
		if old := t.holders[k]; old != nil && old.Result != nil {
			t.releaseBody(old)
		}
	}
}

func (t *table) releaseBody(h *Holder) {
	if h.Result == nil || len(h.Result.Body) == 0 {
		return
	}
	t.held -= len(h.Result.Body)
	r := *h.Result
	r.Body, r.BodyDropped = nil, true
	h.Result = &r
}

// trimmed restarts coverage at the oldest retained offset: what lay between
// is lost. Keys known from before stay, which can only refuse too much.
func (t *table) trimmed(start platform.Offset) {
	if start > t.next {
		t.start, t.next = start, start
	}
}

// expire forgets claims older than the window.
func (t *table) expire(wall int64) {
	cut := t.marks.headBefore(wall - t.cfg.Window.Milliseconds())
	for len(t.order) > 0 && t.order[0].offset < cut {
		t.dropFirst()
	}
	t.start = max(t.start, min(cut, t.next))
}

func (t *table) mark(m Mark) {
	if n := len(t.marks); n > 0 && m.Millis < t.marks[n-1].Millis+markSpacingMillis && m.Millis >= t.marks[n-1].Millis {
		return
	}
	t.marks = t.marks.add(m)
}

// covers says whether every record about a key of this date is in the fold.
// A key older than coverage may have run before: a claim on it could win
// against a forgotten one and run the request twice.
func (t *table) covers(date, wall int64) bool {
	if t.start == 0 {
		return true
	}
	before, ok := t.marks.before(t.start)
	if !ok {
		before = wall
	}
	return date >= before+t.cfg.MaxClockSkew.Milliseconds()
}

// coverage is how far back the fold surely reaches.
func (t *table) coverage(wall int64) time.Duration {
	before, ok := t.marks.before(t.start)
	if !ok {
		return 0
	}
	return time.Duration(wall-before) * time.Millisecond
}
