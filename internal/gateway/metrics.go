package gateway

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/mastictray/mastictray/internal/peer"
)

// gatewayMetrics holds the counters and histograms of one process. Labels hold routes,
// services, reasons and statuses, never requests, keys or targets, so that their number
// is bounded by the configuration.
type gatewayMetrics struct {
	set *metrics.Set
}

func newGatewayMetrics() *gatewayMetrics {
	m := &gatewayMetrics{set: metrics.NewSet()}
	metrics.RegisterSet(m.set)
	return m
}

// gauge returns the gauge with this name and creates it if needed. Its value is set
// before the metrics are written.
func (m *gatewayMetrics) gauge(name string) *metrics.Gauge { return m.set.GetOrCreateGauge(name, nil) }

// write writes all metrics, including those of the Go process.
func (m *gatewayMetrics) write(w io.Writer) { metrics.WritePrometheus(w, true) }

func (m *gatewayMetrics) refused(r *Refusal) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`mastictray_refused_total{reason=%q,status="%d"}`, r.Reason, r.Status)).Inc()
}

// exchangeFailed counts a failed exchange with a peer.
func (m *gatewayMetrics) exchangeFailed(err error) {
	why := "broken"
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		why = "deadline"
	case errors.Is(err, peer.ErrRefused):
		why = "refused"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`mastictray_exchange_failed_total{why=%q}`, why)).Inc()
}

// configReceived counts a configuration that was received from a peer.
func (m *gatewayMetrics) configReceived(bytes int, took time.Duration) {
	m.set.GetOrCreateCounter(`mastictray_config_received_bytes_total`).Add(bytes)
	m.set.GetOrCreateHistogram(`mastictray_config_transfer_seconds`).Update(took.Seconds())
}

// configPartFailed counts a failed request for a part of a configuration.
func (m *gatewayMetrics) configPartFailed() {
	m.set.GetOrCreateCounter(`mastictray_config_parts_failed_total`).Inc()
}

func (m *gatewayMetrics) callerLeft() {
	m.set.GetOrCreateCounter(`mastictray_callers_left_total`).Inc()
}

// streamContinued counts a stream that goes on, within an answer or taken up by its caller.
func (m *gatewayMetrics) streamContinued(c *call) {
	by := "instance"
	if c.takesUp() {
		by = "caller"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`mastictray_streams_continued_total{by=%q}`, by)).Inc()
}

// limitedTargetRejected counts a request that was rejected by a target that bears few rejections.
// boundKnown is set if that was known when the request was sent.
func (m *gatewayMetrics) limitedTargetRejected(v rejectionView, boundKnown bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`mastictray_limited_target_rejections_total{share="%t",bound_known="%t"}`, v.share > 0, boundKnown)).Inc()
}

// slotLoan counts a request to a peer for a slot of a target.
func (m *gatewayMetrics) slotLoan(granted bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`mastictray_slot_loans_total{granted="%t"}`, granted)).Inc()
}

func (m *gatewayMetrics) answerAborted() {
	m.set.GetOrCreateCounter(`mastictray_broken_off_total`).Inc()
}

func (m *gatewayMetrics) answered(c *call, s *responseRelay, total time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`mastictray_answered_total{route=%q,status="%d",attempts="%d"}`, c.route.Name, s.status, c.sendCount)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`mastictray_first_seconds{route=%q}`, c.route.Name)).Update(s.firstByteAfter.Seconds())
	m.set.GetOrCreateHistogram(fmt.Sprintf(`mastictray_total_seconds{route=%q}`, c.route.Name)).Update(total.Seconds())
}
