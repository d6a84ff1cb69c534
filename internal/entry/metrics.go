package entry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mastictray/mastictray/internal/openai"
)

// entryMetrics holds the counters and histograms of the process, which
// docs/operators/metrics.md describes.
type entryMetrics struct{ set *metrics.Set }

func newEntryMetrics() *entryMetrics { return &entryMetrics{set: metrics.NewSet()} }

// setGauge sets a gauge, which is created if needed.
func (m *entryMetrics) setGauge(name string, value float64) {
	m.set.GetOrCreateGauge(name, nil).Set(value)
}

func (m *entryMetrics) countRefusal(account string, code openai.Code) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`mastictray_refusals_total{account=%q,code=%q}`, account, code)).Inc()
}

func (m *entryMetrics) countAnswer(account, pool string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`mastictray_answers_total{account=%q,pool=%q}`, account, pool)).Inc()
}

func (m *entryMetrics) countAttempt(pool, result string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`mastictray_attempts_total{pool=%q,result=%q}`, pool, result)).Inc()
}

func (m *entryMetrics) observeFirstToken(pool string, d time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`mastictray_first_token_seconds{pool=%q}`, pool)).Update(d.Seconds())
}

func (m *entryMetrics) addUsage(account, pool string, u openai.Usage) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`mastictray_prompt_tokens_total{account=%q,pool=%q}`, account, pool)).Add(u.PromptTokens)
	m.set.GetOrCreateCounter(fmt.Sprintf(`mastictray_cached_tokens_total{account=%q,pool=%q}`, account, pool)).Add(u.PromptTokensDetails.CachedTokens)
	m.set.GetOrCreateCounter(fmt.Sprintf(`mastictray_completion_tokens_total{account=%q,pool=%q}`, account, pool)).Add(u.CompletionTokens)
}
