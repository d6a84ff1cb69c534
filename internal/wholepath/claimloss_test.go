package wholepath

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// A booking is confirmed, the log loses its records and an instance is restarted.
// A retry to that instance finds no record of the booking in the log. The instance
// restores the claim from its peers: it neither runs the booking again nor reports
// it as not run.
func TestRetryAfterLogLostItsClaim(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetSpec{entries: 3, engines: 1, services: 1})
	is.Equal(f.send("entry1", "office", "/bookings", `{}`, "Idempotency-Key", "b1").status, http.StatusOK)
	f.waitFor("the result is in the log", func() bool {
		return f.send("entry2", "office", "/bookings", `{}`, "Idempotency-Key", "b1").status == http.StatusOK
	})
	f.injectFault("log", `{"kind":"trim","n":0}`)
	f.procs["entry0"].kill()
	f.procs["entry0"].start()
	f.waitFor("entry0 is ready", func() bool { return f.isReady("entry0") })
	var a response
	f.waitFor("entry0 knows the booking", func() bool {
		a = f.send("entry0", "office", "/bookings", `{}`, "Idempotency-Key", "b1")
		return a.status == http.StatusConflict
	})
	is.True(a.outcome != "not_run")
	is.Equal(f.runCounts(1)["b1"], 1)
}
