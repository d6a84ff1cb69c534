package cacheindex

// nilIndex marks the end of a list.
const nilIndex = int32(-1)

// entry is a piece that a target is known to have cached. It is an element of two
// doubly linked lists: newer and older link all entries in order of use, next and
// prev those of one target.
type entry struct {
	key          key
	target       *targetState
	newer, older int32
	next, prev   int32
	// lastUse is the value of the index's use counter when the piece was last used,
	// insertedAtUse the target's count of inserted tokens at that time.
	lastUse       uint64
	insertedAtUse float64
}

// entryList stores entries in one slice and reuses freed elements.
type entryList struct {
	nodes          []entry
	free           []int32
	newest, oldest int32
}

func newEntryList() entryList {
	return entryList{newest: nilIndex, oldest: nilIndex}
}

func (l *entryList) leastRecentlyUsed() int32 { return l.oldest }

func (l *entryList) insert(k key, t *targetState) int32 {
	i := l.allocate()
	l.nodes[i] = entry{key: k, target: t, next: t.firstEntry, prev: nilIndex}
	if t.firstEntry != nilIndex {
		l.nodes[t.firstEntry].prev = i
	}
	t.firstEntry = i
	l.linkNewest(i)
	return i
}

// allocate returns the position of an unused element.
func (l *entryList) allocate() int32 {
	if n := len(l.free); n > 0 {
		i := l.free[n-1]
		l.free = l.free[:n-1]
		return i
	}
	l.nodes = append(l.nodes, entry{})
	return int32(len(l.nodes) - 1)
}

// linkNewest makes an entry the most recently used.
func (l *entryList) linkNewest(i int32) {
	e := &l.nodes[i]
	e.newer, e.older = nilIndex, l.newest
	if l.newest != nilIndex {
		l.nodes[l.newest].newer = i
	} else {
		l.oldest = i
	}
	l.newest = i
}

func (l *entryList) unlink(i int32) {
	e := &l.nodes[i]
	if e.newer != nilIndex {
		l.nodes[e.newer].older = e.older
	} else {
		l.newest = e.older
	}
	if e.older != nilIndex {
		l.nodes[e.older].newer = e.newer
	} else {
		l.oldest = e.newer
	}
}

func (l *entryList) touch(i int32) {
	if i == l.newest {
		return
	}
	l.unlink(i)
	l.linkNewest(i)
}

func (l *entryList) remove(i int32) {
	l.unlink(i)
	e := &l.nodes[i]
	if e.next != nilIndex {
		l.nodes[e.next].prev = e.prev
	}
	if e.prev != nilIndex {
		l.nodes[e.prev].next = e.next
	} else {
		e.target.firstEntry = e.next
	}
	l.nodes[i] = entry{}
	l.free = append(l.free, i)
}
