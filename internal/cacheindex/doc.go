// Package cacheindex records which prompt pieces each target is known to have cached,
// within a memory budget. Its sources are the cached-token counts in answers and the
// cache events of the targets. A wrong entry only lowers the hit rate: the target
// itself decides what it reuses, and the hash of a piece depends on the client
// account, the model and the weights version.
//
// All entries of a target are removed at once when its incarnation or its weights
// version changes.
package cacheindex
