package gateway

import "time"

// What decides for the requests of model servers, with the grounds for each.
const (
	// beliefBudgetBytes bounds what is remembered of the targets' caches: some
	// ten thousand pieces, several times what a dozen engines hold.
	beliefBudgetBytes = 2 << 20
	// maxQueued bounds the requests that wait here for one service.
	maxQueued = 1024
	// engineWindow is the prompt work that a target may have before further
	// requests for it are held here.
	engineWindow = 120 * time.Millisecond
	// stepEvery is the pause between looks at the queue while requests wait:
	// an engine's own step.
	stepEvery = 4 * time.Millisecond
	// outdatedPenalty is what a first token on the newest weights may come
	// later by. An answer on older ones loses a fifth of its worth, one past
	// its latency objective half or more. With three times as much, all
	// instances sent to the few targets that had the newest weights, which had
	// queues of 0.6 s while the others stood idle for 4 s around each load.
	outdatedPenalty = 80 * time.Millisecond
	// candidates bounds the targets that a prompt may go to. All instances see
	// the same queues, and late: with sixteen candidates nearly every prompt
	// finds the one that has just become free, and they meet there.
	candidates = 4
	// queueSlack is the queue of a target that placement does not count: about
	// one usual prompt, which a target has mostly read by the time that peers
	// hear of it. In calm traffic on 90 targets it and the division by
	// heaviness took late answers from 283 to 83 of 5,544 short prompts, and
	// from 231 to 168 of 2,399 dossiers.
	queueSlack = 60 * time.Millisecond
	// heavyTokens is a tenth of a second of prefill: a fifth of the shorter
	// latency objective, as far as a light prompt may be held up.
	heavyTokens = 8000
	// heavyPenalty is about the time that a heavy prompt takes.
	heavyPenalty = 100 * time.Millisecond
	// cacheShare is the part of a target's memory in which cached pieces stay:
	// running requests hold the rest.
	cacheShare = 0.8
	// transferSetup is what a fetch from another target costs before its
	// bytes move, and a bit more, so that a prompt stays where it is cached
	// unless that saves time.
	transferSetup = 15 * time.Millisecond
	// transferShare of the link's rate is counted on: other transfers share
	// it, and between domains it takes twice as long.
	transferShare = 0.4
	bytesPerMbit  = 1e6 / 8
)
