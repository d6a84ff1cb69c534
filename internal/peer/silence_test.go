package peer

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/linkproxy"
)

// callTimeout is far above the time that a call takes in tests.
const callTimeout = 20 * time.Second

// Guards against calls that wait out their timeout on a connection that carries nothing any
// more, although a new connection to the same peer works.
func TestCallOutlivesSilentConnection(t *testing.T) {
	is := is.New(t)
	a, _ := startNode(t, "a", "0123456789abcdef")
	_, addr := startNode(t, "b", "0123456789abcdef")
	link := linkproxy.New(t, addr)
	var got string
	_, err := a.Call(t.Context(), link.Address(), kindEcho, "hi", &got)
	is.NoErr(err)
	link.SilenceOpen()
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	_, err = a.Call(ctx, link.Address(), kindEcho, "again", &got)
	is.NoErr(err)
	is.Equal(got, "a:again")
}
