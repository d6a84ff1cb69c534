package load

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/mastictray/mastictray/internal/standin/service"
)

// Booking is one non-idempotent request with the outcomes of its attempts.
type Booking struct {
	Key      string
	Account  Account
	Body     []byte
	Attempts []Attempt
}

// Attempt is the outcome of sending a booking once.
type Attempt struct {
	Outcome Outcome
	Code    string
	// Answer is the service's answer; it is set only if Outcome is ok.
	Answer service.Response
}

func newBooking(seed uint64, i int, account Account) Booking {
	key := fmt.Sprintf("booking-%d-%d", seed, i)
	return Booking{Key: key, Account: account, Body: fmt.Appendf(nil, `{"booking":%q}`, key)}
}

// BookingReport summarizes a run of bookings.
type BookingReport struct {
	Bookings int            `json:"bookings"`
	Attempts int            `json:"attempts"`
	Outcomes map[string]int `json:"outcomes"`
	// Confirmed counts the bookings with an answer, Unconfirmed those that a
	// service ran but that got no answer, NotRun all others.
	Confirmed   int `json:"confirmed"`
	Unconfirmed int `json:"ran_unconfirmed"`
	NotRun      int `json:"not_run"`
	// Codes counts the error codes of the attempts without an answer.
	Codes      map[string]int `json:"codes,omitempty"`
	Violations []string       `json:"violations,omitempty"`
}

// CheckBookings compares the answers with the runs recorded by the services.
func CheckBookings(bookings []Booking, runs []service.Run) BookingReport {
	rep := BookingReport{Bookings: len(bookings), Outcomes: map[string]int{}, Codes: map[string]int{}}
	runsByKey := map[string]int{}
	for _, r := range runs {
		runsByKey[r.IdempotencyKey]++
	}
	for _, b := range bookings {
		rep.countBooking(b, runsByKey[b.Key])
		for _, v := range b.violations(runsByKey[b.Key]) {
			rep.Violations = append(rep.Violations, b.Key+": "+v)
		}
	}
	return rep
}

func (rep *BookingReport) countBooking(b Booking, runs int) {
	for _, a := range b.Attempts {
		rep.Attempts++
		rep.Outcomes[string(a.Outcome)]++
		if a.Outcome != OutcomeOK {
			rep.Codes[a.Code]++
		}
	}
	switch {
	case b.hasOutcome(OutcomeOK):
		rep.Confirmed++
	case runs > 0:
		rep.Unconfirmed++
	default:
		rep.NotRun++
	}
}

func (b Booking) hasOutcome(o Outcome) bool {
	for _, a := range b.Attempts {
		if a.Outcome == o {
			return true
		}
	}
	return false
}

// violations lists the guarantees broken for a booking that ran the given number
// of times.
func (b Booking) violations(runs int) []string {
	var out []string
	if runs > 1 {
		out = append(out, fmt.Sprintf("ran %d times", runs))
	}
	if runs == 0 && b.hasOutcome(OutcomeOK) {
		out = append(out, "answered but not run")
	}
	if runs > 0 && !b.hasOutcome(OutcomeOK) && !b.hasOutcome(OutcomeFailed) {
		out = append(out, "ran although every attempt was refused as not run")
	}
	return append(out, b.wrongAnswers()...)
}

// wrongAnswers reports answers that belong to another booking or differ from the
// first answer.
func (b Booking) wrongAnswers() []string {
	sum := sha256.Sum256(b.Body)
	wantBodySHA256 := hex.EncodeToString(sum[:])
	var first *service.Response
	var out []string
	for _, a := range b.Attempts {
		if a.Outcome != OutcomeOK {
			continue
		}
		if a.Answer.IdempotencyKey != b.Key || a.Answer.BodySHA256 != wantBodySHA256 {
			out = append(out, "answer is for booking "+a.Answer.IdempotencyKey)
		}
		if first == nil {
			first = &a.Answer
		} else if *first != a.Answer {
			out = append(out, "answers of two attempts differ")
		}
	}
	return out
}
