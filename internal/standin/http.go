package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxBodyBytes bounds a request body.
const MaxBodyBytes = 64 << 20

const headerTimeout = 10 * time.Second

// ErrorResponse is the body of every error answer.
type ErrorResponse struct {
	Error string `json:"error"`
}

// ReadJSON decodes the request body into body. On failure it answers 400 and
// returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, body any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBodyBytes)).Decode(body); err != nil {
		WriteError(w, http.StatusBadRequest, "malformed")
		return false
	}
	return true
}

// WriteJSON answers with a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// WriteError answers with an error code.
func WriteError(w http.ResponseWriter, status int, code string) {
	WriteJSON(w, status, ErrorResponse{Error: code})
}

// AbortConnection ends the caller's connection without an answer, from inside a handler.
func AbortConnection() { panic(http.ErrAbortHandler) }

// Sleep waits for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Serve listens on addr, prints one line with the address taken, and serves
// until SIGINT or SIGTERM.
func Serve(name, addr string, handler http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrapf(err, "listen stand-in=%s", name)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	fmt.Printf("listening stand-in=%s address=%s\n", name, l.Addr())
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve stand-in=%s", name)
	}
	return nil
}
