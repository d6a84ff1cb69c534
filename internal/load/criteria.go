package load

import (
	"time"

	"github.com/cockroachdb/errors"
)

// ErrTooManyFailures means that more requests failed than PassCriteria allows.
var ErrTooManyFailures = errors.New("too many failures")

// ErrTooFewAnswers means that fewer requests were answered than PassCriteria
// requires. Without it, a fleet that refuses every request would pass.
var ErrTooFewAnswers = errors.New("too few answers")

// ErrOverRate means that more tokens were admitted for an account than its rate
// and burst allow.
var ErrOverRate = errors.New("account exceeded its rate")

// PassCriteria defines when a run passes. A run with a violation never does.
type PassCriteria struct {
	// MaxFailures is the maximum number of failed requests.
	MaxFailures int
	// MinAnswered is the minimum fraction of answered requests.
	MinAnswered float64
	// RateSlack is the tolerated difference between the scheduled arrival,
	// which the rate check uses, and the actual admission.
	RateSlack time.Duration
}

// CheckCriteria returns an error if the run doesn't pass.
func (rep Report) CheckCriteria(l PassCriteria) error {
	if n := rep.Outcomes[string(OutcomeViolation)]; n > 0 {
		return errors.Wrapf(ErrViolation, "requests=%d", n)
	}
	for _, a := range rep.Accounts {
		if a.OverBurstTokens > a.TokensPerSecond*l.RateSlack.Seconds() {
			return errors.Wrapf(ErrOverRate, "account=%s tokens=%.0f", a.Name, a.OverBurstTokens)
		}
	}
	return l.checkCounts(rep.Outcomes[string(OutcomeFailed)], rep.Outcomes[string(OutcomeOK)], rep.Sent)
}

// CheckCriteria returns an error if the run doesn't pass.
func (rep BookingReport) CheckCriteria(l PassCriteria) error {
	if n := len(rep.Violations); n > 0 {
		return errors.Wrapf(ErrViolation, "bookings=%d", n)
	}
	return l.checkCounts(rep.Outcomes[string(OutcomeFailed)], rep.Confirmed, rep.Bookings)
}

func (l PassCriteria) checkCounts(failed, answered, sent int) error {
	if failed > l.MaxFailures {
		return errors.Wrapf(ErrTooManyFailures, "failed=%d allowed=%d", failed, l.MaxFailures)
	}
	if sent == 0 || float64(answered) < l.MinAnswered*float64(sent) {
		return errors.Wrapf(ErrTooFewAnswers, "answered=%d sent=%d", answered, sent)
	}
	return nil
}
