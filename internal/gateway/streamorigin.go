package gateway

import "github.com/mastictray/mastictray/internal/placement"

// streamOrigin is the version of the targets' software that made the first event of a stream. The
// stream may go on at targets of that version only: what different versions send doesn't fit
// together, and targets don't check it.
type streamOrigin struct {
	known    bool
	software string
}

// recordOrigin is called before an event of the response is passed on to the caller.
func (c *call) recordOrigin(a *targetAttempt) {
	if !c.origin.known {
		c.origin = streamOrigin{known: true, software: a.target.SoftwareVersion}
	}
}

// requiredSoftware returns the software that targets of the next attempt must have.
func (c *call) requiredSoftware() placement.SoftwareRequirement {
	return placement.SoftwareRequirement{Required: c.origin.known, Version: c.origin.software}
}

// requiredSoftware returns the software that another target must have to take over the attempt.
func (pl *enginePlacement) requiredSoftware() placement.SoftwareRequirement {
	if pl.firstTokenSeen {
		return placement.SoftwareRequirement{Required: true, Version: pl.target.SoftwareVersion}
	}
	return pl.send.Request.Placement.Software
}

// hasReplacement reports whether another target can take over an attempt now. The caller holds s.mu.
func (s *engineService) hasReplacement(pl *enginePlacement) bool {
	return s.pool.HasEligible(pl.requiredSoftware(), pl.target.ID)
}

// mayRunElsewhere reports whether an attempt may be cancelled so that it runs at another target. A
// stream of which the caller has a part can't, unless there is a target for it: elsewhere it would
// only break off. The caller holds s.mu.
func (s *engineService) mayRunElsewhere(pl *enginePlacement) bool {
	return pl.repeatable && (!pl.requiredSoftware().Required || s.hasReplacement(pl))
}
