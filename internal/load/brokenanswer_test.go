package load

import (
	"testing"
	"time"

	"github.com/mastictray/mastictray/internal/brokentarget"
)

// Guards against broken answers that count in a report.
func TestBrokenAnswerIsNotCountedAsAnswer(t *testing.T) {
	const answer = `{"service":"s","runs":1}`
	for name, response := range brokentarget.BrokenWith(answer) {
		target := brokentarget.Start(t, brokentarget.Always(response))
		runner := NewRunner(testProfile(), []string{"http://" + target.Address})
		booking := Booking{Key: "k", Account: testProfile().Accounts[0], Body: []byte("{}")}
		a := runner.attemptBooking(t.Context(), 0, BookingPlan{Path: "/b", Timeout: 10 * time.Second}, booking)
		if a.Outcome == OutcomeOK {
			t.Errorf("%s: counted as an answer", name)
		}
	}
}
