package placement

// ActiveVersion is the weights version that new requests count on while a pool
// moves to the wanted one: the wanted version once at least floor targets
// serve it, until then the version that most targets serve, of equals an
// unwanted one. Switching at the first loaded target would send the whole
// pool's requests there.
func ActiveVersion(served map[string]int, wanted string, floor int) string {
	total, best, most := 0, wanted, 0
	for version, n := range served {
		total += n
		if version == wanted {
			continue
		}
		if n > most || (n == most && version < best) {
			best, most = version, n
		}
	}
	enough := min(max(floor, 1), total)
	if served[wanted] >= enough || served[wanted] > most {
		return wanted
	}
	return best
}
