package gateway

import (
	"time"

	"github.com/mastictray/mastictray/internal/directory"
)

// softwareVersions tells, for each service, since when this process knows each version of its
// targets' software. Targets of a version that appears later may belong to an ordered rollout
// that this process has not heard of yet, since orders and registrations are read separately.
type softwareVersions map[string]map[string]time.Duration

// update records the versions of a service's targets at the given time. The first call for a
// service takes its most frequent version as known for long, as does a call without a target of
// a known version: there is no other version to use.
func (v softwareVersions) update(service string, now time.Duration, targets []directory.Registration) {
	count := map[string]int{}
	for i := range targets {
		count[targets[i].SoftwareVersion]++
	}
	known := v[service]
	if known == nil {
		known = map[string]time.Duration{}
		v[service] = known
	}
	for version := range known {
		if count[version] == 0 {
			delete(known, version)
		}
	}
	if len(known) == 0 && len(count) > 0 {
		known[mostFrequent(count)] = never
	}
	for version := range count {
		if _, ok := known[version]; !ok {
			known[version] = now
		}
	}
}

// mostFrequent returns the key with the highest count; of equal ones the lowest key.
func mostFrequent(count map[string]int) string {
	best, most := "", 0
	for version, n := range count {
		if n > most || n == most && version < best {
			best, most = version, n
		}
	}
	return best
}

// knownBefore reports whether all targets of a version may be used by what operators had written
// until contact.
func (v softwareVersions) knownBefore(service, version string, contact time.Duration) bool {
	since, ok := v[service][version]
	return ok && (since == never || since < contact)
}
