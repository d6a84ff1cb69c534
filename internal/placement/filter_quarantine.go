package placement

// quarantineFilter keeps ordinary requests off targets set aside to run
// suspected poison requests: they would be lost with the target.
type quarantineFilter struct{}

func (quarantineFilter) Name() string { return "quarantine" }

func (quarantineFilter) Rejects(t *Target, _ string) bool { return t.Quarantined }
