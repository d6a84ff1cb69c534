package gateway

import "github.com/mastictray/mastictray/internal/placement"

// requiredSoftware returns the software that another target must have to take over the attempt.
func (pl *enginePlacement) requiredSoftware() placement.SoftwareRequirement {
	if pl.firstTokenSeen {
		return placement.SoftwareRequirement{Required: true, Version: pl.target.SoftwareVersion}
	}
	return pl.send.Request.Placement.Software
}

// hasSoftware reports whether the service has a target with this software that is not leaving.
func (s *engineService) hasSoftware(version string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.registrations {
		if r.SoftwareVersion == version {
			return true
		}
	}
	return false
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
