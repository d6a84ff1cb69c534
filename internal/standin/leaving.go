package standin

import "net/http"

// FaultLeaving is the kind of fault with which a target announces in all its responses that
// it leaves. It goes on serving.
const FaultLeaving = "leaving"

// AnnounceLeaving adds the announcement to the responses that begin while the fault is
// active.
func AnnounceLeaving(faults *Faults, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&leavingWriter{ResponseWriter: w, faults: faults}, r)
	})
}

// leavingWriter looks for the fault when the response begins: a stream may have waited.
type leavingWriter struct {
	http.ResponseWriter
	faults *Faults
	begun  bool
}

// Unwrap lets http.ResponseController find the methods of the writer below.
func (w *leavingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *leavingWriter) WriteHeader(status int) {
	if _, active := w.faults.Get(FaultLeaving); active && !w.begun {
		w.Header().Set("X-Target-Leaving", "1")
	}
	w.begun = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *leavingWriter) Write(b []byte) (int, error) {
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}
