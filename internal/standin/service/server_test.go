package service

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/standin"
)

// A booking runs and its answer is lost. The caller sees a cut connection, and
// the list of runs shows that it ran: a router that sends it again doubles it.
func TestDroppedAnswerStillCountsAsRun(t *testing.T) {
	is := is.New(t)
	s := New("s")
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	is.True(s.faults.Set(standin.Fault{Kind: FaultDropAfterRun, Count: 1}))
	_, err := http.Post(srv.URL+"/bookings", "text/plain", strings.NewReader("x"))
	is.True(err != nil)
	is.Equal(len(s.list()), 1)
	is.Equal(s.list()[0].Path, "/bookings")
}

func TestRefusalIsNoRun(t *testing.T) {
	is := is.New(t)
	s := New("s")
	is.True(s.faults.Set(standin.Fault{Kind: FaultRefuse, Count: 1}))
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), "POST", "/x", strings.NewReader("")))
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(len(s.list()), 0)
}
