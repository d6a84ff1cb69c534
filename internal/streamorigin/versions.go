package streamorigin

import (
	"maps"
	"slices"
	"time"
)

// Versions tracks the software versions that have targets. It is not safe for concurrent use.
type Versions struct {
	services map[string]*serviceVersions
}

type serviceVersions struct {
	trackedSince time.Duration
	present      map[string]bool
	// goneAt is when the last target of a version was gone.
	goneAt map[string]time.Duration
}

// NewVersions returns a tracker without any service.
func NewVersions() *Versions { return &Versions{services: map[string]*serviceVersions{}} }

// Update sets the versions of a service's targets, those that leave included. What there was before
// the first look follows from the record only; see ApplyRecord. The targets don't tell: those of a
// version that is gone may have left without being replaced.
func (v *Versions) Update(now time.Duration, service string, present map[string]bool) {
	s := v.services[service]
	if s == nil && len(present) == 0 {
		return // its targets are not known yet
	}
	if s == nil {
		s = &serviceVersions{trackedSince: now, goneAt: map[string]time.Duration{}}
		v.services[service] = s
	}
	for version := range s.present {
		if !present[version] {
			s.goneAt[version] = now
		}
	}
	s.present = present
}

// Note records that a stream began at a version, which may have no target any more.
func (v *Versions) Note(now time.Duration, o Origin) {
	if s := v.services[o.Service]; s != nil && !s.present[o.Software] {
		s.goneAt[o.Software] = now
	}
}

// recent returns the versions that may have begun streams within Retention.
func (s *serviceVersions) recent(now time.Duration) map[string]bool {
	versions := map[string]bool{}
	for version := range s.present {
		versions[version] = true
	}
	for version, at := range s.goneAt {
		if now-at <= Retention {
			versions[version] = true
		} else {
			delete(s.goneAt, version)
		}
	}
	return versions
}

// Services returns the services that are tracked.
func (v *Versions) Services() []string { return slices.Collect(maps.Keys(v.services)) }

// Tracked describes how the versions of a service are known, for the log.
type Tracked struct {
	Present []string
	// Since is when all versions are known from.
	Since time.Duration
}

// Tracked returns how the versions of a service are known.
func (v *Versions) Tracked(service string) (t Tracked, ok bool) {
	s := v.services[service]
	if s == nil {
		return Tracked{}, false
	}
	return Tracked{Present: slices.Sorted(maps.Keys(s.present)), Since: s.trackedSince}, true
}

// Several reports whether streams of a service may have begun at more than one version.
func (v *Versions) Several(now time.Duration, service string) bool {
	s := v.services[service]
	return s != nil && len(s.recent(now)) > 1
}

// Sole returns the version at which all streams of a service that may be taken up have begun, and
// false if there are several or the service has not been tracked for long enough.
func (v *Versions) Sole(now time.Duration, service string) (version string, ok bool) {
	s := v.services[service]
	if s == nil || now-s.trackedSince < Retention {
		return "", false
	}
	versions := slices.Collect(maps.Keys(s.recent(now)))
	if len(versions) != 1 {
		return "", false
	}
	return versions[0], true
}
