// Package engine is a stand-in for a model engine. It simulates a prefill rate, a
// decode rate that all streams of a continuous batch share, and an LRU cache of
// prompt pieces. The generated text depends only on the prompt, so that another
// engine generates the same chunks for the same request. A stream remains available
// for a grace period after its connection closes, and can be resumed or cancelled.
//
// Faults: kill (the process exits), freeze (responses stop, connections stay open),
// crash_on (the process exits when a prompt contains the marker), bad_version (the
// process exits at the first request while it serves the version in marker), slow
// (an additional delay of ms for each prefill and each token), shed (requests for
// completions and streams get status 503 and Retry-After with ms, or with the marker; n
// times), leaving (all responses announce that the engine leaves).
//
// An import of cached pieces is rejected unless it names an account, the model and
// the version that the engine serves, and the engine's own incarnation. Imported
// pieces are cached for that account only.
package engine
