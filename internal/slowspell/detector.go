// Package slowspell finds the targets of a service that answer far later than expected, so
// that they get no new work for as long as that lasts.
//
// It answers two loads: targets that are several times slower for a second or two, and targets
// that have fallen silent but have not been declared so yet. Without it, requests go on being
// sent there until estimates have followed or a timeout has passed.
//
// Only requests in progress count: once they have been answered or have ended, the target gets
// work again, whose answer shows whether it has recovered. If most answers are late, the
// service is overloaded rather than some targets slow, so lateness is judged against that of the
// service's recent answers. A bounded share of the targets is passed over at a time.
//
// The package performs no I/O: callers pass in the time.
package slowspell

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// MaxReported is the maximum number of targets that an instance reports to its peers.
	MaxReported = 4
	// minLateness is the least time beyond the expected one after which a request is late.
	// Callers' objectives leave room for less.
	minLateness = 150 * time.Millisecond
	// minLateFactor is the least multiple of the expected time after which a request is
	// late, usualFactor that of the service's recent answers.
	minLateFactor, usualFactor = 2.0, 1.5
	// usualQuantile is the quantile of recent answers that counts as usual, recentAnswers
	// their number.
	usualQuantile, recentAnswers = 0.9, 64
	// minPeers is the number of peers whose reports suffice without a late request here. A
	// single one may have a slow link.
	minPeers = 2
	// maxShare is the largest share of the available targets that is passed over.
	maxShare = 0.25
	// reentryDelay is the time for which a target that gets work again isn't passed over anew.
	reentryDelay = 500 * time.Millisecond
)

// Wait is a request without a first token.
type Wait struct {
	Target string
	// Waited is the time since the request was sent, Expected the time to its first token
	// that was expected then.
	Waited, Expected time.Duration
}

// Detector holds what one instance knows of the targets of one service. It is not safe for
// concurrent use.
type Detector struct {
	// ratios are actual to expected times of the recent answers, in a ring.
	ratios      [recentAnswers]float64
	ratioCount  int
	usual       float64
	lastAnswers map[string]time.Duration
	// passedOver are the targets that get no new work, releasedAt those that did recently.
	passedOver map[string]bool
	releasedAt map[string]time.Duration
}

// New returns a detector without observations.
func New() *Detector {
	return &Detector{lastAnswers: map[string]time.Duration{}, passedOver: map[string]bool{}, releasedAt: map[string]time.Duration{}}
}

// Answered records the first token of an answer.
func (d *Detector) Answered(now time.Duration, w Wait) {
	d.lastAnswers[w.Target] = now
	if w.Expected <= 0 {
		return
	}
	d.ratios[d.ratioCount%recentAnswers] = float64(w.Waited) / float64(w.Expected)
	d.ratioCount++
	d.usual = 0
}

// lateFactor returns the multiple of the expected time after which a request is late.
func (d *Detector) lateFactor() float64 {
	if d.usual == 0 && d.ratioCount > 0 {
		ratios := d.ratios
		recent := ratios[:min(d.ratioCount, recentAnswers)]
		slices.Sort(recent)
		d.usual = recent[int(usualQuantile*float64(len(recent)-1))]
	}
	return max(minLateFactor, usualFactor*d.usual)
}

// Late returns the targets with late requests, those with the longest waits first. A target that
// has answered since its request became late is not slow.
func (d *Detector) Late(now time.Duration, waits []Wait) []string {
	factor := d.lateFactor()
	overdue := map[string]time.Duration{}
	for _, w := range waits {
		limit := max(w.Expected+minLateness, time.Duration(factor*float64(w.Expected)))
		if by := w.Waited - limit; by > 0 && d.lastAnswers[w.Target] <= now-by {
			overdue[w.Target] = max(overdue[w.Target], by)
		}
	}
	return slices.SortedFunc(maps.Keys(overdue), func(a, b string) int {
		return cmp.Or(cmp.Compare(overdue[b], overdue[a]), cmp.Compare(a, b))
	})
}

// Update returns the targets to pass over: those that are late here, and those that several peers
// report, by the number of reports. Targets that are passed over already come first, so that
// the share does not alternate between them and others. available is the number of targets that
// could get work, those passed over included.
func (d *Detector) Update(now time.Duration, late []string, peers map[string]int, available int) map[string]bool {
	reports := map[string]int{}
	for id, n := range peers {
		if n >= minPeers {
			reports[id] = n
		}
	}
	for _, id := range late {
		reports[id] = peers[id] + 1
	}
	maps.DeleteFunc(d.releasedAt, func(_ string, at time.Duration) bool { return now-at >= reentryDelay })
	candidates := slices.SortedFunc(maps.Keys(reports), func(a, b string) int {
		return cmp.Or(-compareBool(d.passedOver[a], d.passedOver[b]), cmp.Compare(reports[b], reports[a]), cmp.Compare(a, b))
	})
	next := map[string]bool{}
	for _, id := range candidates {
		if _, released := d.releasedAt[id]; !released && len(next) < int(maxShare*float64(available)) {
			next[id] = true
		}
	}
	for id := range d.passedOver {
		if !next[id] {
			d.releasedAt[id] = now
		}
	}
	d.passedOver = next
	return next
}

// Retain drops what is known of targets for which exists returns false.
func (d *Detector) Retain(exists func(target string) bool) {
	maps.DeleteFunc(d.lastAnswers, func(id string, _ time.Duration) bool { return !exists(id) })
	maps.DeleteFunc(d.passedOver, func(id string, _ bool) bool { return !exists(id) })
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
