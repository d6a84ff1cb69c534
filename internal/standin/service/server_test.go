package service

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/standin"
)

// A booking is executed but its response is lost. The caller sees a closed
// connection, and the list of runs contains the booking: a router that sends it
// again executes it twice.
func TestRunIsRecordedWhenResponseIsDropped(t *testing.T) {
	is := is.New(t)
	s := New("s")
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	is.True(s.faults.Set(standin.Fault{Kind: FaultDropAfterRun, Count: 1}))
	_, err := http.Post(srv.URL+"/bookings", "text/plain", strings.NewReader("x"))
	is.True(err != nil)
	is.Equal(len(s.recordedRuns()), 1)
	is.Equal(s.recordedRuns()[0].Path, "/bookings")
}

func TestRefusedRequestIsNotRecorded(t *testing.T) {
	is := is.New(t)
	s := New("s")
	is.True(s.faults.Set(standin.Fault{Kind: FaultRefuse, Count: 1}))
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), "POST", "/x", strings.NewReader("")))
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(len(s.recordedRuns()), 0)
}

// A shed request must say how long the pause is, with fractions, and must not run.
func TestShedRequestAsksForAPause(t *testing.T) {
	is := is.New(t)
	s := New("s")
	for _, fault := range []standin.Fault{
		{Kind: FaultShed, Count: 1, DelayMillis: 2500},
		{Kind: FaultShed, Count: 1, Marker: "2.5"},
	} {
		is.True(s.Faults().Set(fault))
		w := httptest.NewRecorder()
		s.Handler().ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), "POST", "/x", strings.NewReader("")))
		is.Equal(w.Code, http.StatusServiceUnavailable)
		is.Equal(w.Header().Get("Retry-After"), "2.5")
	}
	is.Equal(len(s.recordedRuns()), 0)
}

// A leaving service must say so in all its responses, and serve on.
func TestLeavingServiceAnnouncesIt(t *testing.T) {
	is := is.New(t)
	s := New("s")
	for _, want := range []string{"", "1"} {
		for _, path := range []string{"/x", "/runs"} {
			w := httptest.NewRecorder()
			s.Handler().ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), "GET", path, strings.NewReader("")))
			is.Equal(w.Code, http.StatusOK)
			is.Equal(w.Header().Get("X-Target-Leaving"), want)
		}
		is.True(s.Faults().Set(standin.Fault{Kind: standin.FaultLeaving}))
	}
}
