package targetleaving

import "time"

// Limit is how long a mark holds that nothing else ends. It is above the time that a target takes
// to leave; one that has restarted without a list showing it as away is out of use for that long.
const Limit = 2 * time.Minute

// Marks holds a mark for each key that has announced that it leaves. The zero value has none.
// It is not safe for concurrent use.
type Marks[K comparable] struct{ marks map[K]*mark }

type mark struct {
	// announced and announcedMillis are when the last announcement arrived, on the monotonic
	// and on the wall clock.
	announced       time.Duration
	announcedMillis int64
	// awayMillis is the time of the last list since then without the key as live; 0 if none.
	awayMillis int64
}

// Announce marks a key. The result reports whether the mark is new.
func (m *Marks[K]) Announce(now time.Duration, wallMillis int64, key K) (begins bool) {
	if m.marks == nil {
		m.marks = make(map[K]*mark)
	}
	_, marked := m.marks[key]
	m.marks[key] = &mark{announced: now, announcedMillis: wallMillis}
	return !marked
}

// Leaving reports whether the key is marked.
func (m *Marks[K]) Leaving(key K) bool { return m.marks[key] != nil }

// Forget ends the mark of a key.
func (m *Marks[K]) Forget(key K) { delete(m.marks, key) }

// Listed applies what a list as of a time shows about the key. The mark ends if the list shows
// the key as live after one that showed it as leaving or gone. Lists as of a time before the
// announcement have no effect: the list lags, and may still show the last restart. The result
// reports whether the mark ended.
func (m *Marks[K]) Listed(key K, live bool, asOfMillis int64) (ended bool) {
	k := m.marks[key]
	switch {
	case k == nil || asOfMillis <= k.announcedMillis:
	case !live:
		k.awayMillis = max(k.awayMillis, asOfMillis)
	case k.awayMillis > 0 && asOfMillis > k.awayMillis:
		delete(m.marks, key)
		return true
	}
	return false
}

// Retain ends the marks that are older than Limit and whose key is not to be kept for longer,
// and returns their keys.
func (m *Marks[K]) Retain(now time.Duration, keep func(K) bool) (ended []K) {
	for key, k := range m.marks {
		if now-k.announced >= Limit && !keep(key) {
			delete(m.marks, key)
			ended = append(ended, key)
		}
	}
	return ended
}

// Keys calls f with each key that is marked.
func (m *Marks[K]) Keys(f func(K)) {
	for key := range m.marks {
		f(key)
	}
}
