package load

import "github.com/cockroachdb/errors"

// ErrTooManyFailures: more requests failed than the run allows.
var ErrTooManyFailures = errors.New("too many failures")

// ErrTooFewAnswers: fewer requests were answered than the run asks for. It
// keeps a fleet that refuses everything from passing.
var ErrTooFewAnswers = errors.New("too few answers")

// Verdict is nil when the run passed: no violation, at most so many failures,
// and at least this part of the requests answered.
func (rep Report) Verdict(maxFailures int, minAnswered float64) error {
	if n := rep.Outcomes[string(OutcomeViolation)]; n > 0 {
		return errors.Wrapf(ErrViolation, "requests=%d", n)
	}
	return verdict(rep.Outcomes[string(OutcomeFailed)], maxFailures, rep.Outcomes[string(OutcomeOK)], rep.Sent, minAnswered)
}

// Verdict is nil when the run passed, as for prompts.
func (rep BookingReport) Verdict(maxFailures int, minAnswered float64) error {
	if n := len(rep.Violations); n > 0 {
		return errors.Wrapf(ErrViolation, "bookings=%d", n)
	}
	return verdict(rep.Outcomes[string(OutcomeFailed)], maxFailures, rep.Confirmed, rep.Bookings, minAnswered)
}

func verdict(failed, maxFailures, answered, sent int, minAnswered float64) error {
	if failed > maxFailures {
		return errors.Wrapf(ErrTooManyFailures, "failed=%d allowed=%d", failed, maxFailures)
	}
	if sent == 0 || float64(answered) < minAnswered*float64(sent) {
		return errors.Wrapf(ErrTooFewAnswers, "answered=%d sent=%d", answered, sent)
	}
	return nil
}
