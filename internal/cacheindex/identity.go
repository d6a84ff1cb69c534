package cacheindex

import "time"

// Identity names one run of a target on one weights version. Entries never
// outlive the identity that they were learnt from.
type Identity struct {
	Target      string
	Incarnation string
	Version     string
}

// holder is what is known of one target.
type holder struct {
	identity Identity
	// asked is when the question was sent that gave the identity.
	asked time.Duration
	// generation keys the entries; 0 means that there are none.
	generation uint32
	// first is the head of the list of entries of this target.
	first int32
	// taken counts the tokens that requests have put into its cache.
	taken float64
}
