package weights

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

func TestReadersAboveFullRateLimitShareBandwidth(t *testing.T) {
	is := is.New(t)
	s := New(Config{BytesPerSecond: 100, FullRateReaders: 2})
	is.Equal(s.readRate(1), 100.0)
	is.Equal(s.readRate(2), 100.0)
	is.Equal(s.readRate(4), 50.0)
}

func TestUnknownVersion(t *testing.T) {
	is := is.New(t)
	handler := New(Config{Versions: []string{"1"}, Bytes: 3, BytesPerSecond: 1e6}).Handler()
	for version, want := range map[string]int{"1": http.StatusOK, "2": http.StatusNotFound} {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), "GET", "/v1/weights/m/"+version, nil))
		is.Equal(w.Code, want)
	}
}
