package slopes

// Measure measures all slopes. It takes a few seconds on one core.
func Measure() []Slope {
	var out []Slope
	for _, m := range []func() []Slope{servingSlopes, cacheEventSlopes, heartbeatSlopes, configSlopes, leaseSlopes, rateSlopes, claimSlopes, auditSlopes} {
		out = append(out, m()...)
	}
	return out
}
