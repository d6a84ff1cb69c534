package gateway

import (
	"sync"

	"github.com/mastictray/mastictray/internal/directory"
	"github.com/mastictray/mastictray/internal/logline"
)

// targetLimits are the requests a second that targets take from all instances
// together, as their answers state them.
type targetLimits struct {
	mu     sync.Mutex
	stated map[directory.Incarnation]float64
}

func newTargetLimits() *targetLimits {
	return &targetLimits{stated: map[directory.Incarnation]float64{}}
}

// observe takes in what an answer of a target states; 0 for no limit.
func (t *targetLimits) observe(id directory.Incarnation, limit float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.stated[id]
	if before == limit {
		return
	}
	t.stated[id] = limit
	logline.Info("target_limit", "target", id.ID, "born", id.Born, "limit", limit, "before", before)
}
