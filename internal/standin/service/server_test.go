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
