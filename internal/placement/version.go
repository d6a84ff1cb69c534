package placement

// ActiveVersion returns the weights version that new requests use while a pool moves
// to the desired one. It is the desired version once at least minTargets targets, or
// more than serve any other version, serve it. Until then it is the other version that
// most targets serve. If the first updated target made the switch, it would receive the
// requests of the whole pool.
func ActiveVersion(served map[string]int, desired string, minTargets int) string {
	total, best, bestCount := 0, desired, 0
	for version, count := range served {
		total += count
		if version == desired {
			continue
		}
		if count > bestCount || (count == bestCount && version < best) {
			best, bestCount = version, count
		}
	}
	required := min(max(minTargets, 1), total)
	if served[desired] >= required || served[desired] > bestCount {
		return desired
	}
	return best
}
