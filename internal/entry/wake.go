package entry

// wake ends the sleep of a loop early. Several calls before the loop looks
// count as one.
type wakeSignal chan struct{}

func newWakeSignal() wakeSignal { return make(wakeSignal, 1) }

func (w wakeSignal) notify() {
	select {
	case w <- struct{}{}:
	default:
	}
}
