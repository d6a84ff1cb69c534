package wholepath

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"
)

func (f *fleet) get(name, path string, into any) {
	f.t.Helper()
	resp, err := http.Get("http://" + f.addr(name) + path)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	f.must(json.NewDecoder(resp.Body).Decode(into))
}

// Callers book and, in doubt, send the same booking again to another instance,
// both at once and one after the other, while answers of the log and of the
// service get lost and an instance is killed. No booking runs twice, a refusal
// that says "not run" is true, and two confirmations of one booking are equal.
func TestBookingsRunAtMostOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, shape{entries: 3, engines: 1, services: 2})
	f.fault("log", `{"kind":"lose_answer","n":5}`)
	f.fault("service0", `{"kind":"drop_after_run","n":5}`)
	const bookings = 60
	answers := make([][]answer, bookings)
	var wg sync.WaitGroup
	for i := range bookings {
		wg.Add(1)
		go func() {
			defer wg.Done()
			answers[i] = f.book(i)
		}()
		if i == bookings/2 {
			f.procs["entry2"].kill()
			f.procs["entry2"].begin()
		}
	}
	wg.Wait()
	runs := f.runs(2)
	for i := range bookings {
		n := runs[bookingKey(i)]
		is.True(n <= 1) // a booking ran twice
		f.checkBooking(i, n, answers[i])
	}
}

func bookingKey(i int) string { return fmt.Sprintf("booking-%d", i) }

// book sends one booking four times: to two instances at once, then to two
// more, one after the other.
func (f *fleet) book(i int) []answer {
	send := func(entry int) answer {
		return f.send(f.entries[entry%len(f.entries)], "office", "/bookings", fmt.Sprintf(`{"seat":%d}`, i), "Idempotency-Key", bookingKey(i))
	}
	var first [2]answer
	var wg sync.WaitGroup
	for n := range first {
		wg.Add(1)
		go func() {
			defer wg.Done()
			first[n] = send(i + n)
		}()
	}
	wg.Wait()
	return []answer{first[0], first[1], send(i + 2), send(i)}
}

func (f *fleet) checkBooking(i, runs int, answers []answer) {
	f.t.Helper()
	confirmed := ""
	lastNotRun := true
	for n, a := range answers {
		switch {
		case a.err != nil:
			lastNotRun = false
		case a.status == http.StatusOK:
			if confirmed != "" && confirmed != a.body {
				f.t.Errorf("booking %d: two different confirmations: %s / %s", i, confirmed, a.body)
			}
			confirmed = a.body
			lastNotRun = false
		case a.outcome != "not_run":
			lastNotRun = false
		}
		if runs == 0 && a.status == http.StatusOK {
			f.t.Errorf("booking %d: answer %d confirms a booking that never ran", i, n)
		}
	}
	if lastNotRun && runs > 0 {
		f.t.Errorf("booking %d: every answer says not run, and it ran", i)
	}
}

// The log is down. Bookings with a key are refused at once and truly not run;
// chats are answered. When the log is back the same bookings run once.
func TestLogOutageRefusesBookingsAndServesChats(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, shape{entries: 3, engines: 2, services: 1})
	f.fault("log", `{"kind":"outage"}`)
	for i := range 6 {
		a := f.send(f.entries[i%3], "office", "/bookings", fmt.Sprintf(`{"seat":%d}`, i), "Idempotency-Key", bookingKey(i))
		is.Equal(a.status, http.StatusServiceUnavailable)
		is.Equal(a.outcome, "not_run")
		is.True(a.header.Get("Retry-After") != "")
	}
	is.Equal(len(f.runs(1)), 0)
	f.stream(6, 5, func() {})
	f.fault("log", `{"kind":"none"}`)
	for i := range 6 {
		f.wait("a booking is confirmed", func() bool {
			return f.send(f.entries[i%3], "office", "/bookings", fmt.Sprintf(`{"seat":%d}`, i), "Idempotency-Key", bookingKey(i)).status == http.StatusOK
		})
	}
	for key, n := range f.runs(1) {
		if n != 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
}
