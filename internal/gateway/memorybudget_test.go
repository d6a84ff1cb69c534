package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/callerlimit"
	"github.com/mastictray/mastictray/internal/membudget"
	"github.com/mastictray/mastictray/internal/routing"
)

const testInstanceMemory = 144 << 20

// startBudgetGateway returns a gateway with the given memory; 0 for no bound.
func startBudgetGateway(memory int64) *Gateway {
	return New(Settings{Instance: "a", Features: Features{BoundedMemory: true}, MemoryBytes: memory}, stubDialect{}, &memoryStore{}, unresponsiveTargets{})
}

// arrive returns a request with a body that is about to be read.
func arrive(g *Gateway, body string, contentLength int64) *call {
	r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body))
	r.ContentLength = contentLength
	return &call{Request: &Request{}, r: r, w: httptest.NewRecorder(), table: routing.NewTable(&routing.Config{})}
}

// Guards against a process that ends because more requests arrive than its memory holds: new ones
// are refused before their bodies are read, until others have been answered.
func TestRequestsBeyondMemoryAreRefused(t *testing.T) {
	is := is.New(t)
	g := startBudgetGateway(testInstanceMemory)
	const bodyBytes = 1 << 20
	var accepted []*call
	var refusal *Refusal
	for refusal == nil {
		c := arrive(g, strings.Repeat("x", bodyBytes), bodyBytes)
		if refusal = g.readBody(t.Context(), c); refusal == nil {
			is.Equal(len(c.Body), bodyBytes)
			accepted = append(accepted, c)
		}
		is.True(len(accepted) < testInstanceMemory/bodyBytes/bodyCopies)
	}
	is.Equal(refusal.Status, http.StatusServiceUnavailable)
	is.Equal(refusal.Reason, "memory_full")
	is.True(refusal.NotRun && refusal.RetryAfter > 0)
	is.True(len(accepted) > 10)
	is.True(responseBudget{g.memory}.Take(1 << 20)) // responses under way have their share
	accepted[0].memory.Release()
	is.True(g.readBody(t.Context(), arrive(g, strings.Repeat("x", bodyBytes), bodyBytes)) == nil)
}

// Guards against a body of unknown size that is not charged, and one that is refused and stays
// charged.
func TestBodyOfUnknownSizeIsCharged(t *testing.T) {
	is := is.New(t)
	g := startBudgetGateway(testInstanceMemory)
	c := arrive(g, strings.Repeat("x", 100_000), -1)
	is.True(g.readBody(t.Context(), c) == nil)
	is.Equal(len(c.Body), 100_000)
	is.Equal(g.memory.Use().Used[membudget.Requests], int64(callerlimit.RequestBytes+bodyCopies*100_000))
	c.memory.Release()
	is.Equal(g.memory.Use().Used[membudget.Requests], int64(0))
	for g.memory.Take(membudget.Requests, 1<<20) {
	}
	before := g.memory.Use().Used[membudget.Requests]
	c = arrive(g, strings.Repeat("x", 3<<20), -1)
	refusal := g.readBody(t.Context(), c)
	is.True(refusal != nil)
	is.Equal(refusal.Reason, "memory_full")
	c.memory.Release()
	is.Equal(g.memory.Use().Used[membudget.Requests], before)
}

// Guards against a budget that only some deployments have: without optional features too, requests
// beyond the memory are refused.
func TestMemoryIsBoundedWithoutFeatures(t *testing.T) {
	is := is.New(t)
	g := New(Settings{Instance: "a", MemoryBytes: testInstanceMemory}, stubDialect{}, &memoryStore{}, unresponsiveTargets{})
	body := strings.Repeat("x", 1<<20)
	accepted := 0
	for g.readBody(t.Context(), arrive(g, body, 1<<20)) == nil {
		accepted++
		is.True(accepted < testInstanceMemory/bodyCopies/(1<<20))
	}
	is.True(accepted > 10)
}

// Guards against limits that are in force and can't be seen: the gauges are set without optional
// features too.
func TestLimitsOfCallersAreShownWithoutFeatures(t *testing.T) {
	is := is.New(t)
	g := New(Settings{Instance: "a", MemoryBytes: testInstanceMemory}, stubDialect{}, &memoryStore{}, unresponsiveTargets{})
	g.callers.limit.Evicted.Add(3)
	g.serveMetrics(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/metrics", nil))
	is.Equal(g.metrics.gauge(`mastictray_callers_evicted`).Get(), 3.0)
	is.True(g.metrics.gauge(`mastictray_memory_budget_bytes`).Get() > 0)
}

// An instance without a bound refuses nothing.
func TestMemoryIsNotBoundedByDefault(t *testing.T) {
	is := is.New(t)
	g := startBudgetGateway(0)
	is.True(g.memory == nil)
	for range testInstanceMemory / bodyCopies / (1 << 20) {
		is.True(g.readBody(t.Context(), arrive(g, strings.Repeat("x", 1<<20), 1<<20)) == nil)
	}
}
