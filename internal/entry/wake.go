package entry

// wakeSignal ends the wait of a loop early. Notifications that arrive before the
// loop receives from the channel are merged into one.
type wakeSignal chan struct{}

func newWakeSignal() wakeSignal { return make(wakeSignal, 1) }

func (w wakeSignal) notify() {
	select {
	case w <- struct{}{}:
	default:
	}
}
