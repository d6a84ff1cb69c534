package claim

import "github.com/mastictray/mastictray/internal/platform"

// TimeIndexEntry states that every record below the offset Head was appended before
// the Unix time Millis.
type TimeIndexEntry struct {
	Head   platform.Offset `msgpack:"h"`
	Millis int64           `msgpack:"m"`
}

const (
	minEntrySpacingMillis = 1000
	maxTimeIndexEntries   = 4096
)

// timeIndex maps offsets of the claims stream to times. Offsets and times both increase
// along the slice.
type timeIndex []TimeIndexEntry

// add inserts the entry unless another one implies it, and removes the entries that it
// implies. Dropping an entry is always safe: records then only seem to be more recent
// than they are.
func (x timeIndex) add(n TimeIndexEntry) timeIndex {
	for _, e := range x {
		if e.Head >= n.Head && e.Millis <= n.Millis {
			return x
		}
	}
	kept := x[:0]
	for _, e := range x {
		if e.Head > n.Head || e.Millis < n.Millis {
			kept = append(kept, e)
		}
	}
	at := len(kept)
	for at > 0 && kept[at-1].Head > n.Head {
		at--
	}
	kept = append(kept, TimeIndexEntry{})
	copy(kept[at+1:], kept[at:])
	kept[at] = n
	return kept.thin()
}

// thin drops every second entry when the index is full.
func (x timeIndex) thin() timeIndex {
	if len(x) <= maxTimeIndexEntries {
		return x
	}
	kept := x[:0]
	for i, e := range x {
		if i%2 == 1 || i == len(x)-1 {
			kept = append(kept, e)
		}
	}
	return kept
}

// timeBefore returns a time before which every record below the offset was appended.
func (x timeIndex) timeBefore(offset platform.Offset) (millis int64, ok bool) {
	for _, e := range x {
		if e.Head >= offset {
			return e.Millis, true
		}
	}
	return 0, false
}

// offsetBefore returns the largest offset known to be reached before the time.
func (x timeIndex) offsetBefore(millis int64) platform.Offset {
	var head platform.Offset
	for _, e := range x {
		if e.Millis < millis {
			head = e.Head
		}
	}
	return head
}
