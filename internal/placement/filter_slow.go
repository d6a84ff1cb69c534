package placement

// slowFilter rejects targets that are slow for a while: a request sent there would be
// answered late, while others have room.
type slowFilter struct{}

func (slowFilter) Name() string { return "slow" }

func (slowFilter) Rejects(t *Target, _ string) bool { return t.Slow }
