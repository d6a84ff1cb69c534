package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/placement"
)

// startMemoryGateway returns a gateway that bounds memory, with one target.
func startMemoryGateway(instance string) (*testGateway, *engineService) {
	p := startTestGateway(&memoryStore{newest: 2, targets: targetsOnVersions(2)}, instance)
	p.settings.Features.BoundedMemory = true
	p.engineServices = map[string]*engineService{}
	p.mu.Lock()
	p.updateServiceTargets()
	p.mu.Unlock()
	return p, p.engineServices["engines"]
}

func promptOf(tokens int) *engineRequest {
	return &engineRequest{Account: "acc", Placement: placement.Request{HeldTokens: tokens}}
}

// Guards against instances that together exceed a target's memory: what has no room with the
// peers' requests and claims waits, and is announced to them.
func TestPromptWithoutRoomIsClaimed(t *testing.T) {
	is := is.New(t)
	p, service := startMemoryGateway("b")
	p.applyMemoryClaims(time.Hour, map[string][]placement.MemoryClaim{"a": {{Instance: "a", Tokens: 50_000, Ticket: 4}}})
	pl, refusal := service.acquire(t.Context(), promptOf(5_000))
	is.True(pl != nil && refusal == nil)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	pl, refusal = service.acquire(ctx, promptOf(30_000))
	is.True(pl == nil && refusal == nil)
	state, _ := p.publishedState()
	is.Equal(len(state.MemoryClaims), 1)
	is.Equal(state.MemoryClaims[0].Tokens, 30_000)
	is.Equal(state.MemoryClaims[0].Ticket, uint64(5))
}

// Without the feature, nothing is claimed and peers' claims change nothing.
func TestMemoryIsNotSharedByDefault(t *testing.T) {
	is := is.New(t)
	p := startTestGateway(&memoryStore{newest: 2, targets: targetsOnVersions(2)}, "b")
	service := p.engineServiceFor("engines")
	p.applyMemoryClaims(time.Hour, map[string][]placement.MemoryClaim{"a": {{Instance: "a", Tokens: 90_000, Ticket: 4}}})
	for range 2 {
		pl, refusal := service.acquire(t.Context(), promptOf(70_000))
		is.True(pl != nil && refusal == nil)
	}
	state, _ := p.publishedState()
	is.Equal(len(state.MemoryClaims), 0)
}
