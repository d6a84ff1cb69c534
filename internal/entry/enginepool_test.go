package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mastictray/mastictray/internal/config"
)

// The only target of the active version is lost. The active version must change
// at once to the old one, which the other targets serve. Otherwise new requests
// would wait until their deadline for a version that no target serves.
func TestActiveVersionFollowsLostTargets(t *testing.T) {
	losses := map[string]func(*enginePool){
		"crashed":     func(p *enginePool) { p.markUnreachable("new") },
		"gone":        func(p *enginePool) { p.markProcessEnded("new", "i") },
		"unanswering": func(p *enginePool) { p.markUnresponsive("new") },
		"announced": func(p *enginePool) {
			respond(p.announcements, "127.0.0.1:1", http.StatusOK, http.Header{headerIncarnation: {"i"}, headerLeaving: {"1"}})
		},
		"leaving": func(p *enginePool) { p.setDraining(func(name string) bool { return name == "new" }) },
	}
	for name, lose := range losses {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newEnginePool(newClock(), "d")
			targets := []config.Target{{Name: "new", Address: "127.0.0.1:1"}, {Name: "old1", Address: "127.0.0.1:2"}, {Name: "old2", Address: "127.0.0.1:3"}}
			p.configure(config.Pool{Name: "p", Model: "m", PrefillTokensPerSecond: 1}, config.Model{Name: "m", Version: "2", PieceBytes: 1, BytesPerToken: 1}, targets, 1)
			for _, target := range targets {
				version := "1"
				if target.Name == "new" {
					version = "2"
				}
				p.applyLoadReport(target.Name, time.Second, time.Second, loadReport{Incarnation: "i", Version: version})
			}
			is.Equal(p.activeVersion(), "2")
			lose(p)
			is.Equal(p.activeVersion(), "1")
		})
	}
}
