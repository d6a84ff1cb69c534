package wholepath

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// A booking is confirmed, the log loses its records, and an instance is
// restarted. The booking is sent again to that instance, which finds nothing
// of it in the log. It takes its peers' view instead, does not run the booking
// again and does not claim that it was not run.
func TestRepeatAfterLogLostItsClaim(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, shape{entries: 3, engines: 1, services: 1})
	is.Equal(f.send("entry1", "office", "/bookings", `{}`, "Idempotency-Key", "b1").status, http.StatusOK)
	f.wait("the result is in the log", func() bool {
		return f.send("entry2", "office", "/bookings", `{}`, "Idempotency-Key", "b1").status == http.StatusOK
	})
	f.fault("log", `{"kind":"trim","n":0}`)
	f.procs["entry0"].kill()
	f.procs["entry0"].begin()
	f.wait("entry0 is ready", func() bool { return f.ready("entry0") })
	var a answer
	f.wait("entry0 knows the booking", func() bool {
		a = f.send("entry0", "office", "/bookings", `{}`, "Idempotency-Key", "b1")
		return a.status == http.StatusConflict
	})
	is.True(a.outcome != "not_run")
	is.Equal(f.runs(1)["b1"], 1)
}
