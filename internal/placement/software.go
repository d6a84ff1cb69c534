package placement

// SoftwareRequirement restricts a request to targets with one version of their software. The
// parts of a stream that targets of different versions make don't fit together.
type SoftwareRequirement struct {
	// Required is set if only targets of Version may get the request, stable ones and canaries
	// alike.
	Required bool
	// Version may be empty: some targets state none.
	Version string
}

// Allows reports whether a target with this version may get the request.
func (s SoftwareRequirement) Allows(version string) bool { return !s.Required || s.Version == version }

// otherSoftware is the rejection of a target whose software a request doesn't allow. It is beyond
// the bits of filters.
const otherSoftware Rejection = 1 << 30

// rejections returns the rejections of all targets for a request.
func (p *Picker) rejections(r *Request) []Rejection {
	if !r.Software.Required {
		return p.pool.excluded[cohort(r.Canary)]
	}
	p.rejected = append(p.rejected[:0], p.pool.rejected...)
	for i := range p.rejected {
		if !r.Software.Allows(p.pool.targets[i].Software) {
			p.rejected[i] |= otherSoftware
		}
	}
	return p.rejected
}

// HasEligible reports whether a target with the software, other than the excluded one, is rejected
// by no filter.
func (p *Pool) HasEligible(software SoftwareRequirement, exclude string) bool {
	for i := range p.targets {
		if t := &p.targets[i]; p.rejected[i] == 0 && t.Name != exclude && software.Allows(t.Software) {
			return true
		}
	}
	return false
}
