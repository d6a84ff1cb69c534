package load

import (
	"time"

	"github.com/cockroachdb/errors"
)

// ErrTooManyFailures: more requests failed than the run allows.
var ErrTooManyFailures = errors.New("too many failures")

// ErrTooFewAnswers: fewer requests were answered than the run asks for. It
// keeps a fleet that refuses everything from passing.
var ErrTooFewAnswers = errors.New("too few answers")

// ErrOverRate: more was admitted for an account than its rate and burst allow.
var ErrOverRate = errors.New("account over its rate")

// PassCriteria is what a run may come to and still pass. Violations never pass.
type PassCriteria struct {
	// MaxFailures is how many requests may fail.
	MaxFailures int
	// MinAnswered is the part of the requests that must be answered.
	MinAnswered float64
	// RateSlack is the time by which admissions may lie apart from the
	// scheduled arrivals that the rate is checked by.
	RateSlack time.Duration
}

// CheckCriteria is nil when the run passed.
func (rep Report) CheckCriteria(l PassCriteria) error {
	if n := rep.Outcomes[string(OutcomeViolation)]; n > 0 {
		return errors.Wrapf(ErrViolation, "requests=%d", n)
	}
	for _, a := range rep.Accounts {
		if a.OverBurst > a.TokensPerSecond*l.RateSlack.Seconds() {
			return errors.Wrapf(ErrOverRate, "account=%s tokens=%.0f", a.Name, a.OverBurst)
		}
	}
	return l.check(rep.Outcomes[string(OutcomeFailed)], rep.Outcomes[string(OutcomeOK)], rep.Sent)
}

// CheckCriteria is nil when the run passed.
func (rep BookingReport) CheckCriteria(l PassCriteria) error {
	if n := len(rep.Violations); n > 0 {
		return errors.Wrapf(ErrViolation, "bookings=%d", n)
	}
	return l.check(rep.Outcomes[string(OutcomeFailed)], rep.Confirmed, rep.Bookings)
}

func (l PassCriteria) check(failed, answered, sent int) error {
	if failed > l.MaxFailures {
		return errors.Wrapf(ErrTooManyFailures, "failed=%d allowed=%d", failed, l.MaxFailures)
	}
	if sent == 0 || float64(answered) < l.MinAnswered*float64(sent) {
		return errors.Wrapf(ErrTooFewAnswers, "answered=%d sent=%d", answered, sent)
	}
	return nil
}
