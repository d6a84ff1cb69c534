package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxBodyBytes limits the size of a request body.
const MaxBodyBytes = 64 << 20

const readHeaderTimeout = 10 * time.Second

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Error string `json:"error"`
}

// ReadJSON decodes the request body into dst. If that fails, it responds with
// status 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, dst any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBodyBytes)).Decode(dst); err != nil {
		WriteError(w, http.StatusBadRequest, "malformed")
		return false
	}
	return true
}

// WriteJSON writes a response with a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// WriteError writes a response whose body is an ErrorResponse with the code.
func WriteError(w http.ResponseWriter, status int, code string) {
	WriteJSON(w, status, ErrorResponse{Error: code})
}

// WriteShed refuses a request with status 503 and asks for a pause of the fault's delay, or
// with its marker as the value of Retry-After.
func WriteShed(w http.ResponseWriter, f Fault) {
	retryAfter := f.Marker
	if retryAfter == "" {
		retryAfter = strconv.FormatFloat(f.Delay().Seconds(), 'f', -1, 64)
	}
	w.Header().Set("Retry-After", retryAfter)
	WriteError(w, http.StatusServiceUnavailable, "shed")
}

// AbortConnection closes the caller's connection without completing the response.
// It panics, and must be called from a handler.
func AbortConnection() { panic(http.ErrAbortHandler) }

// Sleep blocks for d. It returns an error if ctx ends first.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Serve listens on addr, prints a line with the resolved address, and serves
// requests until SIGINT or SIGTERM.
func Serve(name, addr string, handler http.Handler) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrapf(err, "listen stand-in=%s", name)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	fmt.Printf("listening stand-in=%s address=%s\n", name, listener.Addr())
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve stand-in=%s", name)
	}
	return nil
}
