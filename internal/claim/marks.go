package claim

import "github.com/mastictray/mastictray/internal/platform"

// Mark says that every offset below Head was appended before Millis.
type Mark struct {
	Head   platform.Offset `msgpack:"h"`
	Millis int64           `msgpack:"m"`
}

const (
	markSpacingMillis = 1000
	maxMarks          = 4096
)

// marks date the stream: heads and times both go up along the slice.
type marks []Mark

// add keeps the mark unless another says the same or more. Dropping a mark
// is always safe: the stream only seems to be dated later.
func (m marks) add(n Mark) marks {
	for _, o := range m {
		if o.Head >= n.Head && o.Millis <= n.Millis {
			return m
		}
	}
	kept := m[:0]
	for _, o := range m {
		if o.Head > n.Head || o.Millis < n.Millis {
			kept = append(kept, o)
		}
	}
	at := len(kept)
	for at > 0 && kept[at-1].Head > n.Head {
		at--
	}
	kept = append(kept, Mark{})
	copy(kept[at+1:], kept[at:])
	kept[at] = n
	return kept.thin()
}

// thin keeps the list bounded by dropping every second mark once it is full.
func (m marks) thin() marks {
	if len(m) <= maxMarks {
		return m
	}
	kept := m[:0]
	for i, o := range m {
		if i%2 == 1 || i == len(m)-1 {
			kept = append(kept, o)
		}
	}
	return kept
}

// before is the time before which every offset below start was appended.
func (m marks) before(start platform.Offset) (millis int64, ok bool) {
	for _, o := range m {
		if o.Head >= start {
			return o.Millis, true
		}
	}
	return 0, false
}

// headBefore is the largest head that was read before the time.
func (m marks) headBefore(millis int64) platform.Offset {
	var head platform.Offset
	for _, o := range m {
		if o.Millis < millis {
			head = o.Head
		}
	}
	return head
}
