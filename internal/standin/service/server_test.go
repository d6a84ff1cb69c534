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
