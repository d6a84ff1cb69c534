package callerlimit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// post sends a body in chunks of the given size and returns the status of the response.
func post(t *testing.T, address string, size, chunk int) int {
	t.Helper()
	is := is.New(t)
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))

	go func() {
		_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"+
			strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk)), size/chunk)+"0\r\n\r\n")
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	return resp.StatusCode
}

// Guards against bodies in tiny chunks that take all processors, and against large bodies in ordinary
// chunks that are taken for such.
func TestBodiesInTinyChunksArePaced(t *testing.T) {
	is := is.New(t)
	address, l := startServer(t, waitTimeout, 0)
	const size = serverBodyLimit / 2
	is.Equal(post(t, address, size, 1), http.StatusOK) // in calm
	l.framing.SetLimit(0)
	l.framing.SetBurst(1)
	is.Equal(post(t, address, 100, 1), http.StatusOK) // it has arrived with its head
	is.Equal(post(t, address, size, 64<<10), http.StatusOK)
	is.Equal(post(t, address, size, 4<<10), http.StatusOK)
	is.True(post(t, address, size, 1) != http.StatusOK)
}
