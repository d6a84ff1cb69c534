package entry

// wake ends the sleep of a loop early. Several calls before the loop looks
// count as one.
type wake chan struct{}

func newWake() wake { return make(wake, 1) }

func (w wake) kick() {
	select {
	case w <- struct{}{}:
	default:
	}
}
