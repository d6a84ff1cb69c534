package gateway

import "time"

// Parameters of placement and queueing for requests to model servers.
const (
	// cacheIndexBytes bounds the memory of the index of the targets' caches.
	cacheIndexBytes = 2 << 20
	// maxQueuedRequests bounds the requests of one service that wait at this instance.
	maxQueuedRequests = 1024
	// maxTargetBacklog is the prompt work queued at a target from which further requests
	// for it are held at this instance. It covers the latency of a first token and the
	// delay of peers' load reports; otherwise targets would be idle between two requests.
	maxTargetBacklog = 360 * time.Millisecond
	// recomputeBacklogUnit is the mean backlog of the targets that adds 1 to the weight of
	// a recomputed token. maxRecomputeFactor is the maximum weight.
	recomputeBacklogUnit = 25 * time.Millisecond
	maxRecomputeFactor   = 3.0
	// queueStepInterval is the interval between steps of the queue while requests wait.
	queueStepInterval = 4 * time.Millisecond
	// outdatedWeightsPenalty is the additional time to first token that is accepted for an
	// answer from the newest weights. Answers from older weights are worth less, but so are
	// late ones.
	outdatedWeightsPenalty = 120 * time.Millisecond
	// maxCandidates bounds the targets considered for a prompt. All instances see the same
	// queues, and see them late: with many candidates, nearly every prompt is placed on the
	// target that has just become free, and they queue up there.
	maxCandidates = 4
	// queueSlack is the queueing time at a target that placement ignores, because peers'
	// reports of their work are late.
	queueSlack = 60 * time.Millisecond
	// unequalQueueSlack is that time while targets have different capacity weights: the time by
	// which instances know each other's work late. A shorter queue may be gone by then.
	unequalQueueSlack = exchangeInterval + followInterval
	// cacheMemoryShare is the fraction of a target's memory that holds cached pieces.
	// Running requests use the rest.
	cacheMemoryShare = 0.8
	// transferSetup is the fixed time per fetch from another target, plus a margin so that
	// a prompt is placed where it is cached unless a fetch saves time.
	transferSetup = 15 * time.Millisecond
	// transferLinkShare is the fraction of the link rate that a transfer is expected to
	// get. Other transfers share the link, and a transfer between domains takes twice as
	// long.
	transferLinkShare = 0.4
	bytesPerMbit      = 1e6 / 8
)
