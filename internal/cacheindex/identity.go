package cacheindex

import "time"

// Identity identifies one run of a target with one weights version. Entries are
// removed when the identity under which they were learnt ends.
type Identity struct {
	Target      string
	Incarnation string
	Version     string
}

// targetState is what is known about one target.
type targetState struct {
	identity Identity
	// queriedAt is when the status query that returned the identity was sent.
	queriedAt time.Duration
	// generation is part of the key of the target's entries; 0 means that it has none.
	generation uint32
	// firstEntry is the head of the list of the target's entries.
	firstEntry int32
	// insertedTokens counts the tokens that requests have added to the target's cache.
	insertedTokens float64
}
