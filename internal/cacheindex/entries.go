package cacheindex

// none marks the end of a list.
const none = int32(-1)

// entry is one piece that a target is known to hold. It stands in two lists: all entries in order
// of use, and the entries of its target.
type entry struct {
	key          key
	holder       *holder
	newer, older int32
	next, prev   int32
	// used is the store's count of uses when this one was used last, takenAt
	// the target's count of tokens at that time.
	used    uint64
	takenAt float64
}

// entryList keeps entries in one slice and reuses freed places.
type entryList struct {
	at             []entry
	free           []int32
	newest, eldest int32
}

func newEntryList() entryList {
	return entryList{newest: none, eldest: none}
}

func (l *entryList) oldest() int32 { return l.eldest }

func (l *entryList) insert(k key, h *holder) int32 {
	at := l.place()
	l.at[at] = entry{key: k, holder: h, next: h.first, prev: none}
	if h.first != none {
		l.at[h.first].prev = at
	}
	h.first = at
	l.link(at)
	return at
}

func (l *entryList) place() int32 {
	if n := len(l.free); n > 0 {
		at := l.free[n-1]
		l.free = l.free[:n-1]
		return at
	}
	l.at = append(l.at, entry{})
	return int32(len(l.at) - 1)
}

// link makes an entry the newest.
func (l *entryList) link(at int32) {
	e := &l.at[at]
	e.newer, e.older = none, l.newest
	if l.newest != none {
		l.at[l.newest].newer = at
	} else {
		l.eldest = at
	}
	l.newest = at
}

func (l *entryList) unlink(at int32) {
	e := &l.at[at]
	if e.newer != none {
		l.at[e.newer].older = e.older
	} else {
		l.newest = e.older
	}
	if e.older != none {
		l.at[e.older].newer = e.newer
	} else {
		l.eldest = e.newer
	}
}

func (l *entryList) touch(at int32) {
	if at == l.newest {
		return
	}
	l.unlink(at)
	l.link(at)
}

func (l *entryList) remove(at int32) {
	l.unlink(at)
	e := &l.at[at]
	if e.next != none {
		l.at[e.next].prev = e.prev
	}
	if e.prev != none {
		l.at[e.prev].next = e.next
	} else {
		e.holder.first = e.next
	}
	l.at[at] = entry{}
	l.free = append(l.free, at)
}
