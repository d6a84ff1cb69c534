package placement

// quarantineFilter rejects targets that are reserved for suspected poison requests:
// an ordinary request there would fail if the target crashes.
type quarantineFilter struct{}

func (quarantineFilter) Name() string { return "quarantine" }

func (quarantineFilter) Rejects(t *Target, _ string) bool { return t.Quarantined }
