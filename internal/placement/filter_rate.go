package placement

// rateFilter rejects targets that have already received as many requests as the
// rate that they advertise allows.
type rateFilter struct{}

func (rateFilter) Name() string { return "rate" }

func (rateFilter) Rejects(t *Target, _ string) bool { return t.OverRate }
