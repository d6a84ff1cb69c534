package wholepath

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"
)

func (f *fleet) getJSON(name, path string, dst any) {
	f.t.Helper()
	resp, err := http.Get("http://" + f.addressOf(name) + path)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	f.must(json.NewDecoder(resp.Body).Decode(dst))
}

// Callers send each booking to several instances, concurrently and one after the
// other, while responses of the log and of the service are lost and an instance is
// killed. No booking runs twice, a booking whose every response says "not run" has
// not run, and all confirmations of a booking are equal.
func TestBookingsRunAtMostOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetSpec{entries: 3, engines: 1, services: 2})
	f.injectFault("log", `{"kind":"lose_answer","n":5}`)
	f.injectFault("service0", `{"kind":"drop_after_run","n":5}`)
	const bookings = 60
	responses := make([][]response, bookings)
	var wg sync.WaitGroup
	for i := range bookings {
		wg.Add(1)
		go func() {
			defer wg.Done()
			responses[i] = f.bookFourTimes(i)
		}()
		if i == bookings/2 {
			f.procs["entry2"].kill()
			f.procs["entry2"].start()
		}
	}
	wg.Wait()
	runs := f.runCounts(2)
	for i := range bookings {
		n := runs[bookingKey(i)]
		is.True(n <= 1) // a booking ran twice
		f.checkBooking(i, n, responses[i])
	}
}

func bookingKey(i int) string { return fmt.Sprintf("booking-%d", i) }

// bookFourTimes sends one booking four times: to two instances concurrently, then to
// two instances one after the other.
func (f *fleet) bookFourTimes(i int) []response {
	send := func(entry int) response {
		return f.send(f.entries[entry%len(f.entries)], "office", "/bookings", fmt.Sprintf(`{"seat":%d}`, i), "Idempotency-Key", bookingKey(i))
	}
	var concurrent [2]response
	var wg sync.WaitGroup
	for n := range concurrent {
		wg.Add(1)
		go func() {
			defer wg.Done()
			concurrent[n] = send(i + n)
		}()
	}
	wg.Wait()
	return []response{concurrent[0], concurrent[1], send(i + 2), send(i)}
}

func (f *fleet) checkBooking(i, runs int, responses []response) {
	f.t.Helper()
	confirmed := ""
	allNotRun := true
	for n, a := range responses {
		switch {
		case a.err != nil:
			allNotRun = false
		case a.status == http.StatusOK:
			if confirmed != "" && confirmed != a.body {
				f.t.Errorf("booking %d: two different confirmations: %s / %s", i, confirmed, a.body)
			}
			confirmed = a.body
			allNotRun = false
		case a.outcome != "not_run":
			allNotRun = false
		}
		if runs == 0 && a.status == http.StatusOK {
			f.t.Errorf("booking %d: response %d confirms a booking that did not run", i, n)
		}
	}
	if allNotRun && runs > 0 {
		f.t.Errorf("booking %d: ran although every response says not run", i)
	}
}

// While the log is down, bookings with an idempotency key are refused immediately
// and not run, and chats are answered. Once the log is back, the same bookings run
// exactly once.
func TestLogOutageRefusesBookingsAndServesChats(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetSpec{entries: 3, engines: 2, services: 1})
	f.injectFault("log", `{"kind":"outage"}`)
	for i := range 6 {
		a := f.send(f.entries[i%3], "office", "/bookings", fmt.Sprintf(`{"seat":%d}`, i), "Idempotency-Key", bookingKey(i))
		is.Equal(a.status, http.StatusServiceUnavailable)
		is.Equal(a.outcome, "not_run")
		is.True(a.header.Get("Retry-After") != "")
	}
	is.Equal(len(f.runCounts(1)), 0)
	f.checkStreams(6, 5, func() {})
	f.injectFault("log", `{"kind":"none"}`)
	for i := range 6 {
		f.waitFor("a booking is confirmed", func() bool {
			return f.send(f.entries[i%3], "office", "/bookings", fmt.Sprintf(`{"seat":%d}`, i), "Idempotency-Key", bookingKey(i)).status == http.StatusOK
		})
	}
	for key, n := range f.runCounts(1) {
		if n != 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
}
