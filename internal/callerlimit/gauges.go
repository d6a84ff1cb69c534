package callerlimit

import "fmt"

// SetGauges passes the state of the Limiter and of its Memory to set.
func (l *Limiter) SetGauges(set func(name string, value float64)) {
	set(`mastictray_caller_connections`, float64(l.Connections()))
	set(`mastictray_callers_evicted`, float64(l.Evicted.Load()))
	set(`mastictray_connections_refused`, float64(l.Refused.Load()))
	if l.Memory == nil {
		return
	}
	use := l.Memory.Use()
	set(`mastictray_memory_budget_bytes`, float64(use.Total))
	set(`mastictray_memory_peak_bytes`, float64(use.Peak))
	for class, bytes := range use.Used {
		set(fmt.Sprintf(`mastictray_memory_used_bytes{class=%q}`, class), float64(bytes))
	}
}
