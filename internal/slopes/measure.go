package slopes

// Measure takes all slopes. It needs some seconds of one core.
func Measure() []Slope {
	var out []Slope
	for _, m := range []func() []Slope{serving, cacheEvents, heartbeats, logFollower, leases, rates, claims, auditTrail} {
		out = append(out, m()...)
	}
	return out
}
