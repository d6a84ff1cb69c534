package entry

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/standin"
)

// Guards against an instance that refuses its callers, or has them wait, while it is partitioned
// from all targets and a peer is not.
func TestPartitionedInstanceServesItsCallers(t *testing.T) {
	for _, state := range []standin.LinkState{standin.LinksHang, standin.LinksReset, standin.LinksRefuse} {
		t.Run(string(state), func(t *testing.T) {
			is := is.New(t)
			s := newSystem(t, 2)
			links := standin.NewLinks()
			instances := newTestFleet(t, s.logURL, 2)
			s.entry = instances[0]
			s.caller = s.entry.settings.CallerListen
			s.entry.dialDirect = links.Dial
			for _, e := range instances {
				t.Cleanup(runEntry(t, e))
			}
			served := func(n int) int {
				ok := 0
				for i := range n {
					for kind := range testPaths {
						if s.send(kind, fmt.Sprint("prompt ", i)).status == http.StatusOK {
							ok++
						}
					}
				}
				return ok
			}
			waitFor(t, "service", func() bool { return served(1) == len(testPaths) })
			waitFor(t, "peer", func() bool { return len(s.entry.members.livePeers()) == 1 })
			links.Set(state)
			waitFor(t, "service during the partition", func() bool { return served(3) == 3*len(testPaths) })
			is.True(3*served(20) >= 2*20*len(testPaths))
			links.Set(standin.LinksUp)
			waitFor(t, "service after the partition", func() bool { return served(3) == 3*len(testPaths) })
			waitFor(t, "direct connections", func() bool { return s.entry.dialer.BlockedCount() == 0 && instances[1].relays.Active() == 0 })
		})
	}
}
