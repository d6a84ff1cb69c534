package load

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/mastictray/mastictray/internal/standin/service"
)

// Booking is one non-idempotent request and the answers to its attempts.
type Booking struct {
	Key      string
	Account  Account
	Body     []byte
	Attempts []Attempt
}

// Attempt is what one sending of a booking came to.
type Attempt struct {
	Outcome Outcome
	Code    string
	// Answer is the service's answer, when Outcome is ok.
	Answer service.Response
}

func newBooking(seed uint64, i int, a Account) Booking {
	key := fmt.Sprintf("booking-%d-%d", seed, i)
	return Booking{Key: key, Account: a, Body: fmt.Appendf(nil, `{"booking":%q}`, key)}
}

// BookingReport is the outcome of a run of bookings.
type BookingReport struct {
	Bookings int            `json:"bookings"`
	Attempts int            `json:"attempts"`
	Outcomes map[string]int `json:"outcomes"`
	// Confirmed have an answer, Unconfirmed have none although the service
	// ran them, NotRun neither.
	Confirmed   int `json:"confirmed"`
	Unconfirmed int `json:"ran_unconfirmed"`
	NotRun      int `json:"not_run"`
	// Codes counts the codes of the attempts without an answer.
	Codes      map[string]int `json:"codes,omitempty"`
	Violations []string       `json:"violations,omitempty"`
}

// CheckBookings compares the answers with the runs that the services list.
func CheckBookings(bookings []Booking, runs []service.Run) BookingReport {
	rep := BookingReport{Bookings: len(bookings), Outcomes: map[string]int{}, Codes: map[string]int{}}
	ran := map[string]int{}
	for _, r := range runs {
		ran[r.IdempotencyKey]++
	}
	for _, b := range bookings {
		rep.count(b, ran[b.Key])
		for _, v := range b.violations(ran[b.Key]) {
			rep.Violations = append(rep.Violations, b.Key+": "+v)
		}
	}
	return rep
}

func (rep *BookingReport) count(b Booking, ran int) {
	for _, a := range b.Attempts {
		rep.Attempts++
		rep.Outcomes[string(a.Outcome)]++
		if a.Outcome != OutcomeOK {
			rep.Codes[a.Code]++
		}
	}
	switch {
	case b.has(OutcomeOK):
		rep.Confirmed++
	case ran > 0:
		rep.Unconfirmed++
	default:
		rep.NotRun++
	}
}

func (b Booking) has(o Outcome) bool {
	for _, a := range b.Attempts {
		if a.Outcome == o {
			return true
		}
	}
	return false
}

// violations lists the broken promises of one booking that ran so many times.
func (b Booking) violations(ran int) []string {
	var out []string
	if ran > 1 {
		out = append(out, fmt.Sprintf("ran %d times", ran))
	}
	if ran == 0 && b.has(OutcomeOK) {
		out = append(out, "answered but never ran")
	}
	if ran > 0 && !b.has(OutcomeOK) && !b.has(OutcomeFailed) {
		out = append(out, "ran although every answer said that it was not run")
	}
	return append(out, b.wrongAnswers()...)
}

// wrongAnswers lists answers to another booking, and answers that differ from
// the first.
func (b Booking) wrongAnswers() []string {
	sum := sha256.Sum256(b.Body)
	want := hex.EncodeToString(sum[:])
	var first *service.Response
	var out []string
	for _, a := range b.Attempts {
		if a.Outcome != OutcomeOK {
			continue
		}
		if a.Answer.IdempotencyKey != b.Key || a.Answer.BodySHA256 != want {
			out = append(out, "answer belongs to "+a.Answer.IdempotencyKey)
		}
		if first == nil {
			first = &a.Answer
		} else if *first != a.Answer {
			out = append(out, "two different answers")
		}
	}
	return out
}
