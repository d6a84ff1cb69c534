package placement

import "time"

// memoryScorer adds the wait for room in the memory of a target that shares it by claims.
type memoryScorer struct{}

func (memoryScorer) Name() string { return "memory" }

func (memoryScorer) Cost(_ time.Duration, r *Request, t *Target, _ *Candidate) time.Duration {
	if t.Memory == nil || t.MemoryTokens == 0 {
		return 0
	}
	return t.Memory.expectedWait(t.MemoryTokens, t.HeldTokens+t.PeersHeldTokens, r.HeldTokens)
}
