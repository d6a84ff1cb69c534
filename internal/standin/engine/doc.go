// Package engine is a stand-in for a model engine. It has a prefill rate, a
// decode rate shared by a continuous batch, and an LRU cache of prompt pieces;
// its text is a function of the prompt, so that a replay on another engine
// gives the same chunks. Streams outlive their connection for a grace time and
// can be resumed or cancelled.
//
// Faults: kill (the process exits), freeze (answers stop, connections stay
// open), crash_on (the process exits when a prompt contains the marker),
// bad_version (the process exits at the first request on the version in
// marker), slow (ms more for each prefill and each token).
//
// An import is refused unless its account, model and version are those the
// pieces were cached under and its incarnation is the importing engine's own.
package engine
