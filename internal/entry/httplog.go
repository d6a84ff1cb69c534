package entry

import (
	"log"
	"strings"

	"github.com/mastictray/mastictray/internal/logline"
)

// discardLogger turns net/http's own messages into event lines, without the
// request they speak of.
func newHTTPErrorLogger() *log.Logger { return log.New(httpErrorWriter{}, "", 0) }

type httpErrorWriter struct{}

func (httpErrorWriter) Write(p []byte) (int, error) {
	logline.Info("http_server", "message", strings.TrimSpace(string(p)))
	return len(p), nil
}
