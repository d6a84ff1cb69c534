package gateway

import "time"

// Placement and queueing for the requests of model servers.
const (
	// cacheIndexBytes bounds what is remembered of the targets' caches.
	cacheIndexBytes = 2 << 20
	// maxQueuedRequests bounds the requests that wait here for one service.
	maxQueuedRequests = 1024
	// maxTargetBacklog is the prompt work that a target may have before further
	// requests for it are held here. It covers the latency of a first token and
	// the age of what peers tell of their work, or targets would stand idle
	// between two requests.
	maxTargetBacklog = 360 * time.Millisecond
	// recomputeBacklogUnit is the mean work of targets at which a recomputed token
	// weighs as much again, maxRecompute the most that it weighs.
	recomputeBacklogUnit = 25 * time.Millisecond
	maxRecomputeFactor   = 3.0
	// queueStepInterval is the pause between looks at the queue while requests wait.
	queueStepInterval = 4 * time.Millisecond
	// outdatedWeightsPenalty is what a first token on the newest weights may come
	// later by: an answer on older ones is worth less, a late one too.
	outdatedWeightsPenalty = 120 * time.Millisecond
	// maxCandidates bounds the targets that a prompt may go to. All instances see
	// the same queues, and late: with many maxCandidates nearly every prompt finds
	// the target that has just become free, and they meet there.
	maxCandidates = 4
	// queueSlack is the queue of a target that placement does not count: peers
	// tell of their work late.
	queueSlack = 60 * time.Millisecond
	// cacheMemoryShare is the part of a target's memory in which cached pieces stay:
	// running requests hold the rest.
	cacheMemoryShare = 0.8
	// transferSetup is what a fetch from another target costs before its
	// bytes move, and a bit more, so that a prompt stays where it is cached
	// unless that saves time.
	transferSetup = 15 * time.Millisecond
	// transferLinkShare of the link's rate is counted on: other transfers share
	// it, and between domains it takes twice as long.
	transferLinkShare = 0.4
	bytesPerMbit      = 1e6 / 8
)
