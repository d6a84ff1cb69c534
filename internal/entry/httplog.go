package entry

import (
	"log"
	"strings"

	"github.com/mastictray/mastictray/internal/logline"
)

// newHTTPErrorLogger returns a logger that writes the error messages of net/http
// as log events. They carry no request ID.
func newHTTPErrorLogger() *log.Logger { return log.New(httpErrorWriter{}, "", 0) }

type httpErrorWriter struct{}

func (httpErrorWriter) Write(p []byte) (int, error) {
	logline.Info("http_server", "message", strings.TrimSpace(string(p)))
	return len(p), nil
}
