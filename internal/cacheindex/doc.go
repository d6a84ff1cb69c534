// Package cacheindex keeps which cached pieces each target is known to
// hold. It learns from the cached-token counts that come back with answers and
// from cache events, within a byte budget. A wrong entry costs hit rate only:
// the target decides by itself what it reuses, and the hash of a piece is
// bound to the client account, the model and the weights version.
//
// All entries of a target are dropped at once when its incarnation or
// its weights version changes.
package cacheindex
