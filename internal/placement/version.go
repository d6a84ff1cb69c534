package placement

// ActiveVersion is the weights version that new requests count on while a pool
// moves to the wanted one: the wanted version once at least floor targets
// serve it, until then the version that most targets serve. Switching at the
// first loaded target would send the whole pool's requests there.
func ActiveVersion(served map[string]int, wanted string, floor int) string {
	total, best := 0, wanted
	for version, n := range served {
		total += n
		if n > served[best] || (n == served[best] && best != wanted && version < best) {
			best = version
		}
	}
	if served[wanted] > 0 && served[wanted] >= min(max(floor, 1), total) {
		return wanted
	}
	return best
}
